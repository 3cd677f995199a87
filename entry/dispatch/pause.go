package dispatch

import (
	"context"
	"sync"
	"time"

	"poplarworks/core/pausedetector"
	"poplarworks/entry/pause"
)

const (
	maxCheckGap = 4 * stopInterval       // a longer gap between two checks counts as a pause
	settleTime  = 150 * time.Millisecond // after a pause, for reading what arrived during it
	// A read from a slow store takes 400 ms. Requests must not wait longer than this if the store is unavailable.
	maxConfirmationWait = 600 * time.Millisecond
	waitPollInterval    = 5 * time.Millisecond
)

// pauseGuard delays requests shortly after this process was paused. What happened during the pause, such as that a
// target is leaving, is still unread in the sockets or has yet to be read from the store.
type pauseGuard struct {
	// confirmedSince reports whether the records were confirmed since the given time; nil if requests need not wait
	// for that.
	confirmedSince func(since time.Time) bool

	mu       sync.Mutex
	detector pausedetector.Detector
}

// check records the time. It returns until when requests must wait, or the zero time, and when the process resumed
// from its last pause, or the zero time.
func (g *pauseGuard) check(now time.Time) (until, resumedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.MaxGap, g.detector.SettleTime = maxCheckGap, settleTime
	return g.detector.Observe(now), g.detector.ResumedAt()
}

func (g *pauseGuard) count(now time.Time) int {
	g.check(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Pauses()
}

// wait blocks while requests are delayed after a pause, or until the context ends.
func (g *pauseGuard) wait(ctx context.Context, clock func() time.Time) {
	for ctx.Err() == nil && g.mustWait(clock()) {
		pause.Sleep(ctx, waitPollInterval)
	}
}

// mustWait reports whether requests are delayed at the given time.
func (g *pauseGuard) mustWait(now time.Time) bool {
	until, resumedAt := g.check(now)
	if !until.IsZero() {
		return true
	}
	recent := !resumedAt.IsZero() && now.Sub(resumedAt) < maxConfirmationWait
	return recent && g.confirmedSince != nil && !g.confirmedSince(resumedAt)
}
