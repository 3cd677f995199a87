package balancer

import (
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/request"
	"poplarworks/core/rule"
)

const (
	minHedgeSamples       = 100 // answers needed before the tail latency is used
	retryReserveShare     = 0.5 // share of the shared budget that is reserved for retries
	minBaseLatencySamples = 10  // answers needed before the base latency is used
	overdueFactor         = 1.6 // multiple of the expected latency after which most open attempts are in the slow tail
	stuckFactor           = 4.0 // multiple of the expected latency after which an attempt will probably never be answered
)

// HedgeAfter returns how long an attempt that has just been sent may run before a hedge is sent, and whether to hedge
// at all. Only short, idempotent requests are hedged.
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

// overdueHedgeDelay returns the delay after which an attempt has run for much longer than its target's report led to
// expect. A hedge that would miss the objective is sent only once the first attempt is probably stuck, and none is
// sent that would miss the deadline.
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

// Hedge sends a second attempt to another target while the first is in flight. A hedge is never queued, and none is
// sent while requests are queued.
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

// mayHedge reports whether the budget allows a hedge. Half of a shared budget is reserved for retries, which save
// requests that would otherwise fail.
func (b *Balancer) mayHedge(state *ruleState) bool {
	if b.sharesExtraBudget() {
		return b.extraBudget.Tokens() >= max(1, retryReserveShare*b.service.ExtraBurst)
	}
	return state.hedges.Tokens() >= 1
}

// takeHedge takes a token for one hedge out of the budget.
func (b *Balancer) takeHedge(state *ruleState) {
	if b.sharesExtraBudget() {
		b.extraBudget.Take()
		return
	}
	state.hedges.Take()
}
