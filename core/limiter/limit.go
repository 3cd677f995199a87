package limiter

import (
	"math"
	"time"
)

const (
	shedDecreaseFactor   = 0.7
	slowDecreaseFactor   = 0.9
	slowLatencyRatio     = 3.0 // multiple of the expected latency above which an answer counts as slow
	minDecreaseInterval  = 50 * time.Millisecond
	increasePerRoundTrip = 1.0
)

// Limit is an AIMD concurrency limit: it increases additively while answers come in time, and decreases by a factor
// when the target sheds load or slows down.
type Limit struct {
	Min     float64
	Max     float64
	Initial float64

	current     float64
	decreasedAt time.Time
}

// Current returns the limit, in requests in flight.
func (l *Limit) Current() float64 {
	if l.current == 0 {
		l.current = math.Min(math.Max(l.Initial, l.Min), l.Max)
	}
	l.current = math.Min(math.Max(l.current, l.Min), l.Max)
	return l.current
}

// RecordAnswer records an answer: the number of requests in flight, and its latency as a multiple of the expected
// latency. The limit grows only while it is nearly used up.
func (l *Limit) RecordAnswer(now time.Time, inFlight int, ratio float64) {
	current := l.Current()
	if ratio > slowLatencyRatio {
		l.decrease(now, slowDecreaseFactor)
		return
	}
	if float64(inFlight) >= current-1 {
		l.current = math.Min(l.Max, current+increasePerRoundTrip/current)
	}
}

// RecordShed records that the target refused a request or let it time out.
func (l *Limit) RecordShed(now time.Time) {
	l.decrease(now, shedDecreaseFactor)
}

// decrease lowers the limit at most once per minDecreaseInterval, so that a burst of bad answers counts once.
func (l *Limit) decrease(now time.Time, factor float64) {
	current := l.Current()
	if now.Sub(l.decreasedAt) < minDecreaseInterval {
		return
	}
	l.decreasedAt = now
	l.current = math.Max(l.Min, current*factor)
}
