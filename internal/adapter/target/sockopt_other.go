//go:build !linux

package target

import (
	"net"
	"syscall"
	"time"
)

// setUserTimeout does nothing: TCP_USER_TIMEOUT is specific to Linux. Dead connections
// are detected by TCP keep-alive.
func setUserTimeout(net.Conn, time.Duration) error { return nil }

// reusable always returns true, since the socket is not inspected on this platform. A
// dead connection is detected when it is used.
func reusable(net.Conn) bool { return true }

// setBuffers does nothing: the sizes of the buffers are those of the system.
func setBuffers(syscall.RawConn, int, int) error { return nil }
