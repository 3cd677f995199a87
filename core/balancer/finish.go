package balancer

import (
	"time"

	"poplarworks/core/lifecycle"
	"poplarworks/core/outcome"
)

const (
	failurePenalty = 4.0 // a failure costs as much as an answer that takes this many times longer than expected
	ejectErrors    = 0.5 // share of failed attempts above which a target may be ejected
	ejectExcess    = 0.3 // and by which it must exceed the mean of its peers
)

// Finish takes the end of an attempt that Submit, Poll, Retry or Hedge sent.
func (b *Balancer) Finish(now time.Time, id uint64, o outcome.Outcome) {
	a, ok := b.inFlight[id]
	b.Check.Hold(ok, "attempt %d ended twice", id)
	if !ok {
		return
	}
	delete(b.inFlight, id)
	if b.flowing -= a.perSecond(); len(b.inFlight) == 0 {
		b.flowing = 0
	}
	t := a.target
	b.finished.add(now)
	if o.HasReport {
		t.reported(now, o.Report)
	}
	if a.crowded {
		b.crowding.end()
	}
	t.load.Done()
	b.enlist(t)
	b.Check.Hold(t.load.Own() >= 0, "target %s has %d requests in flight", t.record.Name, t.load.Own())
	if a.long {
		t.long--
		b.long--
	} else {
		t.score.End(id)
	}
	if o.Draining {
		b.leave(now, t)
	}
	b.judge(now, a, t, o)
}

func (b *Balancer) judge(now time.Time, a *attempt, t *target, o outcome.Outcome) {
	switch o.Kind {
	case outcome.Answered:
		b.succeed(now, a, t, o)
	case outcome.Failed:
		b.fail(now, t, failurePenalty)
	case outcome.Shed:
		t.limit.Shed(now)
		t.score.Failure(now, failurePenalty)
	case outcome.NotSent:
		b.backOff(now, t)
	case outcome.Broken:
		if !o.Suspect {
			b.fail(now, t, failurePenalty)
		}
	case outcome.TimedOut:
		t.limit.Shed(now)
		b.fail(now, t, 2*failurePenalty)
	case outcome.Cancelled:
	}
}

func (b *Balancer) succeed(now time.Time, a *attempt, t *target, o outcome.Outcome) {
	t.backoff = 0
	state := b.rules[a.request.Rule.Name]
	state.typical.Add(o.Latency)
	state.slow.Add(o.Latency)
	b.learn(a, state, o.Latency)
	if !a.long {
		// The queue that the request met at the target is known already and must not count twice.
		queued := max(0, a.load+1-t.slots)
		expected := time.Duration(float64(a.expected) * (1 + queued/t.slots))
		t.score.Answer(now, o.Latency, expected)
		t.limit.Answer(now, t.load.Own()+1, float64(o.Latency)/float64(expected))
	}
	switch t.machine.State() {
	case lifecycle.Trial:
		t.trials++
		if t.trials >= trialsToRecover && t.machine.Fire(lifecycle.Recover) {
			t.since, t.ejection = now, 0
			b.count()
		}
	case lifecycle.Cold:
		if now.Sub(t.since) >= t.ramp {
			t.machine.Fire(lifecycle.Warm)
		}
	case lifecycle.Active, lifecycle.Ejected, lifecycle.Leaving:
	}
}

// learn follows the time that work takes at targets with room, and how much longer at crowded ones.
func (b *Balancer) learn(a *attempt, state *ruleState, latency time.Duration) {
	if !a.fresh || float64(a.held) >= a.target.slots {
		return
	}
	if !crowds(a.held, a.target.slots) {
		state.work.Add(time.Duration(float64(latency) / a.slowdown))
		return
	}
	if state.work.Count() >= crowdedSamples {
		b.crowding.add(float64(latency) / a.slowdown / float64(state.work.Value()))
	}
}

func (b *Balancer) fail(now time.Time, t *target, penalty float64) {
	t.score.Failure(now, penalty)
	if t.machine.State() == lifecycle.Trial {
		b.eject(now, t)
		return
	}
	share := t.score.ErrorShare()
	if share > ejectErrors && share > b.census.errors+ejectExcess && b.census.mayEject() {
		b.eject(now, t)
	}
}

func (b *Balancer) eject(now time.Time, t *target) {
	if !t.machine.Fire(lifecycle.Eject) {
		return
	}
	t.ejection = min(longestEjection, max(firstEjection, 2*t.ejection))
	t.ejectedTill = now.Add(t.ejection)
	t.trials = 0
	b.count()
}

// backOff keeps away from a target that refuses connections; this is no ejection, since it costs the target nothing.
func (b *Balancer) backOff(now time.Time, t *target) {
	t.backoff = min(longestBackoff, max(firstBackoff, 2*t.backoff))
	t.backoffTill = now.Add(t.backoff)
	t.unreachable = true
}

// Tick moves the lifecycles that wait for time to pass; call it several times a second.
func (b *Balancer) Tick(now time.Time) {
	for _, t := range b.targets {
		if t.machine.State() == lifecycle.Ejected && !now.Before(t.ejectedTill) {
			t.machine.Fire(lifecycle.Try)
		}
		if t.machine.State() == lifecycle.Cold && now.Sub(t.since) >= t.ramp {
			t.machine.Fire(lifecycle.Warm)
		}
	}
	b.count()
	b.assert()
}

func (b *Balancer) assert() {
	if b.Check == nil {
		return
	}
	own := 0
	for _, t := range b.targets {
		own += t.load.Own()
	}
	b.Check.Hold(own == len(b.inFlight), "counted %d requests in flight, hold %d", own, len(b.inFlight))
	queued := b.queues[shortQueue].Len() + b.queues[longQueue].Len() + b.queues[lateQueue].Len()
	b.Check.Hold(queued == len(b.waiting), "queues hold %d requests, %d wait", queued, len(b.waiting))
	for name, r := range b.rules {
		b.Check.Hold(r.retries.Within(), "rule %s exceeds its retry budget", name)
		b.Check.Hold(r.hedges.Within(), "rule %s exceeds its hedge budget", name)
	}
}
