package caller

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"poplarworks/core/code"
	"poplarworks/entry/common"
	"poplarworks/entry/relay"
)

const refusalTimeout = time.Second // for writing a refusal and reading what the caller still sends

// limiter is a listener that refuses connections above the limit. Its connections add the code to the refusals that
// net/http writes by itself.
type limiter struct {
	net.Listener

	common *common.Common
	secure bool
	open   atomic.Int64
}

// Accept returns the next connection within the limit, and refuses those above it.
func (l *limiter) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > int64(l.common.Settings.MaxConnections) {
			l.open.Add(-1)
			l.common.Counter("caller.refused.too-many-connections").Inc(1)
			go refuse(socket, l.secure)
			continue
		}
		return &trackedConn{Conn: socket, limiter: l, plain: !l.secure}, nil
	}
}

// refuse answers with a refusal and closes the connection. A TLS connection is closed without an answer.
func refuse(socket net.Conn, secure bool) {
	defer func() { _ = socket.Close() }()
	if secure {
		return
	}
	_ = socket.SetDeadline(time.Now().Add(refusalTimeout))
	entry := code.TooManyConnections.Description()
	_, _ = fmt.Fprintf(socket, "HTTP/1.1 %d Service Unavailable\r\n%s: %d\r\n%s: %s\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		entry.Status, relay.CodeHeader, code.TooManyConnections, relay.ExecutionHeader, code.Unknown)
	// Closing a connection with unread input would reset it, and the caller could lose the refusal.
	buffer := make([]byte, 4096)
	for {
		if _, err := socket.Read(buffer); err != nil {
			return
		}
	}
}

// trackedConn is a connection that counts as open until it is closed.
type trackedConn struct {
	net.Conn

	limiter *limiter
	plain   bool
	once    sync.Once
}

// Close closes the connection and subtracts it, once, from the open ones.
func (c *trackedConn) Close() error {
	c.once.Do(func() { c.limiter.open.Add(-1) })
	return c.Conn.Close()
}

// Write adds the code to a refusal that net/http writes by itself. Such a refusal is recognised by its missing Date
// field, which every other answer has.
func (c *trackedConn) Write(data []byte) (int, error) {
	if !c.plain || !bytes.HasPrefix(data, []byte("HTTP/1.1 4")) || bytes.Contains(data, []byte("\r\nDate: ")) {
		return c.Conn.Write(data)
	}
	refusalCode := code.MalformedRequest
	if bytes.HasPrefix(data, []byte("HTTP/1.1 431")) {
		refusalCode = code.HeadersTooLarge
	}
	head, rest, found := bytes.Cut(data, []byte("\r\n"))
	if !found {
		return c.Conn.Write(data)
	}
	coded := fmt.Appendf(nil, "%s\r\n%s: %d\r\n%s: %s\r\n%s", head, relay.CodeHeader, refusalCode, relay.ExecutionHeader, code.NotRun, rest)
	if _, err := c.Conn.Write(coded); err != nil {
		return 0, err
	}
	return len(data), nil
}
