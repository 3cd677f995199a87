package caller

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"poplarworks/core/code"
	"poplarworks/entry/relay"
)

// http2Preface is what a client sends first on an HTTP/2 connection (RFC 9113, section 3.4).
const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// trackedConn is a connection that counts as open until it is closed. It adds the code to the refusals that net/http
// writes by itself.
type trackedConn struct {
	net.Conn

	limiter       *limiter
	codesRefusals bool // false for TLS, whose records hide the refusals
	once          sync.Once

	// Between the end of an exchange and the call of the handler for the next one, HTTP/1 has nothing to write but a
	// refusal. The content of a write proves nothing, since a body can hold the same bytes.
	inExchange    atomic.Bool
	http2         atomic.Bool
	prefaceLength int // matched bytes of the preface, or -1 after a mismatch
}

// Close closes the connection and subtracts it, once, from the open ones.
func (c *trackedConn) Close() error {
	c.once.Do(func() { c.limiter.open.Add(-1) })
	return c.Conn.Close()
}

// CloseWrite closes the write side, so that net/http can let the caller read a refusal before it closes the connection.
func (c *trackedConn) CloseWrite() error {
	if socket, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return socket.CloseWrite()
	}
	return nil
}

// Read reads from the connection and detects HTTP/2 by its preface, which may arrive in pieces.
func (c *trackedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if c.prefaceLength >= 0 && c.prefaceLength < len(http2Preface) {
		c.matchPreface(buffer[:n])
	}
	return n, err
}

func (c *trackedConn) matchPreface(data []byte) {
	data = data[:min(len(data), len(http2Preface)-c.prefaceLength)]
	if !strings.HasPrefix(http2Preface[c.prefaceLength:], string(data)) {
		c.prefaceLength = -1
		return
	}
	c.prefaceLength += len(data)
	c.http2.Store(c.prefaceLength == len(http2Preface))
}

// Write writes to the connection. It adds the code to a refusal by net/http, which is always written in one piece.
func (c *trackedConn) Write(data []byte) (int, error) {
	if !c.codesRefusals || c.http2.Load() || c.inExchange.Swap(true) {
		return c.Conn.Write(data)
	}
	if _, err := c.Conn.Write(withCode(data)); err != nil {
		return 0, err
	}
	return len(data), nil
}

// withCode inserts the code after the status line of a refusal.
func withCode(data []byte) []byte {
	statusLine, rest, found := bytes.Cut(data, []byte("\r\n"))
	if !found {
		return data
	}
	refusalCode := code.MalformedRequest
	if _, status, _ := bytes.Cut(statusLine, []byte(" ")); bytes.HasPrefix(status, []byte("431 ")) {
		refusalCode = code.HeadersTooLarge
	}
	return fmt.Appendf(nil, "%s\r\n%s: %d\r\n%s: %s\r\n%s", statusLine, relay.CodeHeader, refusalCode, relay.ExecutionHeader, code.NotRun, rest)
}

type connKey struct{}

// withConn makes the connection known to trackExchange.
func withConn(ctx context.Context, socket net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, socket)
}

// trackExchange marks the begin of each exchange on its connection.
func trackExchange(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*trackedConn); ok {
			c.inExchange.Store(true)
		}
		next.ServeHTTP(w, r)
	})
}

// trackState marks the end of each exchange on its connection. An answer has then been written completely.
func trackState(socket net.Conn, state http.ConnState) {
	if c, ok := socket.(*trackedConn); ok && state == http.StateIdle {
		c.inExchange.Store(false)
	}
}
