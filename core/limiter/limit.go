package limiter

import (
	"math"
	"time"
)

const (
	shedFactor    = 0.7
	slowFactor    = 0.9
	slowRatio     = 3.0
	cutInterval   = 50 * time.Millisecond
	growthPerTrip = 1.0
)

// Limit grows while answers come in time and shrinks when the target sheds or slows down.
type Limit struct {
	Min     float64
	Max     float64
	Initial float64

	current float64
	cutAt   time.Time
}

// Current returns the limit in requests.
func (l *Limit) Current() float64 {
	if l.current == 0 {
		l.current = math.Min(math.Max(l.Initial, l.Min), l.Max)
	}
	l.current = math.Min(math.Max(l.current, l.Min), l.Max)
	return l.current
}

// Answer takes an answer: how many were in flight, and its latency as a multiple of the expected one.
func (l *Limit) Answer(now time.Time, inFlight int, ratio float64) {
	current := l.Current()
	if ratio > slowRatio {
		l.cut(now, slowFactor)
		return
	}
	if float64(inFlight) >= current-1 {
		l.current = math.Min(l.Max, current+growthPerTrip/current)
	}
}

// Shed takes a refusal or a time-out by the target.
func (l *Limit) Shed(now time.Time) {
	l.cut(now, shedFactor)
}

// cut shrinks at most once in an interval, so that one burst of bad answers counts once.
func (l *Limit) cut(now time.Time, factor float64) {
	current := l.Current()
	if now.Sub(l.cutAt) < cutInterval {
		return
	}
	l.cutAt = now
	l.current = math.Max(l.Min, current*factor)
}
