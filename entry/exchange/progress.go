package exchange

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"poplarworks/core/code"
	"poplarworks/core/outcome"
	"poplarworks/entry/target"
)

// progress is how far a streamed answer has come, and how it could go on from another target.
type progress struct {
	etag  string
	total int64
	sent  int64
}

// begin notes whether the answer can be resumed: a whole GET answer of known length with a strong entity tag.
func (p *progress) begin(r *http.Request, from *http.Response) {
	etag := from.Header.Get("ETag")
	whole := from.StatusCode == http.StatusOK && from.ContentLength > 0
	if r.Method != http.MethodGet || !whole || !strings.HasPrefix(etag, `"`) || from.Header.Get("Accept-Ranges") != "bytes" {
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

// ask sets the fields that ask a target for the rest.
func (p *progress) ask(fields http.Header) {
	fields.Set("Range", fmt.Sprintf("bytes=%d-", p.sent))
	fields.Set("If-Range", p.etag)
}

// continues reports whether the answer is just what is missing.
func (p *progress) continues(from *http.Response) bool {
	want := fmt.Sprintf("bytes %d-%d/%d", p.sent, p.total-1, p.total)
	return from.StatusCode == http.StatusPartialContent && from.Header.Get("Content-Range") == want &&
		from.Header.Get("ETag") == p.etag
}

// resume sends the rest of an answer that broke at another target.
func (c *call) resume(ctx context.Context, res *result, exchange *target.Exchange) {
	if !c.progress.continues(exchange.Answer) {
		res.outcome.Kind, res.code = outcome.Broken, code.TargetBroke
		c.progress.etag = ""
		return
	}
	c.Counter("caller.resumed").Inc(1)
	res.outcome.Kind = outcome.Answered
	c.copyRest(ctx, res, exchange)
}
