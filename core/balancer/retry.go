package balancer

import (
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/outcome"
	"poplarworks/core/request"
)

// Retry decides on another attempt after one that has ended, and reports whether the rule, the deadline and the retry
// budget allow it. The request must keep its ID and list the targets that it has tried.
func (b *Balancer) Retry(now time.Time, r request.Request, last outcome.Outcome) (decision.Decision, bool) {
	if !mayRetry(r, last) {
		return decision.Decision{}, false
	}
	state := b.rule(r.Rule.Name, r.Rule.RetryRatio, r.Rule.HedgeRatio)
	if now.Add(state.expectedLatency()).After(r.Deadline) || !b.anyOpen(now, r) || !b.takeRetry(state) {
		return decision.Decision{}, false
	}
	d := b.decide(now, r, state)
	return d, d.Kind != decision.Refuse
}

// mayRetry reports whether the outcome is safe to retry: either the target did not run the request, or the request is
// idempotent and not suspected of crashing targets. A layer downstream that has already retried rules out another
// retry.
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

// sharesExtraBudget reports whether one budget covers the retries and hedges of all rules.
func (b *Balancer) sharesExtraBudget() bool {
	return b.service.ExtraBurst > 0
}

// takeRetry takes a token for one retry out of the budget, and reports whether there was one.
func (b *Balancer) takeRetry(state *ruleState) bool {
	if b.sharesExtraBudget() {
		return b.extraBudget.Take()
	}
	return state.retries.Take()
}
