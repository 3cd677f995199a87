package balancer

import (
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/outcome"
	"poplarworks/core/request"
)

// Retry asks for another target after an attempt that has ended, and reports whether the rule and the retry budget
// allow one. The request keeps its ID and names the targets that it has tried.
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

// sharesExtra reports whether one budget covers the extra attempts of all rules.
func (b *Balancer) sharesExtraBudget() bool {
	return b.service.ExtraBurst > 0
}

func (b *Balancer) takeRetry(state *ruleState) bool {
	if b.sharesExtraBudget() {
		return b.extraBudget.Take()
	}
	return state.retries.Take()
}
