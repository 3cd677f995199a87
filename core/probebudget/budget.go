package probebudget

import "time"

// Window is the sliding window over which probes are counted. It is longer than one second, so that network jitter
// cannot make more probes than the share arrive at the target within one second.
const Window = 1250 * time.Millisecond

// Budget counts the probes of one entry at one target. A new budget allows none for a whole window, since the
// process that this one replaces may have spent its share just before.
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
	b.removeExpired(now)
	return len(b.sent) < b.PerWindow
}

// Take reports whether a probe may be sent now, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	if !b.Allow(now) {
		return false
	}
	b.sent = append(b.sent, now)
	return true
}

// removeExpired drops the probes that have left the window.
func (b *Budget) removeExpired(now time.Time) {
	expired := 0
	for expired < len(b.sent) && now.Sub(b.sent[expired]) >= Window {
		expired++
	}
	b.sent = b.sent[expired:]
}

// Spent returns the number of probes sent within the window that ends now.
func (b *Budget) Spent(now time.Time) int {
	b.removeExpired(now)
	return len(b.sent)
}
