package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/answer"
	"poplarworks/core/claim"
	"poplarworks/core/code"
	"poplarworks/core/decision"
	"poplarworks/core/outcome"
	"poplarworks/entry/target"
)

// result is the end of an attempt: an answer to give to the caller, or a code.
type result struct {
	outcome    outcome.Outcome
	target     string
	answer     *answer.Answer
	code       code.Code
	retryAfter time.Duration
	noAnswer   bool // the connection ended before any of the answer came
}

// attempts sends the request until an answer is to be given.
func (c *call) attempts() result {
	return c.loop(c.submit())
}

// submit asks for a target, after a look at the load of some.
func (c *call) submit() decision.Decision {
	c.ask()
	return c.service.Submit(c.ctx, c.request)
}

func (c *call) ask() {
	if c.Asker != nil {
		c.Asker.Ask(c.ctx, c.service, c.request)
	}
}

func (c *call) loop(d decision.Decision) result {
	for {
		if res, ended := c.undecided(d); ended {
			return res
		}
		if !c.service.Confirm(c.ctx, d.ID) {
			c.service.Finish(d.ID, outcome.Outcome{Kind: outcome.Cancelled})
			d = c.submit()
			continue
		}
		c.note(d)
		res := c.tryOnce(d)
		if !c.mayGoOn(res) {
			return res
		}
		c.ask()
		next, ok := c.service.Retry(c.ctx, c.request, res.outcome)
		if !ok {
			return res
		}
		c.Counter("caller.retries").Inc(1)
		d = next
	}
}

// mayGoOn reports whether another attempt could still help the caller.
func (c *call) mayGoOn(res result) bool {
	if c.committed.Load() {
		return res.outcome.Kind == outcome.Broken && c.progress.resumable()
	}
	return c.body.repeatable()
}

// undecided returns the result when there is no target to send to.
func (c *call) undecided(d decision.Decision) (result, bool) {
	switch d.Kind {
	case decision.Refuse:
		return result{code: d.Code, retryAfter: d.RetryAfter}, true
	case decision.Wait:
		return result{code: code.DeadlinePassed}, true
	case decision.Send:
		if c.ctx.Err() != nil {
			c.service.Finish(d.ID, outcome.Outcome{Kind: outcome.Cancelled})
			return result{code: code.DeadlinePassed}, true
		}
	}
	return result{}, false
}

func (c *call) note(d decision.Decision) {
	c.request.ID = d.ID
	c.request.Attempt++
	c.request.Tried = append(c.request.Tried, d.Name)
}

// tryOnce makes one attempt, with a second one beside it when the first is slow and the rule allows hedging.
func (c *call) tryOnce(d decision.Decision) result {
	if after, ok := c.service.HedgeAfter(d.ID); ok && c.held() && c.body.rest == nil {
		return c.hedged(d, after)
	}
	return c.attempt(c.ctx, d, c.outgoing(d))
}

// attempt sends the request to one target and reads its answer, or streams it to the caller.
func (c *call) attempt(ctx context.Context, d decision.Decision, outgoing *http.Request) result {
	if c.ticket != nil && !c.ticket.Machine.Send() {
		c.service.Finish(d.ID, outcome.Outcome{Kind: outcome.Cancelled})
		return result{code: code.ClaimUnknown}
	}
	begun := c.Now()
	exchange, sent, err := c.Targets.Begin(ctx, d.Address, outgoing, c.once())
	if err != nil {
		return c.failed(ctx, d, sent, begun, err)
	}
	defer exchange.Close()
	signs := c.Dialect.Read(exchange.Answer, c.service.Record(), &c.rule)
	res := result{target: d.Name, outcome: outcome.Outcome{
		Report: signs.Report, HasReport: signs.HasReport, Draining: signs.Draining || signs.Elsewhere, Downstream: signs.Downstream,
	}}
	if signs.Foreign {
		// The answer to this request may be lost, so that nothing is known of it.
		res.outcome.Kind, res.code = outcome.Broken, code.TargetBroke
		c.settle(d, &res)
		return res
	}
	if c.committed.Load() {
		c.resume(ctx, &res, exchange)
		res.outcome.Latency = c.Now().Sub(begun)
		c.settle(d, &res)
		return res
	}
	status := exchange.Answer.StatusCode
	switch {
	case signs.NotRun:
		res.outcome.Kind = outcome.Shed
		res.code = code.TargetRefused
	case status >= http.StatusInternalServerError && status != http.StatusNotImplemented:
		res.outcome.Kind = outcome.Failed
	default:
		res.outcome.Kind = outcome.Answered
	}
	if c.held() || res.outcome.Kind != outcome.Answered {
		c.hold(ctx, &res, exchange)
		if res.outcome.Kind == outcome.Shed {
			res.answer = nil
		}
	} else {
		c.stream(ctx, &res, exchange)
	}
	res.outcome.Latency = c.Now().Sub(begun)
	c.settle(d, &res)
	return res
}

func (c *call) outgoing(d decision.Decision) *http.Request {
	reader, length := c.body.open(c.r.ContentLength)
	fields := c.outgoingFields(d)
	if c.committed.Load() {
		c.progress.ask(fields)
	}
	url := *c.r.URL
	url.Scheme, url.Host = "http", d.Address.String()
	return &http.Request{
		Method:        c.r.Method,
		URL:           &url,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        fields,
		Host:          c.r.Host,
		Body:          reader,
		ContentLength: length,
		Trailer:       c.body.trailer,
	}
}

// failed judges an attempt that got no answer.
func (c *call) failed(ctx context.Context, d decision.Decision, sent bool, begun time.Time, err error) result {
	res := result{target: d.Name}
	res.outcome.Latency = c.Now().Sub(begun)
	switch {
	case !sent:
		res.outcome.Kind, res.code = outcome.NotSent, code.NoTarget
		if ctx.Err() != nil && !errors.Is(err, target.ErrShareUsed) {
			res.outcome.Kind, res.code = outcome.Cancelled, code.DeadlinePassed
		}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		res.outcome.Kind, res.code = outcome.TimedOut, code.TargetTimeout
	case ctx.Err() != nil:
		res.outcome.Kind, res.code = outcome.Cancelled, code.CallerGone
	default:
		res.outcome.Kind, res.code = outcome.Broken, code.TargetBroke
		res.noAnswer = true
	}
	if !sent && c.ticket != nil {
		c.ticket.Machine.NotRun()
	}
	c.settle(d, &res)
	return res
}

// settle counts the end of an attempt and tells of crashes.
func (c *call) settle(d decision.Decision, res *result) {
	o := &res.outcome
	switch {
	case o.Kind == outcome.Broken && res.noAnswer:
		o.Suspect = c.Crashes.Suspect(c.Now(), c.print)
		c.Crashes.Crash(c.print, d.Name)
	case o.Kind == outcome.Answered:
		c.Crashes.Forgive(c.print)
	}
	c.Counter("target." + string(o.Kind)).Inc(1)
	c.trace.attempt(d, *o)
	if o.Draining {
		c.Left(c.rule.Service, d.Name)
	}
	c.service.Finish(d.ID, *o)
	if c.ticket == nil {
		if !o.NotRun() {
			c.mayHaveRun.Store(true)
		}
		return
	}
	c.advance(*o)
}

// advance moves the claim by what is proven of the attempt.
func (c *call) advance(o outcome.Outcome) {
	machine := &c.ticket.Machine
	switch o.Kind {
	case outcome.Shed:
		machine.NotRun()
	case outcome.Answered, outcome.Failed:
		machine.Answer()
	case outcome.Broken, outcome.TimedOut:
		machine.Break()
	case outcome.NotSent:
	case outcome.Cancelled:
		if machine.Stage() == claim.Sent {
			machine.Break()
		}
	}
}
