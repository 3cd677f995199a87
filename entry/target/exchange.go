package target

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Exchange is one request to one target and its response. Close must be called when the response has been read.
type Exchange struct {
	Response *http.Response

	pool       *Pool
	address    netip.AddrPort
	conn       *conn
	writeDone  <-chan error
	wroteAll   bool
	complete   bool
	stopCancel func() bool
}

// pastDeadline is a deadline that makes reads and writes in progress fail at once.
var pastDeadline = time.Unix(1, 0)

// Begin sends the request and returns when the header of the response has been read. If it fails, sent reports whether
// any byte may have reached the target. Set once for a request that must run at most once: it is never sent over a
// connection that the target may be closing, or on which it could repeat an earlier refusal.
func (p *Pool) Begin(ctx context.Context, address netip.AddrPort, r *http.Request, once bool) (exchange *Exchange, sent bool, err error) {
	c, err := p.acquire(ctx, address, once)
	if err != nil {
		return nil, false, err
	}
	writtenBefore := c.written.Load()
	stopCancel := context.AfterFunc(ctx, func() { _ = c.socket.SetDeadline(pastDeadline) })
	response, writeDone, err := c.exchange(ctx, r.WithContext(ctx), p.MatchesRequest)
	if err != nil {
		stopCancel()
		p.release(address, c, false)
		return nil, c.written.Load() != writtenBefore, err
	}
	exchange = &Exchange{Response: response, pool: p, address: address, conn: c, writeDone: writeDone, stopCancel: stopCancel}
	response.Body = &trackedBody{ReadCloser: response.Body, exchange: exchange}
	return exchange, true, nil
}

// writeResultDelay is the time after the end of a response within which a request that was written completely is known to
// be so.
const writeResultDelay = 100 * time.Millisecond

// trackedBody records that the body was read to its end.
type trackedBody struct {
	io.ReadCloser
	exchange *Exchange
}

// Read reads from the body and marks the exchange as complete at its end.
func (b *trackedBody) Read(buffer []byte) (int, error) {
	n, err := b.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if b.exchange.endsWithConnection() && !b.exchange.writtenSoon() {
			return n, io.ErrUnexpectedEOF
		}
		b.exchange.complete = true
	}
	return n, err
}

// endsWithConnection reports whether only the end of the connection marks the end of the body. A reset looks like that end
// if a write that was in progress has already received its error.
func (e *Exchange) endsWithConnection() bool {
	return e.Response.ContentLength < 0 && len(e.Response.TransferEncoding) == 0
}

// writtenSoon reports whether the request is written completely, and waits a little for the result.
func (e *Exchange) writtenSoon() bool {
	if e.written() {
		return true
	}
	select {
	case err := <-e.writeDone:
		e.wroteAll = err == nil
	case <-time.After(writeResultDelay):
	}
	return e.wroteAll
}

// Close returns the connection to the pool if the request was completely written and the response completely read.
// Otherwise it closes the connection, so that neither a late response nor the rest of a body can reach another request.
func (e *Exchange) Close() {
	notCancelled := e.stopCancel()
	e.pool.release(e.address, e.conn, notCancelled && e.complete && !e.Response.Close && e.written())
}

func (e *Exchange) written() bool {
	select {
	case err := <-e.writeDone:
		e.wroteAll = err == nil
	default:
	}
	return e.wroteAll
}

// MarkUnnamedRefusal records that the response refuses the request without naming it. The target could write it once more,
// so the connection is kept for requests that may run twice.
func (e *Exchange) MarkUnnamedRefusal() {
	e.conn.unnamedRefusal = true
}

// ReadCompletely reports whether the response was read completely.
func (e *Exchange) ReadCompletely() bool {
	return e.complete
}
