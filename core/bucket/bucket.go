package bucket

import "time"

// Bucket is a token bucket that starts with one token; it is not safe for concurrent use.
type Bucket struct {
	PerSecond float64
	Burst     float64

	tokens float64
	at     time.Time
}

// Take spends a token, or returns how long to wait for one.
func (b *Bucket) Take(now time.Time) (wait time.Duration, ok bool) {
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / b.PerSecond * float64(time.Second)), false
}

func (b *Bucket) fill(now time.Time) {
	if b.at.IsZero() {
		b.at, b.tokens = now, 1
		return
	}
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.tokens = min(max(1, b.Burst), b.tokens+b.PerSecond*elapsed.Seconds())
	b.at = now
}
