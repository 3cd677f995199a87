package balancer

import (
	"time"

	"poplarworks/core/snapshot"
)

// Dump returns the state as seen now.
func (b *Balancer) Dump(now time.Time) snapshot.Service {
	d := snapshot.Service{
		Name:     b.service.Name,
		Waiting:  len(b.waiting),
		Finished: b.finished.get(now),
		Ejected:  b.census.ejected,
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
			Name:        name,
			Typical:     r.typical.Value(),
			Slow:        r.slow.Value(),
			Samples:     r.typical.Count(),
			RetryTokens: r.retries.Tokens(),
			Retries:     r.retries.Extra(),
			HedgeTokens: r.hedges.Tokens(),
			Hedges:      r.hedges.Extra(),
		})
	}
	return d
}

func (b *Balancer) dumpTarget(now time.Time, t *target) snapshot.Target {
	return snapshot.Target{
		Name:        t.record.Name,
		Address:     t.record.Address.String(),
		State:       t.machine.State(),
		Stopped:     t.stopped,
		Removed:     t.removed,
		Open:        t.open(now, b.census.panicking()),
		InFlight:    t.load.Own(),
		Long:        t.long,
		PeersLong:   t.peersLong,
		Load:        t.load.At(now),
		ReportAge:   t.load.Age(now),
		Slowness:    t.score.Ratio(now),
		ErrorShare:  t.score.ErrorShare(),
		Limit:       t.limit.Current(),
		Cost:        t.cost(now),
		Sent:        t.sent,
		ProbesSpent: t.probes.Spent(now),
	}
}
