package exchange

import (
	"context"
	"net/http"
	"time"

	"poplarworks/core/code"
	"poplarworks/core/decision"
	"poplarworks/core/outcome"
	"poplarworks/entry/claims"
	"poplarworks/entry/refusal"
	"poplarworks/entry/relay"
)

const lookTimeout = 250 * time.Millisecond

// serveClaimed runs a request that must run at most once: it waits for a target, claims the key, and only then sends.
func (c *call) serveClaimed() {
	ticket := claims.NewTicket(c.rule.Service, c.identity(), c.key, c.contentPrint(), c.rule.Retention, c.Check)
	d := c.submit()
	if res, ended := c.undecided(d); ended {
		c.refuseUnclaimed(ticket, res)
		return
	}
	result := c.Claims.Claim(c.ctx, ticket)
	if !result.Granted {
		c.service.Finish(d.ID, outcome.Outcome{Kind: outcome.Cancelled})
		c.answerEarlier(result)
		return
	}
	c.ticket = ticket
	c.detach()
	c.runClaimed(d)
}

// detach lets a claimed request run to its end although the caller may leave, so that the answer is there for the
// caller's next send.
func (c *call) detach() {
	c.cancel()
	c.ctx, c.cancel = context.WithDeadline(context.WithoutCancel(c.r.Context()), c.request.Deadline)
}

func (c *call) runClaimed(d decision.Decision) {
	res := c.loop(d)
	c.Claims.Settle(c.ticket, res.answer)
	c.finish(res)
}

// answerEarlier gives what an earlier send of the key came to.
func (c *call) answerEarlier(result claims.Result) {
	if result.Answer != nil {
		c.w.Header().Set(relay.ReplayHeader, "true")
		c.replay(result.Answer)
		return
	}
	c.refuse(refusal.Refusal{Code: result.Code, Run: result.Run, RetryAfter: retryAfter(result.Code), SendNotRun: true})
}

func retryAfter(number code.Code) time.Duration {
	if number == code.StoreUnavailable || number == code.ClaimUnknown || number == code.EarlierUnknown {
		return time.Second
	}
	return 0
}

// refuseEarly refuses a request before its claim was looked at. Of a request that may be the repetition of one that ran,
// nobody may be told that it did not run without a look.
func (c *call) refuseEarly(r refusal.Refusal) {
	switch {
	case r.Code == code.Quarantined && c.key != "":
		ticket := claims.NewTicket(c.rule.Service, c.identity(), c.key, c.contentPrint(), c.rule.Retention, c.Check)
		c.refuseUnclaimed(ticket, result{code: r.Code, retryAfter: r.RetryAfter})
		return
	case !safe(c.r.Method) && !c.rule.Idempotent && mendable(r.Code):
		r.Run, r.SendNotRun = code.Unknown, true
	}
	c.refuse(r)
}

// safe reports whether the method asks for nothing that could run twice.
func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// mendable reports whether the same request may have got further at another time or entry.
func mendable(number code.Code) bool {
	switch number {
	case code.NoRule, code.NoTarget, code.Draining, code.NotReady, code.Overloaded, code.BodyTimeout:
		return true
	default:
		return false
	}
}

// refuseUnclaimed refuses a request that got no target; whether it has run is for the claim of an earlier send to say.
func (c *call) refuseUnclaimed(ticket *claims.Ticket, res result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), lookTimeout)
	defer cancel()
	result := c.Claims.Look(ctx, ticket)
	if result.Answer != nil || result.Code != code.OK {
		c.answerEarlier(result)
		return
	}
	c.refuse(refusal.Refusal{Code: res.code, Run: result.Run, RetryAfter: res.retryAfter, SendNotRun: true})
}
