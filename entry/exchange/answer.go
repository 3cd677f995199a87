package exchange

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"poplarworks/core/answer"
	"poplarworks/core/code"
	"poplarworks/core/outcome"
	"poplarworks/entry/relay"
	"poplarworks/entry/target"
)

const copyBufferSize = 32 << 10 // in bytes

// readCompleteAnswer reads the complete answer into memory. An answer that is larger than the rule's limit, or for
// which no buffer memory is free, is streamed to the caller instead.
func (c *call) readCompleteAnswer(ctx context.Context, res *result, exchange *target.Exchange) {
	maxBytes := c.rule.MaxAnswerBytes
	reserved := int64(0)
	defer func() { c.BufferQuota.Release(reserved) }()
	var body []byte
	if announced := exchange.Response.ContentLength; announced > 0 && announced <= int64(maxBytes) {
		body = make([]byte, 0, announced)
	}
	pooled := c.takeBuffer()
	defer c.copyBuffers.Put(pooled)
	chunk := *pooled
	for {
		n, err := exchange.Response.Body.Read(chunk)
		body = append(body, chunk[:n]...)
		if errors.Is(err, io.EOF) {
			res.answer = c.storableAnswer(exchange.Response, body)
			return
		}
		if err != nil {
			c.classifyReadError(ctx, res)
			return
		}
		withinLimits := len(body) <= maxBytes && c.BufferQuota.Reserve(int64(n))
		if !withinLimits {
			c.streamOversized(ctx, res, exchange, body)
			return
		}
		reserved += int64(n)
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

// streamOversized streams an answer that is too large for the buffer, after the prefix that was read already. Once it
// has begun, a broken answer can only be resumed from another target, not sent again from its start.
func (c *call) streamOversized(ctx context.Context, res *result, exchange *target.Exchange, prefix []byte) {
	if res.outcome.Kind == outcome.Shed {
		return
	}
	if !c.sendHeader(exchange.Response) {
		// The other one of two hedged attempts has already sent its header.
		res.outcome.Kind = outcome.Cancelled
		return
	}
	if c.write(prefix) != nil {
		res.outcome.Kind, res.code = outcome.Cancelled, code.CallerGone
		return
	}
	c.copyRest(ctx, res, exchange)
}

// stream forwards the answer to the caller while it arrives.
func (c *call) stream(ctx context.Context, res *result, exchange *target.Exchange) {
	if !c.sendHeader(exchange.Response) {
		res.outcome.Kind = outcome.Cancelled
		return
	}
	c.copyRest(ctx, res, exchange)
}

// sendHeader sends the header of the answer. It reports false if another attempt has already done so.
func (c *call) sendHeader(from *http.Response) bool {
	if !c.committed.CompareAndSwap(false, true) {
		return false
	}
	header := c.w.Header()
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
	return true
}

func (c *call) write(data []byte) error {
	_ = c.control.SetWriteDeadline(c.Now().Add(c.Settings.ResponseWriteTimeout))
	n, err := c.w.Write(data)
	c.progress.sent += int64(n)
	return err
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
	c.committed.Store(true)
	header := c.w.Header()
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
