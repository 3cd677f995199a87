package probebudget

import "time"

// Window is the span over which probes are counted; it exceeds one second so that uneven network delay cannot squeeze
// more than the share into one second at the target.
const Window = 1250 * time.Millisecond

// Budget counts the probes of one entry at one target; a new one allows none for a whole window, since a process that
// this one replaces may have spent its share just before.
type Budget struct {
	PerWindow int
	Started   time.Time

	sent []time.Time
}

// Allow reports whether a probe may be sent now.
func (b *Budget) Allow(now time.Time) bool {
	if b.PerWindow <= 0 || now.Sub(b.Started) < Window {
		return false
	}
	b.forget(now)
	return len(b.sent) < b.PerWindow
}

// Take counts a probe, and reports whether it may be sent.
func (b *Budget) Take(now time.Time) bool {
	if !b.Allow(now) {
		return false
	}
	b.sent = append(b.sent, now)
	return true
}

func (b *Budget) forget(now time.Time) {
	first := 0
	for first < len(b.sent) && now.Sub(b.sent[first]) >= Window {
		first++
	}
	b.sent = b.sent[first:]
}

// Spent returns the probes sent within the window that ends now.
func (b *Budget) Spent(now time.Time) int {
	b.forget(now)
	return len(b.sent)
}
