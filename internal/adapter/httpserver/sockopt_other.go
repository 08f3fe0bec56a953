//go:build !linux

package httpserver

import "net"

// hasUnsent always returns false, since the socket is not inspected on this platform.
func hasUnsent(net.Conn) bool { return false }
