package breaker

import (
	"math/rand/v2"
	"time"
)

// Breaker opens after a number of consecutive failures. While it is open it allows single trial calls, with exponential
// backoff between them. It is not safe for concurrent use.
type Breaker struct {
	Threshold   int           // consecutive failures that open the breaker
	InitialWait time.Duration // wait before the first trial call
	MaxWait     time.Duration // longest wait between trial calls
	Random      *rand.Rand    // jitter that spreads the trial calls of many entries

	failures int
	wait     time.Duration
	retryAt  time.Time
	trying   bool // a trial call is in flight
}

// Allow reports whether a call may be made. While the breaker is open it allows one trial call at a time.
func (b *Breaker) Allow(now time.Time) bool {
	if !b.Open() {
		return true
	}
	if b.trying || now.Before(b.retryAt) {
		return false
	}
	b.trying = true
	return true
}

// Open reports whether calls are refused.
func (b *Breaker) Open() bool {
	return b.failures >= b.Threshold
}

// Success records a call that was answered and closes the breaker.
func (b *Breaker) Success() {
	b.failures, b.wait, b.trying = 0, 0, false
}

// Failure records a call that failed or was not answered in time.
func (b *Breaker) Failure(now time.Time) {
	b.failures++
	b.trying = false
	if !b.Open() {
		return
	}
	b.wait = min(b.MaxWait, max(b.InitialWait, 2*b.wait))
	jitter := 0.5 + b.Random.Float64()
	b.retryAt = now.Add(time.Duration(float64(b.wait) * jitter))
}
