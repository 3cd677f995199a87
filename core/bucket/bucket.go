package bucket

import "time"

// Bucket is a token bucket that starts with one token. It is not safe for concurrent use.
type Bucket struct {
	PerSecond float64
	Burst     float64

	tokens     float64
	refilledAt time.Time
}

// Take spends a token. If there is none it returns the time until the next one.
func (b *Bucket) Take(now time.Time) (wait time.Duration, ok bool) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	return time.Duration((1 - b.tokens) / b.PerSecond * float64(time.Second)), false
}

func (b *Bucket) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.refilledAt, b.tokens = now, 1
		return
	}
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.tokens = min(max(1, b.Burst), b.tokens+b.PerSecond*elapsed.Seconds())
	b.refilledAt = now
}
