package exchange

import (
	"context"
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/outcome"
)

// attemptWithHedge makes an attempt, and a second one at another target if the first has not ended after the given
// time. The first complete answer is used; the other attempt is cancelled.
func (c *call) attemptWithHedge(first decision.Decision, after time.Duration) result {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	results := make(chan result, 2)
	firstRequest := c.targetRequest(first)
	go func() { results <- c.attempt(ctx, first, firstRequest) }()
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case res := <-results:
		return res
	case <-timer.C:
	}
	if _, quarantined := c.quarantined(); quarantined {
		return <-results
	}
	if !c.reserveTransfer() {
		return <-results
	}
	c.probeTargets()
	second, ok := c.service.Hedge(c.request)
	if !ok {
		return <-results
	}
	c.Counter("caller.hedges").Inc(1)
	c.recordAttempt(second)
	secondRequest := c.targetRequest(second)
	go func() { results <- c.attempt(ctx, second, secondRequest) }()
	res := <-results
	if res.outcome.Kind == outcome.Answered {
		cancel()
		<-results
		return res
	}
	return <-results
}
