//go:build !linux

package sockopt

import "net"

// HasUnsent always returns false.
func HasUnsent(net.Conn) bool { return false }

// SetWindowClamp does nothing: the window is that of the system.
func SetWindowClamp(net.Conn, int) {}
