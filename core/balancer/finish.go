package balancer

import (
	"time"

	"poplarworks/core/outcome"
	"poplarworks/core/targetstate"
)

const (
	failurePenalty      = 4.0 // a failure counts as an answer that takes this many times longer than expected
	minEjectErrorShare  = 0.5 // share of failed attempts above which a target may be ejected
	minEjectErrorExcess = 0.3 // margin by which that share must also exceed the mean of all targets
)

// Finish records the outcome of an attempt that Submit, Poll, Retry or Hedge sent. It must be called once per attempt.
func (b *Balancer) Finish(now time.Time, id uint64, o outcome.Outcome) {
	a, ok := b.inFlight[id]
	b.Check.Assert(ok, "attempt %d is not in flight, so it has ended twice or was never sent", id)
	if !ok {
		return
	}
	delete(b.inFlight, id)
	if b.expectedCompletions -= a.completionRate(); len(b.inFlight) == 0 {
		b.expectedCompletions = 0
	}
	t := a.target
	b.completions.add(now)
	if o.HasReport {
		t.reported(now, o.Report)
	}
	if o.Answering {
		t.setRateLimit(now, o.RateLimit)
	}
	if a.nearSaturation {
		b.saturation.endExploring()
	}
	t.load.Done()
	b.addToFreeList(t)
	b.Check.Assert(t.load.OwnInFlight() >= 0, "target %s has a negative in-flight count: %d", t.record.Name, t.load.OwnInFlight())
	if a.long {
		t.longInFlight--
		b.longInFlight--
	} else {
		t.slownessScore.End(id)
	}
	if o.Draining {
		b.leave(now, t)
	}
	b.recordOutcome(now, a, t, o)
}

// recordOutcome applies an outcome to the latencies, limits and failure state. A broken connection does not count
// against the target if the request itself is suspected of crashing targets.
func (b *Balancer) recordOutcome(now time.Time, a *attempt, t *target, o outcome.Outcome) {
	switch o.Kind {
	case outcome.Answered:
		b.recordSuccess(now, a, t, o)
	case outcome.Failed:
		b.recordFailure(now, t, failurePenalty)
	case outcome.Shed:
		t.limit.RecordShed(now)
		t.slownessScore.RecordFailure(now, failurePenalty)
	case outcome.NotSent:
		b.backOff(now, t)
	case outcome.Broken:
		if !o.Suspect {
			b.recordFailure(now, t, failurePenalty)
		}
	case outcome.TimedOut:
		t.limit.RecordShed(now)
		b.recordFailure(now, t, 2*failurePenalty)
	case outcome.Cancelled:
	}
}

// recordSuccess updates the latencies, the slowness score and the concurrency limit, and counts towards recovery from a
// trial or the end of slow start.
func (b *Balancer) recordSuccess(now time.Time, a *attempt, t *target, o outcome.Outcome) {
	t.backoff = 0
	state := b.rules[a.request.Rule.Name]
	state.medianLatency.Add(o.Latency)
	state.tailLatency.Add(o.Latency)
	b.learnLatency(a, state, o.Latency)
	if !a.long {
		// The cost of the target already includes the queue that the request met there, so the queue must not also
		// count as slowness.
		queued := max(0, a.loadAtSend+1-t.slots)
		expected := time.Duration(float64(a.expectedLatency) * (1 + queued/t.slots))
		t.slownessScore.RecordAnswer(now, o.Latency, expected)
		t.limit.RecordAnswer(now, t.load.OwnInFlight()+1, float64(o.Latency)/float64(expected))
	}
	switch t.stateMachine.State() {
	case targetstate.Trial:
		t.trialSuccesses++
		if t.trialSuccesses >= minTrialSuccesses && t.stateMachine.Fire(targetstate.Recover) {
			t.coldSince, t.ejectionPeriod = now, 0
			b.countTargets()
		}
	case targetstate.SlowStart:
		if now.Sub(t.coldSince) >= t.ramp {
			t.stateMachine.Fire(targetstate.Warm)
		}
	case targetstate.Active, targetstate.Ejected, targetstate.Leaving:
	}
}

// learnLatency updates the base latency from targets well below saturation, and the slowdown near saturation from the
// others.
func (b *Balancer) learnLatency(a *attempt, state *ruleState, latency time.Duration) {
	if !a.hasFreshReport || float64(a.targetInFlight) >= a.target.slots {
		return
	}
	if !nearsSaturation(a.targetInFlight, a.target.slots) {
		state.baseLatency.Add(time.Duration(float64(latency) / a.slowdown))
		return
	}
	if state.baseLatency.Count() >= minSaturationSamples {
		b.saturation.addRatio(float64(latency) / a.slowdown / float64(state.baseLatency.Value()))
	}
}

// recordFailure counts a failure, and ejects the target if it fails on trial or fails much more often than the others.
func (b *Balancer) recordFailure(now time.Time, t *target, penalty float64) {
	t.slownessScore.RecordFailure(now, penalty)
	if t.stateMachine.State() == targetstate.Trial {
		b.eject(now, t)
		return
	}
	share := t.slownessScore.ErrorShare()
	if share > minEjectErrorShare && share > b.targetCounts.errorShare+minEjectErrorExcess && b.targetCounts.mayEject() {
		b.eject(now, t)
	}
}

// eject takes the target out of rotation, for twice as long each time until it recovers.
func (b *Balancer) eject(now time.Time, t *target) {
	if !t.stateMachine.Fire(targetstate.Eject) {
		return
	}
	t.ejectionPeriod = min(maxEjection, max(initialEjection, 2*t.ejectionPeriod))
	t.ejectedUntil = now.Add(t.ejectionPeriod)
	t.trialSuccesses = 0
	b.countTargets()
}

// backOff sends no requests to a target that refuses connections, for a time that doubles with each refusal. The
// target is not ejected, since such attempts cost it nothing.
func (b *Balancer) backOff(now time.Time, t *target) {
	t.backoff = min(maxBackoff, max(initialBackoff, 2*t.backoff))
	t.backoffUntil = now.Add(t.backoff)
	t.wasUnreachable = true
}

// Tick puts ejected targets on trial and ends slow start when their time has passed. It must be called several times a
// second.
func (b *Balancer) Tick(now time.Time) {
	for _, t := range b.targets {
		if t.stateMachine.State() == targetstate.Ejected && !now.Before(t.ejectedUntil) {
			t.stateMachine.Fire(targetstate.StartTrial)
		}
		if t.stateMachine.State() == targetstate.SlowStart && now.Sub(t.coldSince) >= t.ramp {
			t.stateMachine.Fire(targetstate.Warm)
		}
	}
	b.countTargets()
	b.checkInvariants()
}

// checkInvariants compares the counters with the state that they summarise, if there is a checker.
func (b *Balancer) checkInvariants() {
	if b.Check == nil {
		return
	}
	own := 0
	for _, t := range b.targets {
		own += t.load.OwnInFlight()
	}
	b.Check.Assert(own == len(b.inFlight), "targets count %d requests in flight, balancer holds %d", own, len(b.inFlight))
	queued := b.queues[shortQueue].Len() + b.queues[longQueue].Len() + b.queues[lateQueue].Len()
	b.Check.Assert(queued == len(b.waiting), "queues hold %d requests, but %d are waiting", queued, len(b.waiting))
	for name, r := range b.rules {
		b.Check.Assert(r.retries.WithinBudget(), "rule %s exceeds its retry budget", name)
		b.Check.Assert(r.hedges.WithinBudget(), "rule %s exceeds its hedge budget", name)
	}
}
