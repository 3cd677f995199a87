package reach

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Dial reports whether the address accepts a TCP connection within the timeout.
func Dial(ctx context.Context, address netip.AddrPort, timeout time.Duration) bool {
	dialer := net.Dialer{Timeout: timeout}
	socket, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	_ = socket.Close()
	return true
}
