package askbudget

import (
	"math"
	"time"
)

const (
	burst  = 8 * time.Second // of probes that may be saved up for the crest of a wave
	start  = time.Second     // of probes that a new process has, which may be killed and started many times in a day
	plenty = 0.3             // share of the burst below which fewer targets are asked for each request
)

// Budget is a bucket of probes; it is not safe for concurrent use.
type Budget struct {
	perSecond float64
	tokens    float64
	at        time.Time
}

// Limit sets the rate; zero is no bound.
func (b *Budget) Limit(now time.Time, perSecond float64) {
	if b.at.IsZero() {
		b.at, b.tokens = now, perSecond*start.Seconds()
	}
	b.fill(now)
	b.perSecond = perSecond
}

func (b *Budget) fill(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(b.perSecond*burst.Seconds(), b.tokens+b.perSecond*elapsed.Seconds())
		b.at = now
	}
}

// Take returns how many targets may be asked for one request: that many while enough probes are saved up, and fewer the
// less is left.
func (b *Budget) Take(now time.Time, most int) int {
	if b.perSecond <= 0 || most <= 0 {
		return most
	}
	b.fill(now)
	share := min(1, b.tokens/(plenty*b.perSecond*burst.Seconds()))
	granted := min(1+int(math.Round(share*float64(most-1))), int(b.tokens))
	b.tokens -= float64(granted)
	return granted
}
