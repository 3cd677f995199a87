package exchange

import (
	"context"
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/outcome"
)

// attemptWithHedge makes an attempt, and a second one at another target if the first has not ended after the given
// time. The one that begins to stream its answer, or has it completely, answers the caller; the other is cancelled and
// has ended when attemptWithHedge returns.
func (c *call) attemptWithHedge(first decision.Decision, after time.Duration) result {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	results := make(chan result, 2)
	firstRequest := c.targetRequest(first)
	go func() { results <- c.attempt(ctx, first, firstRequest, wholeAnswer) }()
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case res := <-results:
		return res
	case <-timer.C:
	}
	if c.answerClaimed.Load() || !c.startHedge(ctx, results) {
		return <-results
	}
	res := <-results
	if !c.answersCaller(res) {
		return <-results
	}
	cancel()
	<-results
	return res
}

// startHedge starts the second attempt if the request may be sent once more, and reports whether it did.
func (c *call) startHedge(ctx context.Context, results chan<- result) bool {
	if _, quarantined := c.quarantined(); quarantined {
		return false
	}
	if !c.reserveTransfer() {
		return false
	}
	c.probeTargets()
	second, ok := c.service.Hedge(c.request)
	if !ok {
		return false
	}
	c.Counter("caller.hedges").Inc(1)
	c.recordAttempt(second)
	secondRequest := c.targetRequest(second)
	go func() { results <- c.attempt(ctx, second, secondRequest, wholeAnswer) }()
	return true
}

// answersCaller reports whether the result is the one for the caller though another attempt is in flight: it was
// streamed, or is a complete answer that gets the claim.
func (c *call) answersCaller(res result) bool {
	return res.streamed || res.outcome.Kind == outcome.Answered && c.claimAnswer()
}
