package exchange

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"poplarworks/core/code"
	"poplarworks/core/decision"
	"poplarworks/core/outcome"
	"poplarworks/core/quarantine"
	"poplarworks/core/request"
	"poplarworks/core/rule"
	"poplarworks/entry/claims"
	"poplarworks/entry/dispatch"
	"poplarworks/entry/refusal"
	"poplarworks/entry/relay"
)

// call is the state of one request while it is served.
type call struct {
	*Handler

	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController

	ctx         context.Context
	cancel      context.CancelFunc
	rule        rule.Rule
	service     *dispatch.Service
	request     request.Request
	origin      relay.Origin
	id          string
	path        string // normalised
	fingerprint quarantine.Fingerprint
	key         string
	body        *body
	ticket      *claims.Ticket // set once the claim of the idempotency key is granted

	mayHaveRun atomic.Bool // whether an attempt ended without proof that the target did not run it
	trace      trace

	answerClaimed atomic.Bool // whether an attempt has been chosen to answer the caller

	// Used by the attempt that answers the caller, and by the goroutine of the request while no attempt is in flight.
	headerSent bool
	progress   progress // of a streamed answer

	transferReserved int64        // bytes reserved from the transfer quota
	answersReserved  atomic.Int64 // bytes reserved from the buffer quota for complete answers, of which the caller gets one
}

func (c *call) close() {
	if c.cancel != nil {
		c.cancel()
	}
	if c.body != nil {
		c.body.release()
	}
	c.BufferQuota.Release(c.answersReserved.Load())
	c.TransferQuota.Release(c.transferReserved)
}

// refuse answers the caller with a refusal. The connection is closed if the body was not read to its end or the entry
// is draining.
func (c *call) refuse(r refusal.Refusal) {
	c.trace.refusal = r.Code
	c.Counter("caller.refused." + r.Code.Description().Name).Inc(1)
	c.Check.Assert(!c.headerSent, "a refusal after the answer began")
	c.Protocol.Sign(c.w.Header(), c.id)
	c.announceClose(c.w.Header())
	if r.Code == code.BodyTooLarge || r.Code == code.BodyTimeout || r.Code == code.Draining {
		c.w.Header().Set("Connection", "close")
	}
	c.Protocol.Refuse(c.w, r)
}

// execution returns what is known so far about whether a target has run the request.
func (c *call) execution() code.Execution {
	if c.ticket != nil {
		return c.ticket.Machine.Run()
	}
	if c.mayHaveRun.Load() {
		return code.Unknown
	}
	return code.NotRun
}

// atMostOnce reports whether the request must run at most once.
func (c *call) atMostOnce() bool {
	return !c.rule.Idempotent
}

// buffersAnswer reports whether the complete answer is read before any of it is sent to the caller.
func (c *call) buffersAnswer() bool {
	return c.rule.Class == rule.Short || c.atMostOnce()
}

// timeLeft returns the time that a target has for the request. A target that has not finished when this entry is about to end
// must say so itself, since the entry would cut the request off without an answer.
func (c *call) timeLeft() time.Duration {
	now := c.Now()
	left := c.request.Deadline.Sub(now)
	if answerBy := c.AnswerBy(); !answerBy.IsZero() {
		left = min(left, answerBy.Sub(now))
	}
	return left
}

// serve sends the request to targets and answers the caller.
func (c *call) serve() {
	if c.atMostOnce() && c.key != "" {
		c.serveClaimed()
		return
	}
	c.respond(c.attempts())
}

// answerBegun reports whether the header of the answer was sent. No attempt may be in flight.
func (c *call) answerBegun() bool {
	return c.headerSent
}

// respond answers the caller with the result of the last attempt.
func (c *call) respond(res result) {
	switch {
	case c.answerBegun():
		if res.outcome.Kind != outcome.Answered && res.outcome.Kind != outcome.Failed {
			// Without a broken connection, the caller could take the truncated answer for a complete one.
			panic(http.ErrAbortHandler)
		}
	case c.r.Context().Err() != nil:
		c.refuse(refusal.Refusal{Code: code.CallerGone, Execution: c.execution()})
	case res.answer != nil:
		c.sendAnswer(res.answer)
	default:
		c.refuse(refusal.Refusal{Code: res.code, Execution: c.execution(), RetryAfter: res.retryAfter})
	}
}

// targetHeader returns the header of the request to the target.
func (c *call) targetHeader(d decision.Decision) http.Header {
	fields := relay.Copy(c.r.Header)
	fields.Del("Expect")
	c.Protocol.SetRequestFields(fields, relay.RequestMetadata{
		ID:             c.id,
		TargetInstance: d.Instance,
		Host:           c.r.Host,
		Origin:         c.origin,
		TimeLeft:       c.timeLeft(),
		Retries:        c.request.Attempt - 1,
	})
	if fields.Get("User-Agent") == "" {
		// An absent User-Agent must stay absent; nil keeps net/http from adding its own.
		fields["User-Agent"] = nil
	}
	return fields
}
