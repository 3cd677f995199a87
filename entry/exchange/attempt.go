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
	"poplarworks/entry/relay"
	"poplarworks/entry/target"
)

// silenceTimeout is the time after which a target without any answer is checked for a crash.
const silenceTimeout = time.Second

// result describes how an attempt ended: with an answer for the caller, or with a code.
type result struct {
	outcome    outcome.Outcome
	target     string
	answer     *answer.Answer
	code       code.Code
	retryAfter time.Duration
	noAnswer   bool // the connection broke before any byte of the answer arrived
	streamed   bool // the answer was sent to the caller while it arrived
	sent       bool // the target may have received the request
	sentAt     time.Time
}

// attempts sends the request, with retries, and returns the result for the caller.
func (c *call) attempts() result {
	return c.retryLoop(c.submit())
}

// submit requests a target from the service, after probing the load of some candidates.
func (c *call) submit() decision.Decision {
	c.probeTargets()
	return c.service.Submit(c.ctx, c.request)
}

func (c *call) probeTargets() {
	if c.Prober != nil {
		c.Prober.ProbeCandidates(c.ctx, c.service, c.request)
	}
}

// retryLoop sends the request to the decided target, and to further ones as long as a retry is allowed.
func (c *call) retryLoop(d decision.Decision) result {
	var last *result
	for {
		if res, ended := c.resultWithoutTarget(d); ended {
			return res
		}
		if res, quarantined := c.quarantined(); quarantined {
			c.service.Finish(d.ID, outcome.Outcome{Kind: outcome.Cancelled})
			if last != nil {
				return *last
			}
			return res
		}
		if res, refused := c.refusesDispatch(last); refused {
			c.service.Finish(d.ID, outcome.Outcome{Kind: outcome.Cancelled})
			return res
		}
		if !c.service.StillAcceptsWork(c.ctx, d.ID) {
			c.service.Finish(d.ID, outcome.Outcome{Kind: outcome.Cancelled})
			d = c.submit()
			continue
		}
		c.recordAttempt(d)
		res := c.attemptOrHedge(d)
		last = &res
		if !c.canRetry(res) {
			return res
		}
		c.probeTargets()
		next, ok := c.service.Retry(c.ctx, c.request, res.outcome)
		if !ok {
			return res
		}
		c.Counter("caller.retries").Inc(1)
		d = next
	}
}

// quarantined returns the refusal, and true, if the request is in quarantine. Time has passed since it was prepared, in
// the queue or in an earlier attempt.
func (c *call) quarantined() (result, bool) {
	until, quarantined := c.Crashes.Quarantined(c.Now(), c.fingerprint)
	return result{code: code.Quarantined, retryAfter: until.Sub(c.Now())}, quarantined
}

// refusesDispatch returns the refusal, and true, if this entry must not send the request: it is stopping, or has no memory
// for the transfer. That is found before the first attempt, so that nothing has run.
func (c *call) refusesDispatch(last *result) (result, bool) {
	if c.IsStopping() && (last == nil || last.outcome.NotRun()) {
		return result{code: code.Draining, retryAfter: drainingRetryAfter}, true
	}
	if c.transferReserved == 0 && !c.reserveTransfer() {
		return result{code: code.Overloaded, retryAfter: overloadedRetryAfter}, true
	}
	return result{}, false
}

// canRetry reports whether another attempt is possible: the body can be sent again and no answer has begun, or the
// answer that broke can be resumed.
func (c *call) canRetry(res result) bool {
	if c.answerBegun() {
		return res.outcome.Kind == outcome.Broken && c.progress.resumable()
	}
	return c.body.repeatable()
}

// resultWithoutTarget returns the result, and true, if the decision names no target or the deadline has passed.
func (c *call) resultWithoutTarget(d decision.Decision) (result, bool) {
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

// recordAttempt counts the attempt and adds its target to those tried.
func (c *call) recordAttempt(d decision.Decision) {
	c.request.ID = d.ID
	c.request.Attempt++
	c.request.Tried = append(c.request.Tried, d.Name)
}

// attemptOrHedge makes one attempt, and a second one in parallel if the first is slow and the rule allows hedging. No
// other attempt is in flight then, so that an answer that has begun can be resumed.
func (c *call) attemptOrHedge(d decision.Decision) result {
	if c.answerBegun() {
		return c.resume(d)
	}
	if after, ok := c.service.HedgeAfter(d.ID); ok && c.buffersAnswer() && c.body.rest == nil {
		return c.attemptWithHedge(d, after)
	}
	return c.attempt(c.ctx, d, c.targetRequest(d), wholeAnswer)
}

// answerPart is the part of an answer that an attempt requests from its target.
type answerPart int

const (
	wholeAnswer  answerPart = iota
	restOfAnswer            // of an answer that has begun
)

// attempt sends the request to one target and receives its answer.
func (c *call) attempt(ctx context.Context, d decision.Decision, outgoing *http.Request, part answerPart) result {
	if c.ticket != nil && !c.ticket.Machine.Send() {
		c.service.Finish(d.ID, outcome.Outcome{Kind: outcome.Cancelled})
		return result{code: code.ClaimUnknown}
	}
	startedAt := c.Now()
	silent := time.AfterFunc(silenceTimeout, func() { c.Crashes.Suspect(c.fingerprint, c.id, d.Name, startedAt) })
	exchange, sent, err := c.Targets.Begin(ctx, d.Address, outgoing, c.atMostOnce())
	silent.Stop()
	if err != nil {
		return c.resultOfError(ctx, d, sent, startedAt, err)
	}
	defer exchange.Close()
	metadata := c.Protocol.ReadResponse(exchange.Response, c.service.Record(), &c.rule)
	res := result{target: d.Name, sent: true, sentAt: startedAt, outcome: outcome.Outcome{
		Report: metadata.LoadReport, HasReport: metadata.HasReport, RateLimit: metadata.RateLimit, Answering: !metadata.Mismatched,
		Draining: metadata.Draining || metadata.AddressReassigned, Downstream: metadata.FromDownstream,
	}}
	if metadata.Mismatched {
		// The target may have run this request and its answer may be lost, so that its execution is unknown.
		res.outcome.Kind, res.code = outcome.Broken, code.TargetBroke
		c.finishAttempt(d, &res)
		return res
	}
	if part == restOfAnswer {
		c.receiveRest(ctx, &res, exchange)
	} else {
		c.receiveAnswer(ctx, &res, exchange, metadata)
	}
	res.outcome.Latency = c.Now().Sub(startedAt)
	c.finishAttempt(d, &res)
	return res
}

// receiveAnswer reads the complete answer or streams it to the caller.
func (c *call) receiveAnswer(ctx context.Context, res *result, exchange *target.Exchange, metadata relay.ResponseMetadata) {
	status := exchange.Response.StatusCode
	switch {
	case metadata.NotRun:
		res.outcome.Kind = outcome.Shed
		res.code = code.TargetRefused
		if !metadata.NamesRequest {
			exchange.MarkUnnamedRefusal()
		}
	case status >= http.StatusInternalServerError && status != http.StatusNotImplemented:
		res.outcome.Kind = outcome.Failed
	default:
		res.outcome.Kind = outcome.Answered
	}
	if c.buffersAnswer() || res.outcome.Kind != outcome.Answered {
		c.readCompleteAnswer(ctx, res, exchange)
		if res.outcome.Kind == outcome.Shed {
			res.answer = nil
		}
		return
	}
	c.stream(ctx, res, exchange)
}

func (c *call) targetRequest(d decision.Decision) *http.Request {
	reader, length := c.body.open(c.r.ContentLength)
	fields := c.targetHeader(d)
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

// resultOfError returns the result of an attempt that got no answer.
func (c *call) resultOfError(ctx context.Context, d decision.Decision, sent bool, startedAt time.Time, err error) result {
	res := result{target: d.Name, sent: sent, sentAt: startedAt}
	res.outcome.Latency = c.Now().Sub(startedAt)
	switch {
	case !sent:
		res.outcome.Kind, res.code = outcome.NotSent, code.NoTarget
		if ctx.Err() != nil && !errors.Is(err, target.ErrConnectionLimit) {
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
	c.finishAttempt(d, &res)
	return res
}

// finishAttempt records the outcome of an attempt: in metrics and trace, in the crash records, at the service and in
// the claim.
func (c *call) finishAttempt(d decision.Decision, res *result) {
	o := &res.outcome
	c.recordCrash(d, res)
	c.Counter("target." + string(o.Kind)).Inc(1)
	c.trace.addAttempt(d, *o)
	if o.Draining {
		c.OnTargetDraining(c.rule.Service, d.Name)
	}
	c.service.Finish(d.ID, *o)
	if c.ticket == nil {
		if !o.NotRun() {
			c.mayHaveRun.Store(true)
		}
		return
	}
	c.updateClaim(*o)
}

// recordCrash reports an attempt without a complete answer to the crash records, since its target may have crashed.
func (c *call) recordCrash(d decision.Decision, res *result) {
	o := &res.outcome
	switch {
	case o.Kind == outcome.Answered:
		c.Crashes.RecordAnswer(c.fingerprint)
	case o.Kind == outcome.Broken:
		o.Suspect = c.Crashes.CrashedRecently(c.Now(), c.fingerprint)
		if res.noAnswer {
			c.Crashes.SuspectClosed(c.fingerprint, c.id, d.Name)
		} else {
			c.Crashes.Suspect(c.fingerprint, c.id, d.Name, c.Now())
		}
	case res.sent && o.Kind == outcome.TimedOut:
		c.Crashes.Suspect(c.fingerprint, c.id, d.Name, res.sentAt)
	case res.sent && o.Kind == outcome.Cancelled:
		c.Crashes.SuspectAbandoned(c.fingerprint, c.id, d.Name, res.sentAt)
	}
}

// updateClaim changes the stage of the claim according to what the outcome proves about execution.
func (c *call) updateClaim(o outcome.Outcome) {
	machine := &c.ticket.Machine
	switch o.Kind {
	case outcome.Shed:
		machine.NotRun()
	case outcome.Answered, outcome.Failed:
		machine.Answer()
	case outcome.Broken, outcome.TimedOut:
		machine.EndWithoutAnswer()
	case outcome.NotSent:
	case outcome.Cancelled:
		if machine.Stage() == claim.Sent {
			machine.EndWithoutAnswer()
		}
	}
}
