package dispatch

import (
	"context"
	"sync"
	"time"

	"poplarworks/core/stall"
)

const (
	stallGap    = 4 * stopInterval
	stallSettle = 150 * time.Millisecond
)

// stallGuard holds requests back for a moment after this process was paused: peers' notices that came meanwhile, such as
// that a target is leaving, lie unread in its sockets.
type stallGuard struct {
	mu       sync.Mutex
	detector stall.Detector
}

func (g *stallGuard) look(now time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Gap, g.detector.Settle = stallGap, stallSettle
	return g.detector.Look(now)
}

func (g *stallGuard) count(now time.Time) int {
	g.look(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Count()
}

// wait returns at once unless the process has just been paused.
func (g *stallGuard) wait(ctx context.Context, now time.Time) {
	until := g.look(now)
	if until.IsZero() {
		return
	}
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
