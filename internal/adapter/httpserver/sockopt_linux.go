package httpserver

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnsent reports whether bytes that were written have not been acknowledged by the peer.
func hasUnsent(nc net.Conn) bool {
	socket, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	unsent := 0
	err = raw.Control(func(fd uintptr) { unsent, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && unsent > 0
}
