package balancer

import (
	"net/netip"
	"time"

	"poplarworks/core/report"
	"poplarworks/core/targetstate"
)

const minProbeAge = 30 * time.Millisecond // a target with a newer load report needs no probe

// NextProbe returns a random target whose load report is outdated, and takes the probe out of that target's budget.
func (b *Balancer) NextProbe(now time.Time) (name string, address netip.AddrPort, ok bool) {
	if len(b.targets) == 0 {
		return "", netip.AddrPort{}, false
	}
	start := b.Random.IntN(len(b.targets))
	for step := range b.targets {
		t := b.targets[(start+step)%len(b.targets)]
		if t.removed || t.stopped || t.stateMachine.State() == targetstate.Leaving || t.load.Age(now) < minProbeAge {
			continue
		}
		if now.Before(t.backoffUntil) || !t.probeBudget.Take(now) {
			continue
		}
		spent := t.probeBudget.Spent(now)
		b.Check.Assert(spent <= t.probeBudget.PerWindow, "target %s had %d probes within a window", t.record.Name, spent)
		return t.record.Name, t.record.Address, true
	}
	return "", netip.AddrPort{}, false
}

// ProbeAll returns all targets that may be probed, and takes one probe out of the budget of each. It is meant for an
// entry whose process was paused, so that its state of all targets is outdated.
func (b *Balancer) ProbeAll(now time.Time) map[string]netip.AddrPort {
	due := map[string]netip.AddrPort{}
	for _, t := range b.targets {
		if !t.removed && !t.stopped && t.stateMachine.State() != targetstate.Leaving && t.probeBudget.Take(now) {
			due[t.record.Name] = t.record.Address
		}
	}
	return due
}

// RecordProbe records the answer to a probe. It must not be called for a failed probe, which says nothing about the
// load.
func (b *Balancer) RecordProbe(now time.Time, name string, r report.Report, draining bool) {
	i, ok := b.byName[name]
	if !ok {
		return
	}
	b.targets[i].reported(now, r)
	b.updateLocalFreeShare(now, b.targets[i])
	if draining {
		b.leave(now, b.targets[i])
	}
}
