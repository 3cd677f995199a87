package stall

import "time"

// Detector is called periodically with the time; a long gap between two calls means that the process was paused. It is
// not safe for concurrent use.
type Detector struct {
	Gap    time.Duration // longest gap between two calls while the process runs
	Settle time.Duration // time after a pause that is allowed for processing updates from peers

	lastSeen  time.Time // latest time that was recorded
	resumedAt time.Time
	settledAt time.Time // end of the settle time
	pauses    int
}

// Look records the time. It returns the time until which decisions should wait, or the zero time if they need not wait.
func (d *Detector) Look(now time.Time) time.Time {
	if !d.lastSeen.IsZero() && now.Sub(d.lastSeen) > d.Gap {
		d.resumedAt, d.settledAt = now, now.Add(d.Settle)
		d.pauses++
	}
	if now.After(d.lastSeen) {
		d.lastSeen = now
	}
	if now.Before(d.settledAt) {
		return d.settledAt
	}
	return time.Time{}
}

// Woke returns when the last pause was detected, or the zero time if there was none.
func (d *Detector) Woke() time.Time {
	return d.resumedAt
}

// Count returns the number of pauses detected.
func (d *Detector) Count() int {
	return d.pauses
}
