package exchange

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"poplarworks/core/code"
	"poplarworks/core/decision"
	"poplarworks/core/outcome"
	"poplarworks/entry/target"
)

// progress tracks how much of a streamed answer was sent, and what is needed to resume it from another target.
type progress struct {
	etag  string // empty if the answer can't be resumed
	total int64
	sent  int64
}

// start records the entity tag and length of an answer that can be resumed: a complete answer to GET, of known length
// and with a strong entity tag, whose target accepts byte ranges.
func (p *progress) start(r *http.Request, from *http.Response) {
	etag := from.Header.Get("ETag")
	complete := from.StatusCode == http.StatusOK && from.ContentLength > 0
	if r.Method != http.MethodGet || !complete || !strings.HasPrefix(etag, `"`) || from.Header.Get("Accept-Ranges") != "bytes" {
		return
	}
	if from.Header.Get("Content-Encoding") != "" || r.Header.Get("Range") != "" {
		return
	}
	p.etag, p.total = etag, from.ContentLength
}

func (p *progress) resumable() bool {
	return p.etag != "" && p.sent < p.total
}

// setRangeFields sets the header fields that request the rest of the answer.
func (p *progress) setRangeFields(fields http.Header) {
	fields.Set("Range", fmt.Sprintf("bytes=%d-", p.sent))
	fields.Set("If-Range", p.etag)
}

// matchesRest reports whether the answer is exactly the missing range of the same entity.
func (p *progress) matchesRest(from *http.Response) bool {
	want := fmt.Sprintf("bytes %d-%d/%d", p.sent, p.total-1, p.total)
	return from.StatusCode == http.StatusPartialContent && from.Header.Get("Content-Range") == want &&
		from.Header.Get("ETag") == p.etag
}

// resume requests the rest of an answer that broke off from another target.
func (c *call) resume(d decision.Decision) result {
	outgoing := c.targetRequest(d)
	c.progress.setRangeFields(outgoing.Header)
	return c.attempt(c.ctx, d, outgoing, restOfAnswer)
}

// receiveRest sends the rest of an answer that broke off, from another target's answer to a range request.
func (c *call) receiveRest(ctx context.Context, res *result, exchange *target.Exchange) {
	res.streamed = true
	if !c.progress.matchesRest(exchange.Response) {
		res.outcome.Kind, res.code = outcome.Broken, code.TargetBroke
		c.progress.etag = ""
		return
	}
	c.Counter("caller.resumed").Inc(1)
	res.outcome.Kind = outcome.Answered
	c.copyRest(ctx, res, exchange)
}
