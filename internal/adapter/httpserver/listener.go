package httpserver

import (
	"net"
	"sync/atomic"
	"time"
)

// Closing a listener resets the connections that the kernel has established and that have not been accepted,
// with the requests that they hold. Therefore a server that shuts down accepts connections until none arrives
// for acceptWait, but for no longer than lastAcceptTime, since callers may open new ones all the time.
const (
	acceptWait     = 20 * time.Millisecond
	lastAcceptTime = 100 * time.Millisecond
)

// listener wraps the connections that it accepts. After acceptLast it accepts those that wait to be
// accepted and then closes.
type listener struct {
	net.Listener
	server *Server
	last   atomic.Bool
	// lastEnd is the time at which the listener closes. It is set by the first Accept after acceptLast, as the
	// process may have had no processor time before.
	lastEnd time.Time
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

// Accept implements net.Listener. It refuses connections beyond the limits of the server.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.acceptNext()
		if err != nil {
			// net/http recognizes temporary errors by their type.
			return nil, err
		}
		if admitted := l.server.admit(c); admitted != nil {
			return admitted, nil
		}
	}
}

func (l *listener) acceptNext() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && isTimeout(err) && l.last.Load() {
		c, err = l.acceptWaiting()
	}
	return c, err
}

// acceptWaiting accepts a connection that waits to be accepted, or closes the listener. The deadline is
// set here because an expired one hides waiting connections.
func (l *listener) acceptWaiting() (net.Conn, error) {
	now := time.Now()
	if l.lastEnd.IsZero() {
		l.lastEnd = now.Add(lastAcceptTime)
	}
	if d, ok := l.Listener.(deadliner); ok && now.Before(l.lastEnd) && d.SetDeadline(now.Add(acceptWait)) == nil {
		if c, err := l.Listener.Accept(); err == nil {
			// This fails if the listener has been closed meanwhile, which the next Accept reports.
			_ = d.SetDeadline(now)
			return c, nil
		}
	}
	_ = l.Close()
	return nil, net.ErrClosed
}
