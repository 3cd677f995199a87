package exchange

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"poplarworks/core/code"
	"poplarworks/entry/buffers"
	"poplarworks/entry/refusal"
)

const (
	smallBody    = 64 << 10 // bytes of a long request's body that are read before it is sent
	bufferedBody = 1 << 20  // bytes of a short request's body that are read before it is sent
	readChunk    = 16 << 10 // bytes reserved and read at a time
)

// body is what the caller sends: a prefix that is held, and the rest, which can be sent only once.
type body struct {
	prefix  []byte
	rest    io.Reader // nil when the prefix is all
	taken   bool      // the rest has been given out
	quota   *buffers.Quota
	reserve int64
	trailer http.Header
}

func (b *body) release() {
	b.quota.Give(b.reserve)
	b.reserve = 0
}

// repeatable reports whether the body can be sent again.
func (b *body) repeatable() bool {
	return b.rest == nil || !b.taken
}

// open returns a reader for one attempt, and the length or -1.
func (b *body) open(length int64) (io.ReadCloser, int64) {
	if b.rest == nil {
		if len(b.prefix) == 0 && len(b.trailer) == 0 {
			return http.NoBody, 0
		}
		if len(b.trailer) > 0 {
			length = -1
		} else {
			length = int64(len(b.prefix))
		}
		return io.NopCloser(bytes.NewReader(b.prefix)), length
	}
	b.taken = true
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.prefix), b.rest)), length
}

// readBody reads what is to be held; it returns a refusal or nil.
func (c *call) readBody() *refusal.Refusal {
	c.body = &body{quota: c.Quota, trailer: c.r.Trailer}
	if c.r.ContentLength > c.rule.MaxBody {
		return refused(code.BodyTooLarge)
	}
	limited := http.MaxBytesReader(c.w, c.r.Body, c.rule.MaxBody)
	if !c.buffered() {
		// The answer may begin before the body has ended.
		_ = c.control.EnableFullDuplex()
		c.body.rest = &patientReader{call: c, from: limited}
		return nil
	}
	_ = c.control.SetReadDeadline(c.Now().Add(c.Settings.BodyTimeout))
	defer func() { _ = c.control.SetReadDeadline(time.Time{}) }()
	most := bufferedBody
	if c.once() && c.key != "" {
		most = int(c.rule.MaxBody) + 1
	}
	return c.fill(limited, most)
}

// fill reads the prefix, at most the given number of bytes.
func (c *call) fill(from io.Reader, most int) *refusal.Refusal {
	if c.r.ContentLength == 0 || c.r.Body == http.NoBody {
		return nil
	}
	piece := c.chunk()
	defer c.chunks.Put(piece)
	chunk := (*piece)[:readChunk]
	for len(c.body.prefix) < most {
		if !c.Quota.Take(readChunk) {
			return &refusal.Refusal{Code: code.Overloaded, Run: code.NotRun, RetryAfter: time.Second}
		}
		c.body.reserve += readChunk
		n, err := readChunkFrom(from, chunk)
		c.body.prefix = append(c.body.prefix, chunk[:n]...)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return bodyRefusal(err)
		}
	}
	c.body.rest = &patientReader{call: c, from: from}
	return nil
}

// readChunkFrom fills the chunk unless the body ends; io.ReadFull would report a body that was cut like a whole one.
func readChunkFrom(from io.Reader, chunk []byte) (int, error) {
	filled := 0
	for filled < len(chunk) {
		n, err := from.Read(chunk[filled:])
		filled += n
		if err != nil {
			return filled, err
		}
	}
	return filled, nil
}

func bodyRefusal(err error) *refusal.Refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refused(code.BodyTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refused(code.BodyTimeout)
	default:
		return refused(code.MalformedRequest)
	}
}

// patientReader gives the caller the body time-out anew for each piece of a streamed body.
type patientReader struct {
	call *call
	from io.Reader
}

// Read returns the next piece.
func (p *patientReader) Read(into []byte) (int, error) {
	_ = p.call.control.SetReadDeadline(p.call.Now().Add(p.call.Settings.BodyTimeout))
	n, err := p.from.Read(into)
	if err != nil {
		_ = p.call.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
