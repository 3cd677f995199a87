package balancer

import (
	"time"

	"poplarworks/core/snapshot"
)

// Dump returns a snapshot of the service's state for diagnostics.
func (b *Balancer) Dump(now time.Time) snapshot.Service {
	d := snapshot.Service{
		Name:              b.service.Name,
		Waiting:           len(b.waiting),
		FinishedPerSecond: b.completions.get(now),
		Ejected:           b.targetCounts.ejected,
	}
	for i := range b.queues {
		d.Queued[i] = b.queues[i].Len()
		d.Standing[i] = b.queues[i].Standing()
	}
	for _, t := range b.targets {
		d.Targets = append(d.Targets, b.dumpTarget(now, t))
	}
	for name, r := range b.rules {
		d.Rules = append(d.Rules, snapshot.Rule{
			Name:           name,
			TypicalLatency: r.medianLatency.Value(),
			SlowLatency:    r.tailLatency.Value(),
			Samples:        r.medianLatency.Count(),
			RetryTokens:    r.retries.Tokens(),
			Retries:        r.retries.Extra(),
			HedgeTokens:    r.hedges.Tokens(),
			Hedges:         r.hedges.Extra(),
		})
	}
	return d
}

func (b *Balancer) dumpTarget(now time.Time, t *target) snapshot.Target {
	rateLimit := -1.0
	if t.rateLimited {
		rateLimit = t.rateShare.PerSecond
	}
	return snapshot.Target{
		Name:              t.record.Name,
		Address:           t.record.Address.String(),
		State:             t.stateMachine.State(),
		Stopped:           t.stopped,
		Removed:           t.removed,
		Open:              t.open(now, b.targetCounts.inPanicMode()),
		InFlight:          t.load.OwnInFlight(),
		LongInFlight:      t.longInFlight,
		PeersLongInFlight: t.peersLongInFlight,
		EstimatedLoad:     t.load.At(now),
		ReportAge:         t.load.Age(now),
		Slowness:          t.slownessScore.Ratio(now),
		ErrorShare:        t.slownessScore.ErrorShare(),
		Limit:             t.limit.Current(),
		RateLimit:         rateLimit,
		Cost:              t.cost(now),
		Sent:              t.sent,
		ProbesSpent:       t.probeBudget.Spent(now),
	}
}
