package dispatch

import (
	"context"
	"sync"
	"time"

	"poplarworks/core/stall"
	"poplarworks/entry/pause"
)

const (
	stallGap     = 4 * stopInterval
	stallSettle  = 150 * time.Millisecond
	stallLongest = 600 * time.Millisecond // a look at a slow store takes 400 ms; while the store is away requests must go on
	stallTick    = 5 * time.Millisecond
)

// stallGuard holds requests back for a moment after this process was paused: what happened meanwhile, such as that a target is
// leaving, lies unread in its sockets or has still to be asked for.
type stallGuard struct {
	heard func(since time.Time) bool // whether the records were confirmed since then; nil if that need not be awaited

	mu       sync.Mutex
	detector stall.Detector
}

func (g *stallGuard) look(now time.Time) (until, woke time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Gap, g.detector.Settle = stallGap, stallSettle
	return g.detector.Look(now), g.detector.Woke()
}

func (g *stallGuard) count(now time.Time) int {
	g.look(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Count()
}

// wait returns at once unless the process has just been paused.
func (g *stallGuard) wait(ctx context.Context, clock func() time.Time) {
	for ctx.Err() == nil && g.holds(clock()) {
		pause.Sleep(ctx, stallTick)
	}
}

func (g *stallGuard) holds(now time.Time) bool {
	until, woke := g.look(now)
	if !until.IsZero() {
		return true
	}
	recent := !woke.IsZero() && now.Sub(woke) < stallLongest
	return recent && g.heard != nil && !g.heard(woke)
}
