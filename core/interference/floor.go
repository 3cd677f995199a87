package interference

import "time"

const (
	window         = 500 * time.Millisecond // several times as long as a burst of work of a noisy neighbour
	minReports     = 4                      // reports that a window needs before its minimum counts
	transientRatio = 2.0                    // multiple of the floor above which a slowdown is probably transient
	normalSlowdown = 1.0                    // slowdown of a target at its usual speed
)

// Floor tracks the lowest slowdown that a target has reported within the last one to two windows.
type Floor struct {
	windowStart time.Time
	current     float64 // lowest slowdown of the current window
	previous    float64 // lowest slowdown of the previous window
	count       int     // reports in the current window
}

// Report records a reported slowdown, where 1 is the usual speed.
func (f *Floor) Report(now time.Time, slowdown float64) {
	if f.previous == 0 {
		f.windowStart, f.previous = now, normalSlowdown
	}
	if now.Sub(f.windowStart) >= window && f.count >= minReports {
		f.windowStart, f.previous, f.count = now, f.current, 0
	}
	if f.count == 0 || slowdown < f.current {
		f.current = slowdown
	}
	f.count++
}

// Transient reports whether a slowdown is probably transient, because the target was much faster shortly before.
func (f *Floor) Transient(slowdown float64) bool {
	floor := normalSlowdown
	if f.previous > 0 {
		floor = max(normalSlowdown, min(f.previous, f.current))
	}
	return slowdown > transientRatio*floor
}
