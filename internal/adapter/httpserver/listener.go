package httpserver

import (
	"net"
	"sync/atomic"
	"time"
)

// lastAcceptTime is the time for which a server that shuts down waits for a connection that the kernel
// has established. Closing the listener resets those that have not been accepted, with the requests that
// they hold.
const lastAcceptTime = 20 * time.Millisecond

// listener wraps the connections that it accepts. After acceptLast it accepts those that wait to be
// accepted and then closes.
type listener struct {
	net.Listener
	last atomic.Bool
}

// deadliner is implemented by listeners whose Accept can be ended without closing them.
type deadliner interface {
	SetDeadline(time.Time) error
}

// acceptLast makes Accept return net.ErrClosed as soon as no connection waits.
func (l *listener) acceptLast() {
	l.last.Store(true)
	if d, ok := l.Listener.(deadliner); !ok || d.SetDeadline(time.Now()) != nil {
		_ = l.Close()
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && isTimeout(err) && l.last.Load() {
		c, err = l.acceptWaiting()
	}
	if err != nil {
		// net/http recognizes temporary errors by their type.
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// acceptWaiting accepts a connection that waits to be accepted, or closes the listener. The deadline is
// set here because an expired one hides waiting connections.
func (l *listener) acceptWaiting() (net.Conn, error) {
	if d, ok := l.Listener.(deadliner); ok && d.SetDeadline(time.Now().Add(lastAcceptTime)) == nil {
		if c, err := l.Listener.Accept(); err == nil {
			return c, d.SetDeadline(time.Now())
		}
	}
	_ = l.Close()
	return nil, net.ErrClosed
}
