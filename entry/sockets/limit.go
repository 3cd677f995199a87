package sockets

import "syscall"

// DirectionBytes is what the kernel may hold for a limited socket in each direction, in bytes, its own overhead included.
const DirectionBytes = 64 << 10

// overheadFactor is the ratio of what Linux reserves to the size that is asked for (socket(7), SO_RCVBUF).
const overheadFactor = 2

// Limit sets fixed sizes for the receive and send buffers of a socket, in place of the kernel's automatic ones of many
// MiB. As Control of a dialer or listener it takes effect before the connection's window is negotiated.
func Limit(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without these options the connection works as well, with more memory.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, DirectionBytes/overheadFactor)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, DirectionBytes/overheadFactor)
	})
}
