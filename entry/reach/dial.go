package reach

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Reachable reports whether the address accepts a TCP connection within the timeout.
func Reachable(ctx context.Context, address netip.AddrPort, timeout time.Duration) bool {
	dialer := net.Dialer{Timeout: timeout}
	socket, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	_ = socket.Close()
	return true
}
