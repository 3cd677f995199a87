package exchange

import (
	"context"
	"time"

	"poplarworks/core/decision"
	"poplarworks/core/outcome"
)

// hedged makes a second attempt when the first has not ended in time; the loser is cancelled at its target.
func (c *call) hedged(first decision.Decision, after time.Duration) result {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	results := make(chan result, 2)
	outgoing := c.outgoing(first)
	go func() { results <- c.attempt(ctx, first, outgoing) }()
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case res := <-results:
		return res
	case <-timer.C:
	}
	c.ask()
	second, ok := c.service.Hedge(c.request)
	if !ok {
		return <-results
	}
	c.Counter("caller.hedges").Inc(1)
	c.note(second)
	again := c.outgoing(second)
	go func() { results <- c.attempt(ctx, second, again) }()
	res := <-results
	if res.outcome.Kind == outcome.Answered {
		cancel()
		<-results
		return res
	}
	return <-results
}
