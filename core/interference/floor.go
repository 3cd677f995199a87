package interference

import "time"

const (
	window       = 500 * time.Millisecond // several times as long as neighbours' work lasts
	samples      = 4                      // reports in a window before its lowest is believed
	passingShare = 2.0                    // slowdown above the floor, as a multiple, that will probably pass
	usual        = 1.0                    // slowdown of a target that is not slow at all
)

// Floor follows the lowest slowdown that a target has reported within the last one to two windows.
type Floor struct {
	since    time.Time
	current  float64
	previous float64
	count    int
}

// Report takes a reported slowdown, where 1 is the usual speed.
func (f *Floor) Report(now time.Time, slowdown float64) {
	if f.previous == 0 {
		f.since, f.previous = now, usual
	}
	if now.Sub(f.since) >= window && f.count >= samples {
		f.since, f.previous, f.count = now, f.current, 0
	}
	if f.count == 0 || slowdown < f.current {
		f.current = slowdown
	}
	f.count++
}

// Passing reports whether a slowdown will probably pass soon, since the target was much faster a moment ago.
func (f *Floor) Passing(slowdown float64) bool {
	floor := usual
	if f.previous > 0 {
		floor = max(usual, min(f.previous, f.current))
	}
	return slowdown > passingShare*floor
}
