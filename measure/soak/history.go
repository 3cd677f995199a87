package soak

import (
	"slices"
	"time"
)

// history is what was done to one entry.
type history struct {
	starts  int
	touched []time.Time // when it was started, killed, paused or cut off, or this ended
	stopped []time.Time // when it was told to stop
}

// Disturb notes that an entry has been started, killed, paused or cut off, or that this has ended.
func (w *World) Disturb(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history[i].touched = append(w.history[i].touched, time.Now())
}

// Stopping notes that an entry is told to stop.
func (w *World) Stopping(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history[i].stopped = append(w.history[i].stopped, time.Now())
}

// Started notes that an entry's process has been started, and starts counts those.
func (w *World) Started(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history[i].starts++
}

func (w *World) starts(i int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.history[i].starts
}

// DisturbStore notes that the store misbehaves from now on, or does so no more.
func (w *World) DisturbStore() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeTouched = time.Now()
}

// calm reports whether nothing has happened to an entry for that long.
func (w *World) calm(i int, long time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	recent := func(at time.Time) bool { return time.Since(at) <= long }
	return !slices.ContainsFunc(w.history[i].touched, recent) && !slices.ContainsFunc(w.history[i].stopped, recent)
}

// inTouch reports whether nothing has happened to the entry, nor to the store, for that long.
func (w *World) inTouch(i int, long time.Duration) bool {
	if !w.calm(i, long) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.storeTouched) > long
}

// onlyStopping reports whether the entry was being stopped, with time left to end what it had taken, and nothing else happened to
// it; it is called with the lock held.
func (w *World) onlyStopping(i int, begun, ended time.Time) bool {
	stopping := slices.ContainsFunc(w.history[i].stopped, func(at time.Time) bool {
		return begun.After(at.Add(-callTimeout)) && begun.Before(at.Add(grace/2)) && ended.After(at) && ended.Before(at.Add(grace-stopMargin))
	})
	return stopping && !slices.ContainsFunc(w.history[i].touched, func(at time.Time) bool {
		return at.After(begun.Add(-settleTime)) && at.Before(ended.Add(settleTime/2))
	})
}
