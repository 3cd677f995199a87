package balancer

import (
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/outcome"
	"poplarworks/core/request"
	"poplarworks/core/rule"
)

const (
	hedgeSamples = 100
	hedgeReserve = 0.5 // share of a common budget that is kept for retries
)

// Retry asks for another target after an attempt that has ended, and reports whether the rule and the retry budget
// allow one. The request keeps its ID and names the targets that it has tried.
func (b *Balancer) Retry(now time.Time, r request.Request, last outcome.Outcome) (decision.Decision, bool) {
	if !mayRetry(r, last) {
		return decision.Decision{}, false
	}
	state := b.rule(r.Rule.Name, r.Rule.RetryRatio, r.Rule.HedgeRatio)
	if now.Add(state.expected()).After(r.Deadline) || !b.anyOpen(now, r) || !b.takeRetry(state) {
		return decision.Decision{}, false
	}
	d := b.decide(now, r, state)
	return d, d.Kind != decision.Refuse
}

func mayRetry(r request.Request, last outcome.Outcome) bool {
	if last.Downstream || r.Attempt >= r.Rule.MaxAttempts {
		return false
	}
	switch last.Kind {
	case outcome.Shed, outcome.NotSent:
		return true
	case outcome.Failed, outcome.Broken:
		return r.Rule.Idempotent && !last.Suspect
	case outcome.Answered, outcome.TimedOut, outcome.Cancelled:
		return false
	}
	return false
}

// HedgeAfter returns how long to wait for an answer before a second attempt, and whether to hedge at all.
func (b *Balancer) HedgeAfter(r *rule.Rule) (time.Duration, bool) {
	state, ok := b.rules[r.Name]
	if !ok || !r.Idempotent || r.HedgeRatio <= 0 || r.Class != rule.Short || state.slow.Count() < hedgeSamples {
		return 0, false
	}
	return state.slow.Value(), true
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

// sharesExtra reports whether one budget covers the extra attempts of all rules.
func (b *Balancer) sharesExtra() bool {
	return b.service.ExtraBurst > 0
}

func (b *Balancer) takeRetry(state *ruleState) bool {
	if b.sharesExtra() {
		return b.extra.Take()
	}
	return state.retries.Take()
}

// mayHedge leaves half of a common budget to retries, which save requests that are lost otherwise.
func (b *Balancer) mayHedge(state *ruleState) bool {
	if b.sharesExtra() {
		return b.extra.Tokens() >= max(1, hedgeReserve*b.service.ExtraBurst)
	}
	return state.hedges.Tokens() >= 1
}

func (b *Balancer) takeHedge(state *ruleState) {
	if b.sharesExtra() {
		b.extra.Take()
		return
	}
	state.hedges.Take()
}
