package target

import (
	"context"
	"io"
	"net/http"
	"net/netip"
)

// Exchange is one request at one target; Close must be called when its answer has been read.
type Exchange struct {
	Answer *http.Response

	pool    *Pool
	address netip.AddrPort
	conn    *conn
	whole   bool
	cancel  context.CancelFunc
}

// Begin sends the request and returns when the header of the answer is there. When it fails, sent says whether any byte
// may have reached the target. A request that must run at most once never goes over a connection that may be closing.
func (p *Pool) Begin(ctx context.Context, address netip.AddrPort, r *http.Request, once bool) (exchange *Exchange, sent bool, err error) {
	c, err := p.acquire(ctx, address, once)
	if err != nil {
		return nil, false, err
	}
	before := c.socket.written.Load()
	bounded, cancel := context.WithCancel(ctx)
	answer, err := c.client.RoundTrip(r.WithContext(bounded))
	if err != nil {
		cancel()
		p.release(address, c, false)
		return nil, c.socket.written.Load() != before, err
	}
	exchange = &Exchange{Answer: answer, pool: p, address: address, conn: c, cancel: cancel}
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
	if err == io.EOF {
		b.exchange.whole = true
	}
	return n, err
}

// Close gives the connection back if the whole answer was read, and else closes it, so that a late answer cannot meet
// another request.
func (e *Exchange) Close() {
	_ = e.Answer.Body.Close()
	e.pool.release(e.address, e.conn, e.whole && !e.Answer.Close)
	e.cancel()
}

// Whole reports whether the whole answer was read.
func (e *Exchange) Whole() bool {
	return e.whole
}
