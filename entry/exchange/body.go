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
	maxLongBufferedBody  = 64 << 10 // in bytes; larger bodies of long requests are streamed
	maxShortBufferedBody = 1 << 20  // in bytes; larger bodies of short requests are streamed
	readChunkSize        = 16 << 10 // in bytes; memory is reserved from the quota in steps of this size
)

// body is the body of the caller's request: a buffered prefix, and the rest, which is streamed and can be sent only
// once.
type body struct {
	prefix     []byte
	rest       *streamedBody // nil if the prefix is the complete body
	restOpened bool          // whether an attempt has been given the rest
	quota      *buffers.Quota
	reserved   int64
	trailer    http.Header
}

func (b *body) release() {
	if b.rest != nil {
		b.rest.close()
	}
	b.quota.Release(b.reserved)
	b.reserved = 0
}

// repeatable reports whether the body can be sent again.
func (b *body) repeatable() bool {
	return b.rest == nil || !b.restOpened
}

// open returns a reader of the body for one attempt, and the Content-Length of the outgoing request, or -1 if unknown.
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
	b.restOpened = true
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.prefix), b.rest)), length
}

// readBody reads the part of the body that is buffered. It returns a refusal or nil.
func (c *call) readBody() *refusal.Refusal {
	c.body = &body{quota: c.BufferQuota, trailer: c.r.Trailer}
	if c.r.ContentLength > c.rule.MaxBodyBytes {
		return refused(code.BodyTooLarge)
	}
	limited := http.MaxBytesReader(c.w, c.r.Body, c.rule.MaxBodyBytes)
	if !c.buffersBody() {
		c.streamBody(limited)
		return nil
	}
	_ = c.control.SetReadDeadline(c.Now().Add(c.Settings.BodyTimeout))
	defer func() { _ = c.control.SetReadDeadline(time.Time{}) }()
	maxBytes := maxShortBufferedBody
	if c.atMostOnce() && c.key != "" {
		maxBytes = int(c.rule.MaxBodyBytes) + 1
	}
	return c.fill(limited, maxBytes)
}

// fill reads the prefix of the body until it has at least maxBytes. What remains after that becomes the rest.
func (c *call) fill(from io.Reader, maxBytes int) *refusal.Refusal {
	if c.r.ContentLength == 0 || c.r.Body == http.NoBody {
		return nil
	}
	pooled := c.takeBuffer()
	defer c.copyBuffers.Put(pooled)
	chunk := (*pooled)[:readChunkSize]
	for len(c.body.prefix) < maxBytes {
		if !c.BufferQuota.Reserve(readChunkSize) {
			return &refusal.Refusal{Code: code.Overloaded, Execution: code.NotRun, RetryAfter: overloadedRetryAfter}
		}
		c.body.reserved += readChunkSize
		n, err := readChunkFrom(from, chunk)
		c.body.prefix = append(c.body.prefix, chunk[:n]...)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return bodyRefusal(err)
		}
	}
	c.streamBody(from)
	return nil
}

// streamBody leaves what has not been read of the body to be streamed. The target may start its answer before the body is
// complete; without full duplex, net/http would then drop a part of the rest.
func (c *call) streamBody(from io.Reader) {
	_ = c.control.EnableFullDuplex()
	c.body.rest = &streamedBody{call: c, from: from}
}

// readChunkFrom fills the chunk unless the body ends. It doesn't use io.ReadFull, whose error for a truncated body
// can't be told from that for a complete body shorter than the chunk.
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
