package pausedetector

import "time"

// Detector is called periodically with the time; a long gap between two calls means that the process was paused. It is
// not safe for concurrent use.
type Detector struct {
	MaxGap     time.Duration // longest gap between two calls while the process runs
	SettleTime time.Duration // time after a pause that is allowed for processing updates from peers

	lastSeen  time.Time // latest time that was recorded
	resumedAt time.Time
	settledAt time.Time // end of the settle time
	pauses    int
}

// Observe records the time. It returns the time until which decisions should wait, or the zero time if they need not
// wait.
func (d *Detector) Observe(now time.Time) time.Time {
	if !d.lastSeen.IsZero() && now.Sub(d.lastSeen) > d.MaxGap {
		d.resumedAt, d.settledAt = now, now.Add(d.SettleTime)
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

// ResumedAt returns when the last pause was detected, or the zero time if there was none.
func (d *Detector) ResumedAt() time.Time {
	return d.resumedAt
}

// Pauses returns the number of pauses detected.
func (d *Detector) Pauses() int {
	return d.pauses
}
