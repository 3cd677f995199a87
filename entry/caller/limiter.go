package caller

import (
	"fmt"
	"net"
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
		return &trackedConn{Conn: socket, limiter: l, codesRefusals: !l.secure}, nil
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
