package balancer

import (
	"net/netip"
	"time"

	"poplarworks/core/stop"
	"poplarworks/core/targetstate"
)

const (
	leavingCheckInterval = 2 * time.Second
	leavingProbeDelay    = 10 * time.Second // an unstable drain signal must not bring work back at once
)

// leave stops new work at a target. The leaving state is sticky, so that an unstable drain signal does not bring work
// back.
func (b *Balancer) leave(now time.Time, t *target) {
	if !t.stateMachine.Fire(targetstate.Leave) {
		return
	}
	t.leavingSince, t.checkedAt = now, now
	t.wasUnreachable = false
	b.countTargets()
}

// MarkLeaving stops new work at a target that is leaving according to a peer or the VM list. It reports whether the
// target was not already known to be leaving.
func (b *Balancer) MarkLeaving(now time.Time, name string) bool {
	i, ok := b.byName[name]
	if !ok || b.targets[i].stateMachine.State() == targetstate.Leaving {
		return false
	}
	b.leave(now, b.targets[i])
	return true
}

// LeavingTargets returns the names of the targets in the leaving state.
func (b *Balancer) LeavingTargets() []string {
	var names []string
	for _, t := range b.targets {
		if !t.removed && t.stateMachine.State() == targetstate.Leaving {
			names = append(names, t.record.Name)
		}
	}
	return names
}

// ApplyStops applies the planned stops that are in force, and lifts those that were withdrawn.
func (b *Balancer) ApplyStops(now time.Time, stops []stop.Stop) {
	stopped := map[string]bool{}
	for _, s := range stops {
		if s.Service == b.service.Name && s.InForce(now) {
			stopped[s.Target] = true
		}
	}
	for _, t := range b.targets {
		t.stopped = stopped[t.record.Name]
	}
	b.countTargets()
}

// NextLeavingCheck returns a leaving target that is due for a check of whether it can be reached. If probe is set, the
// check is a probe within the probe budget, which also shows whether the target still says that it is leaving.
func (b *Balancer) NextLeavingCheck(now time.Time) (name string, address netip.AddrPort, probe, ok bool) {
	for _, t := range b.targets {
		if t.removed || t.stateMachine.State() != targetstate.Leaving || now.Sub(t.checkedAt) < leavingCheckInterval {
			continue
		}
		t.checkedAt = now
		probe = now.Sub(t.leavingSince) >= leavingProbeDelay && t.probeBudget.Take(now)
		return t.record.Name, t.record.Address, probe, true
	}
	return "", netip.AddrPort{}, false, false
}

// RecordLeavingCheck records the result of a check. A target returns to service if it is reachable after having been
// unreachable, since it is then a new incarnation, or if a probe shows that it is no longer leaving.
func (b *Balancer) RecordLeavingCheck(now time.Time, name string, reachable, stillServing bool) {
	i, ok := b.byName[name]
	if !ok {
		return
	}
	t := b.targets[i]
	if !reachable {
		t.wasUnreachable = true
		return
	}
	if (t.wasUnreachable || stillServing) && t.stateMachine.Fire(targetstate.Return) {
		t.coldSince = now
		t.backoffUntil = time.Time{}
		b.countTargets()
	}
}

// StillAcceptsWork reports whether the target that was chosen for a request still accepts work. Time may have passed
// since the choice, in storing a claim or in a pause of the process.
func (b *Balancer) StillAcceptsWork(id uint64) bool {
	a, ok := b.inFlight[id]
	if !ok {
		return false
	}
	t := a.target
	return !t.removed && !t.stopped && t.stateMachine.State() != targetstate.Leaving
}

// InFlight returns the number of this entry's requests in flight at the target, and whether the target accepts new
// requests from this entry.
func (b *Balancer) InFlight(now time.Time, name string) (count int, open bool) {
	for _, t := range b.targets {
		if t.record.Name != name {
			continue
		}
		count += t.load.OwnInFlight()
		open = open || t.open(now, b.targetCounts.inPanicMode())
	}
	return count, open
}
