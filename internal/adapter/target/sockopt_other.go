//go:build !linux

package target

import (
	"net"
	"time"
)

// setUserTimeout has no equivalent here; keep-alive detects dead connections.
func setUserTimeout(net.Conn, time.Duration) error { return nil }

// quiet can't look at the socket here; a dead connection shows on use.
func quiet(net.Conn) bool { return true }
