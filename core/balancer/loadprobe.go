package balancer

import (
	"math"
	"slices"
	"time"

	"poplarworks/core/report"
	"poplarworks/core/request"
	"poplarworks/core/service"
	"poplarworks/core/targetstate"
)

const (
	maxReportAge             = 40 * time.Millisecond // older reports say little: slowness changes several times per request
	probeRetryInterval       = 10 * time.Second      // targets that reported no load are probed again after this time
	maxConfirmationAge       = 30 * time.Millisecond // a report or health reply confirms a doubtful target for this long
	maxProbeSlowdown         = 2.0                   // a slower target is probed only if there are too few others
	coldSlowdown             = 2.0                   // factor by which a target is slower while it is cold
	crossDataCentreCost      = 0.15                  // for a small answer, in idle latencies; above occupancyCost
	largeCrossDataCentreCost = 3.0                   // the same for a large answer
	errorCost                = 8.0                   // multiple of the cost, added if all attempts at a target fail
	freeShareWeight          = 0.1                   // weight of one report in the moving average localFreeShare
	occupancyCost            = 0.1                   // for full slots; breaks ties between targets with free slots
)

// reported applies a load report.
func (t *target) reported(now time.Time, r report.Report) {
	t.load.Report(now, r.InFlight())
	if r.Slots > 0 {
		t.report, t.reportAt, t.sentSinceReport = r, now, 0
		t.slowdownFloor.Report(now, t.slowdown())
		if t.saturation != nil {
			t.saturation.reportedAt = now
		}
	}
}

// isSameIncarnation reports whether the record describes this incarnation of the target.
func (t *target) isSameIncarnation(record service.Target) bool {
	return t.record.Name == record.Name && t.record.Address == record.Address && t.record.Started.Equal(record.Started)
}

// slowdown returns the factor by which the target is slower than usual, according to its last report.
func (t *target) slowdown() float64 {
	return max(1, t.report.Slowdown)
}

// relativeLatency returns the expected latency as a multiple of that of an idle target, from the last report and the
// requests sent since.
func (t *target) relativeLatency(now time.Time) float64 {
	slots := float64(t.report.Slots)
	inFlight := float64(t.report.InFlight() + t.sentSinceReport)
	multiple := 1 + max(0, inFlight+1-slots)/slots
	if nearsSaturation(t.report.InFlight()+t.sentSinceReport, slots) {
		multiple *= t.saturation.slowdownFactor()
	}
	if now.Before(t.record.WarmupEndsAt) {
		multiple *= coldSlowdown
	}
	return multiple * t.slowdown()
}

// reportedCost returns the cost from the last report: the expected latency, increased for a target whose attempts fail.
func (t *target) reportedCost(now time.Time) float64 {
	inFlight := float64(t.report.InFlight() + t.sentSinceReport)
	cost := t.relativeLatency(now) + occupancyCost*inFlight/float64(t.report.Slots)
	return cost * (1 + errorCost*t.slownessScore.ErrorShare())
}

// ProbeCandidates draws at most limit targets to probe for their load before the request is submitted. A target that
// has just reported that it is slow is drawn only if there are too few others.
func (b *Balancer) ProbeCandidates(now time.Time, r request.Request, limit int) []service.Target {
	if limit <= 0 {
		return nil
	}
	limit = b.limitProbes(now, limit)
	order := b.drawCandidates(now, r, limit)
	slices.SortStableFunc(order, func(x, y *target) int { return int(x.probeRank(now)) - int(y.probeRank(now)) })
	drawn := make([]service.Target, 0, limit)
	for _, t := range order[:min(limit, len(order))] {
		drawn = append(drawn, t.record)
	}
	return drawn
}

// drawCandidates returns the open targets in the order in which they should be probed. For a large answer, all
// targets of this data centre come first. Otherwise they fill at most all but one of the probes, and fewer the less
// free capacity this data centre has had recently; the remaining targets follow in random order. Targets outside the
// subset are used only if the subset has too few.
func (b *Balancer) drawCandidates(now time.Time, r request.Request, limit int) []*target {
	local, remote := b.drawByDataCentre(b.subset, now, r)
	if len(local)+len(remote) < limit && len(b.subset) < len(b.targets) {
		local, remote = b.drawByDataCentre(b.targets, now, r)
	}
	if r.Rule.LargeAnswers {
		return append(local, remote...)
	}
	first := min(len(local), int(math.Round(b.localFreeShare*float64(limit-1))))
	rest := append(remote, local[first:]...)
	b.Random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(local[:first:first], rest...)
}

// drawByDataCentre returns the targets of this data centre and those of others, each in random order. It includes open
// targets and doubtful ones, which only a load probe can confirm.
func (b *Balancer) drawByDataCentre(targets []*target, now time.Time, r request.Request) (local, remote []*target) {
	panicMode := b.targetCounts.inPanicMode()
	for _, i := range b.Random.Perm(len(targets)) {
		t := targets[i]
		if !t.open(now, panicMode) && !t.needsConfirmation() || slices.Contains(r.Tried, t.record.Name) {
			continue
		}
		if t.record.DataCentre == b.DataCentre {
			local = append(local, t)
		} else {
			remote = append(remote, t)
		}
	}
	return local, remote
}

// needsConfirmation reports whether the target may be gone and must be probed to confirm that it still accepts work.
func (t *target) needsConfirmation() bool {
	return t.record.Unconfirmed && !t.removed && !t.stopped && t.stateMachine.State() != targetstate.Leaving
}

// probeRank ranks targets for load probes: targets on trial first, and last those that would probably not be chosen,
// since they have just reported that they are slow or have reached their rate limit.
func (t *target) probeRank(now time.Time) int8 {
	if !t.withinRateLimit(now) && now.Sub(t.rateLimitAt) < rateLimitCheckInterval {
		return 2
	}
	if now.Sub(t.reportAt) < maxReportAge && t.slowdown() > maxProbeSlowdown {
		return 1
	}
	if t.stateMachine.State() == targetstate.Trial {
		return -1
	}
	return 0
}

// updateLocalFreeShare updates the average share of this data centre's targets that have a free slot when they report.
func (b *Balancer) updateLocalFreeShare(now time.Time, t *target) {
	if t.record.DataCentre != b.DataCentre || t.report.Slots == 0 {
		return
	}
	observed := 0.0
	if t.hasFreeSlot(now) {
		observed = 1
	}
	b.localFreeShare += freeShareWeight * (observed - b.localFreeShare)
}

// networkCost returns the cost of transferring an answer from the target's data centre to this entry.
func (b *Balancer) networkCost(t *target, large bool) float64 {
	switch {
	case t.record.DataCentre == b.DataCentre:
		return 0
	case large:
		return largeCrossDataCentreCost
	default:
		return crossDataCentreCost
	}
}

// RecordHealthyWithoutLoad records that a target is healthy but reports no load. As long as no target of the service
// has ever reported load, the targets are not probed for probeRetryInterval, except when a doubtful target needs
// confirmation.
func (b *Balancer) RecordHealthyWithoutLoad(now time.Time, name string) {
	i, ok := b.byName[name]
	if !ok {
		return
	}
	b.targets[i].healthyAt = now
	if b.saturation.reportedAt.IsZero() {
		b.skipProbesUntil = now.Add(probeRetryInterval)
	}
}

// ShouldProbe reports whether load probes are useful at present.
func (b *Balancer) ShouldProbe(now time.Time) bool {
	return !now.Before(b.skipProbesUntil) || slices.ContainsFunc(b.targets, (*target).needsConfirmation)
}

// RecordProbeFailure records that a target did not answer a load probe, which counts as a failure.
func (b *Balancer) RecordProbeFailure(now time.Time, name string) {
	if i, ok := b.byName[name]; ok {
		b.recordFailure(now, b.targets[i], failurePenalty)
	}
}
