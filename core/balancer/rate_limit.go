package balancer

import (
	"math"
	"time"

	"poplarworks/core/ratelimit"
	"poplarworks/core/request"
)

const (
	rateLimitCheckInterval = time.Second // a target at its limit is probed this often, to learn when the limit changes
	minProbes              = 2           // for one request, however many targets have reached their limit
)

// RecordRateLimit records the rate limit that a target has just named, or that it names none. It reports whether the
// target named none before and does now, or the reverse.
func (b *Balancer) RecordRateLimit(now time.Time, name string, l ratelimit.Limit) (changed bool) {
	i, ok := b.byName[name]
	if !ok {
		return false
	}
	t := b.targets[i]
	changed = t.rateLimited != l.Named
	t.setRateLimit(now, l)
	if changed && l.Named {
		b.updateRateSharers()
		b.assignRateShare(t)
	}
	return changed
}

// RateSharers returns the number of entries among which this one divides the rate limit of a target, and the position of
// its own turn in a round of all of them, from 0 to 1.
func (b *Balancer) RateSharers(name string) (entries int, position float64) {
	i, ok := b.byName[name]
	if !ok {
		return 0, 0
	}
	return b.targets[i].rateShare.Entries, b.targets[i].rateShare.Position
}

func (t *target) setRateLimit(now time.Time, l ratelimit.Limit) {
	t.rateLimited, t.rateLimitAt = l.Named, now
	t.rateShare.PerSecond = l.PerSecond
}

// withinRateLimit reports whether this entry may send the target a request within its share of the target's rate limit.
func (t *target) withinRateLimit(now time.Time) bool {
	return !t.rateLimited || t.sharesRateLimit && t.rateShare.Available(now)
}

// limitProbes lowers the number of probes for one request by the share of targets that have reached their rate limit. The
// others would otherwise get the probes of all, which take slots.
func (b *Balancer) limitProbes(now time.Time, limit int) int {
	within := 0
	for _, t := range b.subset {
		if t.withinRateLimit(now) {
			within++
		}
	}
	if within == len(b.subset) {
		return limit
	}
	share := float64(within) / float64(len(b.subset))
	return min(limit, max(minProbes, int(math.Ceil(share*float64(limit)))))
}

// rateLimitWait returns how long the request would wait because of rate limits, and true, if all open targets have
// reached theirs.
func (b *Balancer) rateLimitWait(now time.Time, r request.Request) (time.Duration, bool) {
	v := b.view(now, r, false)
	soonest, perSecond := time.Hour, 0.0
	for i, t := range b.targets {
		if !v.Open(i) {
			continue
		}
		if t.withinRateLimit(now) {
			return 0, false
		}
		if !t.sharesRateLimit {
			continue
		}
		soonest = min(soonest, t.rateShare.Wait(now))
		perSecond += t.rateShare.PerSecond / float64(t.rateShare.Entries)
	}
	if perSecond <= 0 {
		return soonest, true
	}
	queued := time.Duration(float64(len(b.waiting)) / perSecond * float64(time.Second))
	return min(time.Hour, soonest+queued), true
}
