package soak

import (
	"slices"
	"time"
)

// history records what the run did to one entry.
type history struct {
	starts        int
	disturbed     []time.Time // when a start, kill, pause or link fault began or ended
	stopRequested []time.Time // when it was asked to stop
}

// RecordDisturbance records that a start, kill, pause or link fault of an entry begins or has ended.
func (e *Environment) RecordDisturbance(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history[i].disturbed = append(e.history[i].disturbed, time.Now())
}

// RecordStop records that an entry is asked to stop.
func (e *Environment) RecordStop(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history[i].stopRequested = append(e.history[i].stopRequested, time.Now())
}

// RecordStart records that an entry's process is started again.
func (e *Environment) RecordStart(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.history[i].starts++
}

// startCount returns how often an entry's process was started again.
func (e *Environment) startCount(i int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.history[i].starts
}

// RecordStoreDisturbance records that a fault of the store begins or has ended.
func (e *Environment) RecordStoreDisturbance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeDisturbed = time.Now()
}

// undisturbed reports whether the entry was neither disturbed nor asked to stop during the last period of this length.
func (e *Environment) undisturbed(i int, period time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.undisturbedAt(i, time.Now(), period)
}

// undisturbedAt reports whether the entry was neither disturbed nor asked to stop during the period before the given
// time. The caller holds the lock.
func (e *Environment) undisturbedAt(i int, at time.Time, period time.Duration) bool {
	recent := func(other time.Time) bool { return !other.After(at) && at.Sub(other) <= period }
	return !slices.ContainsFunc(e.history[i].disturbed, recent) && !slices.ContainsFunc(e.history[i].stopRequested, recent)
}

// undisturbedWithStore reports whether neither the entry nor the store was disturbed during the last period of this
// length.
func (e *Environment) undisturbedWithStore(i int, period time.Duration) bool {
	if !e.undisturbed(i, period) {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Since(e.storeDisturbed) > period
}

// onlyPlannedStop reports whether a planned stop, which left enough of the grace time to finish the request, is the
// only thing that happened to the entry around the request. The caller holds the lock.
func (e *Environment) onlyPlannedStop(i int, started, ended time.Time) bool {
	stopping := slices.ContainsFunc(e.history[i].stopRequested, func(at time.Time) bool {
		return started.After(at.Add(-callTimeout)) && started.Before(at.Add(gracePeriod/2)) && ended.After(at) && ended.Before(at.Add(gracePeriod-stopMargin))
	})
	return stopping && !slices.ContainsFunc(e.history[i].disturbed, func(at time.Time) bool {
		return at.After(started.Add(-settleTime)) && at.Before(ended.Add(settleTime/2))
	})
}
