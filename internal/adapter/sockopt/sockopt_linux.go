package sockopt

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// control calls f with the descriptor of a connection, unless it has none or is closed.
func control(nc net.Conn, f func(fd int)) {
	socket, ok := nc.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// HasUnsent reports whether bytes that were written have not been acknowledged by the peer.
func HasUnsent(nc net.Conn) bool {
	unsent := 0
	control(nc, func(fd int) { unsent, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return unsent > 0
}

// SetWindowClamp bounds the window in bytes that is offered to the peer. The kernel keeps the bound of the receive
// buffer with which a connection was opened, also when the buffer is made larger. A failure leaves the bound.
func SetWindowClamp(nc net.Conn, bytes int) {
	control(nc, func(fd int) { _ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes) })
}
