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

// call is one request on its way.
type call struct {
	*Handler

	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController

	ctx     context.Context
	cancel  context.CancelFunc
	rule    rule.Rule
	service *dispatch.Service
	request request.Request
	origin  relay.Origin
	id      string
	print   quarantine.Fingerprint
	key     string
	body    *body
	ticket  *claims.Ticket // set while the request runs under a claim

	mayHaveRun atomic.Bool // some attempt ended without proof that it did not run
	committed  atomic.Bool // the header of the answer has gone to the caller
	progress   progress    // of an answer that is streamed
	trace      trace
}

func (c *call) close() {
	if c.cancel != nil {
		c.cancel()
	}
	if c.body != nil {
		c.body.release()
	}
}

func (c *call) refuse(r refusal.Refusal) {
	c.trace.refusal = r.Code
	c.Counter("caller.refused." + r.Code.Entry().Name).Inc(1)
	c.Check.Hold(!c.committed.Load(), "a refusal after the answer began")
	c.Dialect.Sign(c.w.Header(), c.id)
	if r.Code == code.BodyTooLarge || r.Code == code.BodyTimeout || r.Code == code.Draining {
		c.w.Header().Set("Connection", "close")
	}
	c.Dialect.Refuse(c.w, r)
}

// run says what may be said of the request so far.
func (c *call) run() code.Run {
	if c.ticket != nil {
		return c.ticket.Machine.Run()
	}
	if c.mayHaveRun.Load() {
		return code.Unknown
	}
	return code.NotRun
}

// once reports whether the request must run at most once.
func (c *call) once() bool {
	return !c.rule.Idempotent
}

// held reports whether an answer is read whole before any of it goes to the caller.
func (c *call) held() bool {
	return c.rule.Class == rule.Short || c.once()
}

func (c *call) left() time.Duration {
	return c.request.Deadline.Sub(c.Now())
}

// serve runs the request and answers the caller.
func (c *call) serve() {
	if c.once() && c.key != "" {
		c.serveClaimed()
		return
	}
	c.finish(c.attempts())
}

// finish answers the caller with the result of the last attempt.
func (c *call) finish(res result) {
	switch {
	case c.committed.Load():
		if res.outcome.Kind != outcome.Answered && res.outcome.Kind != outcome.Failed {
			// Only a broken connection keeps the caller from taking a part for the whole.
			panic(http.ErrAbortHandler)
		}
	case c.r.Context().Err() != nil:
		c.refuse(refusal.Refusal{Code: code.CallerGone, Run: c.run()})
	case res.answer != nil:
		c.replay(res.answer)
	default:
		c.refuse(refusal.Refusal{Code: res.code, Run: c.run(), RetryAfter: res.retryAfter})
	}
}

func (c *call) outgoingFields(d decision.Decision) http.Header {
	fields := relay.Copy(c.r.Header)
	fields.Del("Expect")
	c.Dialect.Outgoing(fields, relay.Sending{
		ID:       c.id,
		Instance: d.Instance,
		Host:     c.r.Host,
		Origin:   c.origin,
		Left:     c.left(),
		Retries:  c.request.Attempt - 1,
	})
	if fields.Get("User-Agent") == "" {
		// An absent field must stay absent instead of naming this program's library.
		fields["User-Agent"] = nil
	}
	return fields
}
