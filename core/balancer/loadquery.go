package balancer

import (
	"math"
	"slices"
	"time"

	"poplarworks/core/lifecycle"
	"poplarworks/core/report"
	"poplarworks/core/request"
	"poplarworks/core/service"
)

const (
	maxReportAge             = 40 * time.Millisecond // after which a report says little: slowness shifts several times as often as requests end
	queryRetryInterval       = 10 * time.Second      // after which targets that told no load are asked again
	maxConfirmationAge       = 30 * time.Millisecond // for which a report shows that a doubtful target still takes work
	maxQuerySlowdown         = 2.0                   // reported slowdown above which a target is not asked again while the report is useful
	coldSlowdown             = 2.0                   // how much slower a target works while it is cold
	crossDataCentreCost      = 0.15                  // cost of a small answer's way between data centres, in times of an idle target's answer: more than busyCost
	largeCrossDataCentreCost = 3.0                   // cost of a large answer's way
	errorCost                = 8.0                   // cost of a target whose every attempt fails, in addition, as a multiple
	freeShareWeight          = 0.1                   // of one report in the share of this data centre's targets that had observed
	occupancyCost            = 0.1                   // breaks ties between targets with free slots
)

// reported takes a load report.
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

// same reports whether the record is of this incarnation.
func (t *target) isSameIncarnation(record service.Target) bool {
	return t.record.Name == record.Name && t.record.Address == record.Address && t.record.Started.Equal(record.Started)
}

// slowdown returns how many times longer than usual work takes at the target, by its last report.
func (t *target) slowdown() float64 {
	return max(1, t.report.Slowdown)
}

// answerTime is the expected time to an answer as a multiple of that of an idle target, by the last report and what was
// sent since.
func (t *target) relativeLatency(now time.Time) float64 {
	slots := float64(t.report.Slots)
	inFlight := float64(t.report.InFlight() + t.sentSinceReport)
	multiple := 1 + max(0, inFlight+1-slots)/slots
	if nearsSaturation(t.report.InFlight()+t.sentSinceReport, slots) {
		multiple *= t.saturation.slowdownFactor()
	}
	if now.Before(t.record.ColdUntil) {
		multiple *= coldSlowdown
	}
	return multiple * t.slowdown()
}

// reportedCost ranks targets by the time to an answer; one whose attempts fail costs more.
func (t *target) reportedCost(now time.Time) float64 {
	inFlight := float64(t.report.InFlight() + t.sentSinceReport)
	cost := t.relativeLatency(now) + occupancyCost*inFlight/float64(t.report.Slots)
	return cost * (1 + errorCost*t.slownessScore.ErrorShare())
}

// Candidates draws up to that many targets that are to be asked for their load before the request is submitted. A target that has
// just reported that it is slow is left out while others can be drawn.
func (b *Balancer) Candidates(now time.Time, r request.Request, limit int) []service.Target {
	if limit <= 0 {
		return nil
	}
	order := b.drawCandidates(now, r, limit)
	slices.SortStableFunc(order, func(x, y *target) int { return int(x.queryRank(now)) - int(y.queryRank(now)) })
	drawn := make([]service.Target, 0, limit)
	for _, t := range order[:min(limit, len(order))] {
		drawn = append(drawn, t.record)
	}
	return drawn
}

// draw returns the open targets in random order, but for those of this data centre that come first: all of them for a large
// answer, and else all but one of those that are asked, or fewer the less room this data centre had lately. It leaves the subset
// only if that has too few.
func (b *Balancer) drawCandidates(now time.Time, r request.Request, limit int) []*target {
	local, remote := b.drawByDataCentre(b.subset, now, r)
	if len(local)+len(remote) < limit && len(b.subset) < len(b.targets) {
		local, remote = b.drawByDataCentre(b.targets, now, r)
	}
	if r.Rule.Large {
		return append(local, remote...)
	}
	first := min(len(local), int(math.Round(b.localFreeShare*float64(limit-1))))
	rest := append(remote, local[first:]...)
	b.Random.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(local[:first:first], rest...)
}

// drawFrom returns the open targets of this data centre and of others, each in random order.
func (b *Balancer) drawByDataCentre(targets []*target, now time.Time, r request.Request) (local, remote []*target) {
	panicMode := b.targetCounts.inPanicMode()
	for _, i := range b.Random.Perm(len(targets)) {
		t := targets[i]
		if !t.open(now, panicMode) && !t.needsConfirmation() || slices.Contains(r.Tried, t.record.Name) {
			continue
		}
		if t.record.DataCentre == b.Home {
			local = append(local, t)
		} else {
			remote = append(remote, t)
		}
	}
	return local, remote
}

// doubtful reports whether the target may be asked, since that alone can show that it still takes work.
func (t *target) needsConfirmation() bool {
	return t.record.Doubtful && !t.removed && !t.stopped && t.stateMachine.State() != lifecycle.Leaving
}

// unlikely ranks targets that will probably not be chosen behind the others.
func (t *target) queryRank(now time.Time) int8 {
	if now.Sub(t.reportAt) < maxReportAge && t.slowdown() > maxQuerySlowdown {
		return 1
	}
	if t.stateMachine.State() == lifecycle.Trial {
		return -1
	}
	return 0
}

// noteRoom follows the share of this data centre's targets that have room when they are asked.
func (b *Balancer) updateLocalFreeShare(now time.Time, t *target) {
	if t.record.DataCentre != b.Home || t.report.Slots == 0 {
		return
	}
	observed := 0.0
	if t.hasFreeSlot(now) {
		observed = 1
	}
	b.localFreeShare += freeShareWeight * (observed - b.localFreeShare)
}

// crossing is the cost of the way of an answer from that target to this entry.
func (b *Balancer) networkCost(t *target, large bool) float64 {
	switch {
	case t.record.DataCentre == b.Home:
		return 0
	case large:
		return largeCrossDataCentreCost
	default:
		return crossDataCentreCost
	}
}

// Mute notes that a target is well and tells no load. While none of the service has ever told any, its targets are asked only
// if that is needed to trust them.
func (b *Balancer) Mute(now time.Time, name string) {
	i, ok := b.byName[name]
	if !ok {
		return
	}
	b.targets[i].healthyAt = now
	if b.saturation.reportedAt.IsZero() {
		b.skipQueriesUntil = now.Add(queryRetryInterval)
	}
}

// WorthAsking reports whether asking targets can tell anything.
func (b *Balancer) WorthAsking(now time.Time) bool {
	return !now.Before(b.skipQueriesUntil) || slices.ContainsFunc(b.targets, (*target).needsConfirmation)
}

// Unreachable notes that a target did not answer when it was asked for its load.
func (b *Balancer) Unreachable(now time.Time, name string) {
	if i, ok := b.byName[name]; ok {
		b.recordFailure(now, b.targets[i], failurePenalty)
	}
}
