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

const claimLookupTimeout = 250 * time.Millisecond

// serveClaimed serves a request that must run at most once. It waits for a target and claims the idempotency key
// before it sends the request.
func (c *call) serveClaimed() {
	ticket := claims.NewTicket(c.rule.Service, c.identity(), c.key, c.contentHash(), c.rule.Retention, c.Check)
	d := c.submit()
	if res, ended := c.resultWithoutTarget(d); ended {
		c.refuseUnclaimed(ticket, res)
		return
	}
	claimed := c.Claims.Claim(c.ctx, ticket)
	if !claimed.Granted {
		c.service.Finish(d.ID, outcome.Outcome{Kind: outcome.Cancelled})
		c.respondFromClaim(claimed)
		return
	}
	c.ticket = ticket
	c.detach()
	c.runClaimed(d)
}

// detach separates a claimed request from the caller's connection. If the caller disconnects, the request still runs
// to its end or its deadline, and its answer is stored for the caller's next send.
func (c *call) detach() {
	c.cancel()
	c.ctx, c.cancel = context.WithDeadline(context.WithoutCancel(c.r.Context()), c.request.Deadline)
}

func (c *call) runClaimed(d decision.Decision) {
	res := c.retryLoop(d)
	c.Claims.RecordOutcome(c.ticket, res.answer)
	c.respond(res)
}

// respondFromClaim answers the caller with the outcome of an earlier send under the same key, or with the reason why
// the claim was not granted.
func (c *call) respondFromClaim(earlier claims.Result) {
	if earlier.Answer != nil {
		c.w.Header().Set(relay.ReplayedHeader, "true")
		c.sendAnswer(earlier.Answer)
		return
	}
	c.refuse(refusal.Refusal{Code: earlier.Code, Execution: earlier.Execution, RetryAfter: retryAfter(earlier.Code), SendNotRun: true})
}

func retryAfter(errorCode code.Code) time.Duration {
	if errorCode == code.StoreUnavailable || errorCode == code.ClaimUnknown || errorCode == code.EarlierUnknown {
		return time.Second
	}
	return 0
}

// refuseEarly refuses a request that failed in prepare, before its claim was looked up. Such a request may repeat one
// that has run, so without a lookup the refusal must not say that the request did not run.
func (c *call) refuseEarly(r refusal.Refusal) {
	switch {
	case r.Code == code.Quarantined && c.key != "":
		ticket := claims.NewTicket(c.rule.Service, c.identity(), c.key, c.contentHash(), c.rule.Retention, c.Check)
		c.refuseUnclaimed(ticket, result{code: r.Code, retryAfter: r.RetryAfter})
		return
	case !isSafeMethod(c.r.Method) && !c.rule.Idempotent && isTemporary(r.Code):
		r.Execution, r.SendNotRun = code.Unknown, true
	}
	c.refuse(r)
}

// isSafeMethod reports whether the method is defined as safe, so that running it twice changes nothing.
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// isTemporary reports whether the reason for the refusal can be limited to this time or entry, so that an earlier send
// of the same request may have been accepted.
func isTemporary(errorCode code.Code) bool {
	switch errorCode {
	case code.NoRule, code.NoTarget, code.Draining, code.NotReady, code.Overloaded, code.BodyTimeout:
		return true
	default:
		return false
	}
}

// refuseUnclaimed refuses a request that was sent to no target. It looks up the claim of an earlier send to learn
// whether that one has run.
func (c *call) refuseUnclaimed(ticket *claims.Ticket, res result) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.r.Context()), claimLookupTimeout)
	defer cancel()
	earlier := c.Claims.Lookup(ctx, ticket)
	if earlier.Answer != nil || earlier.Code != code.OK {
		c.respondFromClaim(earlier)
		return
	}
	c.refuse(refusal.Refusal{Code: res.code, Execution: earlier.Execution, RetryAfter: res.retryAfter, SendNotRun: true})
}
