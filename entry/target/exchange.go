package target

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Exchange is one request at one target; Close must be called when its answer has been read.
type Exchange struct {
	Answer *http.Response

	pool    *Pool
	address netip.AddrPort
	conn    *conn
	wrote   <-chan error
	whole   bool
	release func() bool
}

// pastDeadline makes reads and writes in progress fail at once.
var pastDeadline = time.Unix(1, 0)

// Begin sends the request and returns when the header of the answer is there. When it fails, sent says whether any byte
// may have reached the target. A request that must run at most once never goes over a connection that may be closing.
func (p *Pool) Begin(ctx context.Context, address netip.AddrPort, r *http.Request, once bool) (exchange *Exchange, sent bool, err error) {
	c, err := p.acquire(ctx, address, once)
	if err != nil {
		return nil, false, err
	}
	before := c.written.Load()
	release := context.AfterFunc(ctx, func() { _ = c.socket.SetDeadline(pastDeadline) })
	answer, wrote, err := c.exchange(ctx, r.WithContext(ctx), p.Owner)
	if err != nil {
		release()
		p.release(address, c, false)
		return nil, c.written.Load() != before, err
	}
	exchange = &Exchange{Answer: answer, pool: p, address: address, conn: c, wrote: wrote, release: release}
	answer.Body = &wholeBody{ReadCloser: answer.Body, exchange: exchange}
	return exchange, true, nil
}

// wholeBody notes that the body was read to its end.
type wholeBody struct {
	io.ReadCloser
	exchange *Exchange
}

// Read returns the next piece.
func (b *wholeBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		b.exchange.whole = true
	}
	return n, err
}

// Close gives the connection back if the whole request was written and the whole answer read, and else closes it, so that
// neither a late answer nor the rest of a body can meet another request.
func (e *Exchange) Close() {
	undisturbed := e.release()
	e.pool.release(e.address, e.conn, undisturbed && e.whole && !e.Answer.Close && e.written())
}

func (e *Exchange) written() bool {
	select {
	case err := <-e.wrote:
		return err == nil
	default:
		return false
	}
}

// Whole reports whether the whole answer was read.
func (e *Exchange) Whole() bool {
	return e.whole
}
