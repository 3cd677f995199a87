package balancer

import (
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/request"
	"poplarworks/core/rule"
)

const (
	minHedgeSamples       = 100
	retryReserveShare     = 0.5 // share of a common budget that is kept for retries
	minBaseLatencySamples = 10  // answers before the time that work usually takes is believed
	overdueFactor         = 1.6 // multiple of the expected time after which most attempts that go on are far longer than usual
	stuckFactor           = 4.0 // the same, after which an attempt will probably never be answered
)

// HedgeAfter returns how long to wait for the answer to an attempt that has just begun before a second one is sent beside it, and
// whether to hedge at all.
func (b *Balancer) HedgeAfter(now time.Time, id uint64) (time.Duration, bool) {
	a, ok := b.inFlight[id]
	if !ok || !a.request.Rule.Idempotent || a.request.Rule.Class != rule.Short {
		return 0, false
	}
	state := b.rules[a.request.Rule.Name]
	if b.sharesExtraBudget() {
		return b.overdueHedgeDelay(now, a, state)
	}
	if a.request.Rule.HedgeRatio <= 0 || state.tailLatency.Count() < minHedgeSamples {
		return 0, false
	}
	return state.tailLatency.Value(), true
}

// hedgeOverdue hedges an attempt that takes much longer than its target's report let expect, while a second attempt can still be in
// time. One that would be late is made only if the first is probably stuck.
func (b *Balancer) overdueHedgeDelay(now time.Time, a *attempt, state *ruleState) (time.Duration, bool) {
	if state.baseLatency.Count() < minBaseLatencySamples {
		return 0, false
	}
	overdue := a.sentAt.Add(time.Duration(overdueFactor * float64(a.adjustedLatency)))
	if b.latestStart(overdue, a.request, state).Before(overdue) {
		overdue = a.sentAt.Add(time.Duration(stuckFactor * float64(a.adjustedLatency)))
	}
	if overdue.Add(state.baseLatencyOrDefault()).After(a.request.Deadline) {
		return 0, false
	}
	return max(0, overdue.Sub(now)), true
}

// Hedge asks for a second target while the first attempt is in flight; it never waits.
func (b *Balancer) Hedge(now time.Time, r request.Request) (decision.Decision, bool) {
	state, ok := b.rules[r.Rule.Name]
	if !ok || r.Attempt >= r.Rule.MaxAttempts || b.Waiting() > 0 || !b.anyOpen(now, r) || !b.mayHedge(state) {
		return decision.Decision{}, false
	}
	b.nextID++
	r.ID = b.nextID
	d, sent := b.send(now, r, false, state)
	if sent {
		b.takeHedge(state)
	}
	return d, sent
}

// mayHedge leaves half of a common budget to retries, which save requests that are lost otherwise.
func (b *Balancer) mayHedge(state *ruleState) bool {
	if b.sharesExtraBudget() {
		return b.extraBudget.Tokens() >= max(1, retryReserveShare*b.service.ExtraBurst)
	}
	return state.hedges.Tokens() >= 1
}

func (b *Balancer) takeHedge(state *ruleState) {
	if b.sharesExtraBudget() {
		b.extraBudget.Take()
		return
	}
	state.hedges.Take()
}
