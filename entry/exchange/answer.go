package exchange

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"poplarworks/core/answer"
	"poplarworks/core/code"
	"poplarworks/core/outcome"
	"poplarworks/entry/buffers"
	"poplarworks/entry/relay"
	"poplarworks/entry/target"
)

const (
	copyBufferSize   = 32 << 10 // in bytes
	requestBodyShare = 4        // one part in this many of the buffer memory is kept for the bodies of requests
)

// readCompleteAnswer reads the complete answer into memory. An answer that is larger than the rule's limit, or for
// which no buffer memory is free, is streamed to the caller instead.
func (c *call) readCompleteAnswer(ctx context.Context, res *result, exchange *target.Exchange) {
	body := buffers.Buffer{
		Quota: c.BufferQuota, Headroom: c.BufferQuota.Max / requestBodyShare, Max: c.rule.MaxAnswerBytes,
		Announced: exchange.Response.ContentLength,
	}
	pooled := c.takeBuffer()
	defer c.copyBuffers.Put(pooled)
	chunk := *pooled
	for {
		n, err := exchange.Response.Body.Read(chunk)
		if !body.Append(chunk[:n]) {
			c.streamOversized(ctx, res, exchange, &body, chunk[:n])
			return
		}
		if errors.Is(err, io.EOF) {
			data, reserved := body.Detach()
			c.answersReserved.Add(reserved) // a slow caller can delay the end of the answer
			res.answer = c.storableAnswer(exchange.Response, data)
			return
		}
		if err != nil {
			body.Release()
			c.classifyReadError(ctx, res)
			return
		}
	}
}

// classifyReadError sets the outcome of an attempt whose answer ended before it was complete.
func (c *call) classifyReadError(ctx context.Context, res *result) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		res.outcome.Kind, res.code = outcome.TimedOut, code.TargetTimeout
	case ctx.Err() != nil:
		res.outcome.Kind, res.code = outcome.Cancelled, code.CallerGone
	default:
		res.outcome.Kind, res.code = outcome.Broken, code.TargetBroke
	}
}

// streamOversized streams an answer that is too large for the buffer, after what was read already. Once it has begun, a
// broken answer can only be resumed from another target, not sent again from its start.
func (c *call) streamOversized(ctx context.Context, res *result, exchange *target.Exchange, read *buffers.Buffer, chunk []byte) {
	defer read.Release()
	if res.outcome.Kind == outcome.Shed {
		return
	}
	if !c.beginAnswer(res, exchange.Response) {
		return
	}
	err := c.write(read.Bytes())
	read.Release()
	if err == nil {
		err = c.write(chunk)
	}
	if err != nil {
		res.outcome.Kind, res.code = outcome.Cancelled, code.CallerGone
		return
	}
	c.copyRest(ctx, res, exchange)
}

// stream forwards the answer to the caller while it arrives.
func (c *call) stream(ctx context.Context, res *result, exchange *target.Exchange) {
	if !c.beginAnswer(res, exchange.Response) {
		return
	}
	c.copyRest(ctx, res, exchange)
}

// claimAnswer makes one of several attempts the one that answers the caller. No other may write to it from then on.
func (c *call) claimAnswer() bool {
	return c.answerClaimed.CompareAndSwap(false, true)
}

// beginAnswer claims the answer and sends its header. It reports false, and the attempt counts as cancelled, if another one
// has the claim.
func (c *call) beginAnswer(res *result, from *http.Response) bool {
	if !c.claimAnswer() {
		res.outcome.Kind = outcome.Cancelled
		return false
	}
	res.streamed = true
	c.sendHeader(from)
	return true
}

func (c *call) sendHeader(from *http.Response) {
	c.headerSent = true
	header := c.w.Header()
	c.announceClose(header)
	for name, values := range relay.Copy(from.Header) {
		header[name] = values
	}
	for name := range from.Trailer {
		header.Add("Trailer", name)
	}
	c.Protocol.Sign(header, c.id)
	c.progress.start(c.r, from)
	c.trace.status = from.StatusCode
	c.w.WriteHeader(from.StatusCode)
	if from.ContentLength < 0 {
		_ = c.control.Flush()
	}
}

// write sends data to the caller, in pieces that each have the full write timeout.
func (c *call) write(data []byte) error {
	for len(data) > 0 {
		_ = c.control.SetWriteDeadline(c.Now().Add(c.Settings.ResponseWriteTimeout))
		n, err := c.w.Write(data[:min(len(data), copyBufferSize)])
		c.progress.sent += int64(n)
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// copyRest forwards the rest of the answer. It flushes after each chunk if the answer has no Content-Length.
func (c *call) copyRest(ctx context.Context, res *result, exchange *target.Exchange) {
	pooled := c.takeBuffer()
	defer c.copyBuffers.Put(pooled)
	chunk := *pooled
	for {
		n, err := exchange.Response.Body.Read(chunk)
		if n > 0 && c.write(chunk[:n]) != nil {
			res.outcome.Kind, res.code = outcome.Cancelled, code.CallerGone
			return
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			c.classifyReadError(ctx, res)
			return
		}
		if exchange.Response.ContentLength < 0 {
			_ = c.control.Flush()
		}
	}
	for name, values := range exchange.Response.Trailer {
		c.w.Header()[name] = values
	}
}

// storableAnswer converts a complete answer into the form in which it can be stored and replayed.
func (c *call) storableAnswer(from *http.Response, body []byte) *answer.Answer {
	stored := &answer.Answer{Status: from.StatusCode, Body: body}
	header := relay.Copy(from.Header)
	for name, values := range from.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	for name, values := range header {
		for _, value := range values {
			stored.Fields = append(stored.Fields, answer.Field{Name: name, Value: value})
		}
	}
	return stored
}

// sendAnswer sends a complete answer to the caller.
func (c *call) sendAnswer(stored *answer.Answer) {
	c.headerSent = true
	header := c.w.Header()
	c.announceClose(header)
	for _, f := range stored.Fields {
		header.Add(f.Name, f.Value)
	}
	c.Protocol.Sign(header, c.id)
	c.trace.status = stored.Status
	c.w.WriteHeader(stored.Status)
	if c.r.Method != http.MethodHead {
		_ = c.write(stored.Body)
	}
}
