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

const copyChunk = 32 << 10 // bytes

// hold reads the answer whole; one that is too large to hold goes to the caller as it comes.
func (c *call) hold(ctx context.Context, res *result, exchange *target.Exchange) {
	most := c.rule.MaxAnswerKept
	reserved := int64(0)
	defer func() { c.Quota.Give(reserved) }()
	var body []byte
	if announced := exchange.Answer.ContentLength; announced > 0 && announced <= int64(most) {
		body = make([]byte, 0, announced)
	}
	piece := c.chunk()
	defer c.chunks.Put(piece)
	chunk := *piece
	for {
		n, err := exchange.Answer.Body.Read(chunk)
		body = append(body, chunk[:n]...)
		if errors.Is(err, io.EOF) {
			res.answer = c.keep(exchange.Answer, body)
			return
		}
		if err != nil {
			c.broke(ctx, res)
			return
		}
		room := len(body) <= most && c.Quota.Take(int64(n))
		if !room {
			c.overflow(ctx, res, exchange, body)
			return
		}
		reserved += int64(n)
	}
}

// broke judges an answer that ended before its time.
func (c *call) broke(ctx context.Context, res *result) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		res.outcome.Kind, res.code = outcome.TimedOut, code.TargetTimeout
	case ctx.Err() != nil:
		res.outcome.Kind, res.code = outcome.Cancelled, code.CallerGone
	default:
		res.outcome.Kind, res.code = outcome.Broken, code.TargetBroke
	}
}

// overflow sends an answer that is too large to hold; from here on only a resumption can mend it.
func (c *call) overflow(ctx context.Context, res *result, exchange *target.Exchange, prefix []byte) {
	if res.outcome.Kind == outcome.Shed {
		return
	}
	if !c.begin(exchange.Answer) {
		// The other one of two hedged attempts has begun to answer.
		res.outcome.Kind = outcome.Cancelled
		return
	}
	if c.write(prefix) != nil {
		res.outcome.Kind, res.code = outcome.Cancelled, code.CallerGone
		return
	}
	c.copyRest(ctx, res, exchange)
}

// stream sends the answer to the caller as it comes.
func (c *call) stream(ctx context.Context, res *result, exchange *target.Exchange) {
	if !c.begin(exchange.Answer) {
		res.outcome.Kind = outcome.Cancelled
		return
	}
	c.copyRest(ctx, res, exchange)
}

// begin sends the header of the answer, and reports false when another attempt has done so.
func (c *call) begin(from *http.Response) bool {
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
	c.Dialect.Sign(header, c.id)
	c.progress.begin(c.r, from)
	c.trace.status = from.StatusCode
	c.w.WriteHeader(from.StatusCode)
	if from.ContentLength < 0 {
		_ = c.control.Flush()
	}
	return true
}

func (c *call) write(piece []byte) error {
	_ = c.control.SetWriteDeadline(c.Now().Add(c.Settings.AnswerWriteTimeout))
	n, err := c.w.Write(piece)
	c.progress.sent += int64(n)
	return err
}

// copyRest sends the rest of the answer, each piece at once when its length was not announced.
func (c *call) copyRest(ctx context.Context, res *result, exchange *target.Exchange) {
	piece := c.chunk()
	defer c.chunks.Put(piece)
	chunk := *piece
	for {
		n, err := exchange.Answer.Body.Read(chunk)
		if n > 0 && c.write(chunk[:n]) != nil {
			res.outcome.Kind, res.code = outcome.Cancelled, code.CallerGone
			return
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			c.broke(ctx, res)
			return
		}
		if exchange.Answer.ContentLength < 0 {
			_ = c.control.Flush()
		}
	}
	for name, values := range exchange.Answer.Trailer {
		c.w.Header()[name] = values
	}
}

// keep turns a whole answer into the form in which it can be given again.
func (c *call) keep(from *http.Response, body []byte) *answer.Answer {
	kept := &answer.Answer{Status: from.StatusCode, Body: body}
	header := relay.Copy(from.Header)
	for name, values := range from.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	for name, values := range header {
		for _, value := range values {
			kept.Fields = append(kept.Fields, answer.Field{Name: name, Value: value})
		}
	}
	return kept
}

// replay gives a whole answer to the caller.
func (c *call) replay(kept *answer.Answer) {
	c.committed.Store(true)
	header := c.w.Header()
	for _, f := range kept.Fields {
		header.Add(f.Name, f.Value)
	}
	c.Dialect.Sign(header, c.id)
	c.trace.status = kept.Status
	c.w.WriteHeader(kept.Status)
	if c.r.Method != http.MethodHead {
		_ = c.write(kept.Body)
	}
}
