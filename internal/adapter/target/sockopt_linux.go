package target

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT from linux/tcp.h, which package syscall does
// not define.
const tcpUserTimeout = 0x12

// setUserTimeout bounds how long sent data may stay unacknowledged.
func setUserTimeout(nc net.Conn, d time.Duration) error {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// reusable reports whether an idle connection is open and has no unread data. It
// does not block.
func reusable(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var recvErr error
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, recvErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && (recvErr == syscall.EAGAIN || recvErr == syscall.EINTR)
}

// setBuffers sets the sizes of the kernel's buffers, 0 for its default. The receive buffer
// has to be set before the connection is opened: the peer would otherwise learn of a larger
// window.
func setBuffers(raw syscall.RawConn, sendBytes, receiveBytes int) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		if sendBytes > 0 {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBytes)
		}
		if receiveBytes > 0 && sockErr == nil {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
		}
	})
	if err != nil {
		return err
	}
	return sockErr
}
