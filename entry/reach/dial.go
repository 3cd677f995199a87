package reach

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// Dial reports whether the address accepts a connection within the time.
func Dial(ctx context.Context, address netip.AddrPort, within time.Duration) bool {
	dialer := net.Dialer{Timeout: within}
	socket, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return false
	}
	_ = socket.Close()
	return true
}
