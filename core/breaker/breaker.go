package breaker

import (
	"math/rand/v2"
	"time"
)

// Breaker opens after a number of failures in a row; it is not safe for concurrent use.
type Breaker struct {
	Threshold int           // failures in a row that open it
	First     time.Duration // wait before the first look
	Longest   time.Duration // longest wait between looks
	Random    *rand.Rand    // spreads the looks of many entries

	failures int
	wait     time.Duration
	retryAt  time.Time
	looking  bool
}

// Allow reports whether a call may be made; while the breaker is open it allows one look at a time.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.Open() {
		return true
	}
	if b.looking || now.Before(b.retryAt) {
		return false
	}
	b.looking = true
	return true
}

// Open reports whether calls are refused.
func (b *Breaker) Open() bool {
	return b.failures >= b.Threshold
}

// Success takes a call that was answered.
func (b *Breaker) Success() {
	b.failures, b.wait, b.looking = 0, 0, false
}

// Failure takes a call that was not answered in time.
func (b *Breaker) Failure(now time.Time) {
	b.failures++
	b.looking = false
	if !b.Open() {
		return
	}
	b.wait = min(b.Longest, max(b.First, 2*b.wait))
	jitter := 0.5 + b.Random.Float64()
	b.retryAt = now.Add(time.Duration(float64(b.wait) * jitter))
}
