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

const refusalTimeout = time.Second

// limiter refuses connections above the limit, and adds the code to refusals that the HTTP library writes itself.
type limiter struct {
	net.Listener

	common *common.Common
	secure bool
	open   atomic.Int64
}

// Accept returns the next connection within the limit.
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

func refuse(socket net.Conn, secure bool) {
	defer func() { _ = socket.Close() }()
	if secure {
		return
	}
	_ = socket.SetDeadline(time.Now().Add(refusalTimeout))
	entry := code.TooManyConnections.Entry()
	_, _ = fmt.Fprintf(socket, "HTTP/1.1 %d Service Unavailable\r\n%s: %d\r\n%s: %s\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		entry.Status, relay.CodeHeader, code.TooManyConnections, relay.RunHeader, code.Unknown)
	// Closing with unread input would reset the connection and lose the refusal.
	buffer := make([]byte, 4096)
	for {
		if _, err := socket.Read(buffer); err != nil {
			return
		}
	}
}

// trackedConn counts a connection as open until it is closed.
type trackedConn struct {
	net.Conn

	limiter *limiter
	plain   bool
	once    sync.Once
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.once.Do(func() { c.limiter.open.Add(-1) })
	return c.Conn.Close()
}

// Write adds the code to a refusal by the HTTP library, which alone writes answers without a date.
func (c *trackedConn) Write(data []byte) (int, error) {
	if !c.plain || !bytes.HasPrefix(data, []byte("HTTP/1.1 4")) || bytes.Contains(data, []byte("\r\nDate: ")) {
		return c.Conn.Write(data)
	}
	number := code.MalformedRequest
	if bytes.HasPrefix(data, []byte("HTTP/1.1 431")) {
		number = code.HeadersTooLarge
	}
	head, rest, found := bytes.Cut(data, []byte("\r\n"))
	if !found {
		return c.Conn.Write(data)
	}
	coded := fmt.Appendf(nil, "%s\r\n%s: %d\r\n%s: %s\r\n%s", head, relay.CodeHeader, number, relay.RunHeader, code.NotRun, rest)
	if _, err := c.Conn.Write(coded); err != nil {
		return 0, err
	}
	return len(data), nil
}
