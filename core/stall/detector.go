package stall

import "time"

// Detector is told the time again and again; a gap means that the process was paused. It is not safe for concurrent use.
type Detector struct {
	Gap    time.Duration // longest time between two looks of a process that runs
	Settle time.Duration // time after a pause in which news from peers is taken in

	seen  time.Time
	woke  time.Time
	until time.Time
	count int
}

// Look notes the time, and returns until when decisions should wait, or the zero time.
func (d *Detector) Look(now time.Time) time.Time {
	if !d.seen.IsZero() && now.Sub(d.seen) > d.Gap {
		d.woke, d.until = now, now.Add(d.Settle)
		d.count++
	}
	if now.After(d.seen) {
		d.seen = now
	}
	if now.Before(d.until) {
		return d.until
	}
	return time.Time{}
}

// Woke returns when the last pause was noticed, or the zero time.
func (d *Detector) Woke() time.Time {
	return d.woke
}

// Count returns the pauses noticed.
func (d *Detector) Count() int {
	return d.count
}
