package loadprobebudget

import (
	"math"
	"time"
)

const (
	// maxBurst is how much unused budget is saved up for a traffic peak.
	maxBurst = 8 * time.Second
	// initialBurst is the budget of a new process. It is small, since a process that is killed and restarted many times
	// in a day gets it each time.
	initialBurst = time.Second
	// reduceBelowShare is the share of the maximum burst below which fewer targets are probed for each request.
	reduceBelowShare = 0.3
)

// Budget is a token bucket in which each token pays for one probe. It is not safe for concurrent use.
type Budget struct {
	perSecond  float64
	tokens     float64
	refilledAt time.Time
}

// SetRate sets the rate of probes; zero means unlimited.
func (b *Budget) SetRate(now time.Time, perSecond float64) {
	if b.refilledAt.IsZero() {
		b.refilledAt, b.tokens = now, perSecond*initialBurst.Seconds()
	}
	b.refill(now)
	b.perSecond = perSecond
}

func (b *Budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.perSecond*maxBurst.Seconds(), b.tokens+b.perSecond*elapsed.Seconds())
		b.refilledAt = now
	}
}

// Take returns how many targets may be probed for one request and spends that many tokens. It grants limit while enough
// tokens are saved up, and fewer as the bucket runs empty.
func (b *Budget) Take(now time.Time, limit int) int {
	if b.perSecond <= 0 || limit <= 0 {
		return limit
	}
	b.refill(now)
	share := min(1, b.tokens/(reduceBelowShare*b.perSecond*maxBurst.Seconds()))
	granted := min(1+int(math.Round(share*float64(limit-1))), int(b.tokens))
	b.tokens -= float64(granted)
	return granted
}
