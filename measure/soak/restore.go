package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"poplarworks/standin/rowstore"
)

const (
	backupInterval   = 250 * time.Millisecond
	maxBackups       = 24 // the oldest is six seconds old
	maxStoreAway     = 1500 * time.Millisecond
	maxOperatorDelay = 400 * time.Millisecond // after the restore, until the operator writes again
)

// keepBackups makes copies of the store until the context ends.
func (e *Environment) keepBackups(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock() // held while the rows are copied, so that no configuration is counted that the copy lacks
		e.backups = append(e.backups, backup{rows: e.Store.Backup(), configurations: len(e.configurations)})
		if len(e.backups) > maxBackups {
			e.backups = e.backups[1:]
		}
		e.mu.Unlock()
		time.Sleep(backupInterval)
	}
}

// backup is a copy of the store, and how many configurations had been written by then.
type backup struct {
	rows           rowstore.Backup
	configurations int
}

// RestoreStore replaces the store's rows by a random copy of the last seconds. It returns the number of configurations
// that the copy has. The operator writes no new ones until WriteAgain has been called.
func (e *Environment) RestoreStore(random *rand.Rand) (configurations int) {
	e.RecordStoreDisturbance()
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.backups[random.IntN(len(e.backups)/2+1)] // the older ones lose more
	e.operatorAway = true
	e.Store.Restore(b.rows)
	e.backups = []backup{b} // the others are of writes that this restore has undone
	for name, t := range e.targets {
		_, leaving := e.leavingSince[name]
		switch {
		case e.removed[name]:
			if e.Store.Has("servers", name) {
				e.Store.Put("servers", name, nil)
			}
		case leaving:
			e.Store.Put("servers", name, t.Registration())
		}
	}
	return b.configurations
}

// WriteAgain lets the operator write the configurations after the given number of them again, or just the newest.
func (e *Environment) WriteAgain(configurations int, newestOnly bool) {
	e.RecordStoreDisturbance()
	e.mu.Lock()
	defer e.mu.Unlock()
	if newestOnly {
		configurations = max(configurations, len(e.configurations)-1)
	}
	for _, c := range e.configurations[configurations:] {
		e.Store.Put("op", "config", c.text)
	}
	e.operatorAway = false
}

// scheduleRestores restores the store from a copy once or twice during the run. It uses a generator of its own, so that the
// other faults of a seed stay the same.
func (r *Run) scheduleRestores() {
	random := rand.New(rand.NewPCG(r.Seed, 5))
	for range 1 + random.IntN(2) {
		at := r.Duration/4 + time.Duration(random.Int64N(int64(3*r.Duration/4)))
		away, delay := time.Duration(random.Int64N(int64(maxStoreAway))), time.Duration(random.Int64N(int64(maxOperatorDelay)))
		newestOnly, choice := random.IntN(2) == 0, rand.New(rand.NewPCG(random.Uint64(), 0))
		r.schedule(at, func() {
			r.setStoreFaults(rowstore.Faults{Status: http.StatusServiceUnavailable})
			r.schedule(away, func() {
				configurations := r.env.RestoreStore(choice)
				r.setStoreFaults(rowstore.Faults{})
				r.schedule(delay, func() { r.env.WriteAgain(configurations, newestOnly) })
			})
		})
	}
}
