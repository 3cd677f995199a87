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
	sharersMargin          = 1.25        // of the number of entries whose subset has a target
)

// RecordRateLimit records the rate limit that a target has just named, or that it names none. It reports whether the
// target named none before and does now, or the reverse.
func (b *Balancer) RecordRateLimit(now time.Time, name string, l ratelimit.Limit) (changed bool) {
	i, ok := b.byName[name]
	if !ok {
		return false
	}
	changed = b.targets[i].rateLimited != l.Named
	b.targets[i].setRateLimit(now, l)
	return changed
}

// RateSharers returns the number of entries among which this one divides the rate limit of a target, and the position of
// its own turn in a round of all of them, from 0 to 1.
func (b *Balancer) RateSharers(name string) (entries int, position float64) {
	i, ok := b.byName[name]
	if !ok {
		return 0, 0
	}
	share := &b.targets[i].rateShare
	return share.Entries, share.Position
}

func (t *target) setRateLimit(now time.Time, l ratelimit.Limit) {
	t.rateLimited, t.rateLimitAt = l.Named, now
	t.rateShare.PerSecond = l.PerSecond
}

// withinRateLimit reports whether this entry may send the target a request within its share of the target's rate limit.
func (t *target) withinRateLimit(now time.Time) bool {
	return !t.rateLimited || t.rateShare.Available(now)
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

// assignRateShares divides the rate limits of the targets among the entries that send to them. If each entry uses only a
// subset of the targets, their number is estimated.
func (b *Balancer) assignRateShares() {
	entries := max(1, b.service.Entries)
	sharers := entries
	if size := b.service.MaxProbedTargets; size > 0 && len(b.targets) > size {
		share := float64(size) / float64(len(b.targets))
		sharers = min(entries, int(math.Ceil(sharersMargin*share*float64(entries))))
	}
	for _, t := range b.targets {
		t.rateShare.Entries = sharers
		_, t.rateShare.Position = math.Modf(float64(b.service.EntryPosition)/float64(entries) + float64(hashName(t.record.Name))/(math.MaxUint32+1))
	}
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
		soonest = min(soonest, t.rateShare.Wait(now))
		perSecond += t.rateShare.PerSecond / float64(t.rateShare.Entries)
	}
	if perSecond <= 0 {
		return soonest, true
	}
	queued := time.Duration(float64(len(b.waiting)) / perSecond * float64(time.Second))
	return min(time.Hour, soonest+queued), true
}
