package httpserver

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// phase is what a connection is used for.
type phase int

const (
	// phaseNew and phaseIdle: no byte of a first or of a further request has been read.
	phaseNew phase = iota
	phaseIdle
	// phaseReading: a part of a request header has been read.
	phaseReading
	// phaseServing: a request is being served.
	phaseServing
	// phaseDiscarding: the handler has ended without having read the whole body.
	phaseDiscarding
)

// Parameters of the time between the end of writing and the close of a connection. A connection that is
// closed while bytes of its peer are unread is reset, and the reset discards what has not reached the
// peer yet.
const (
	// lingerTime is the longest time for which the peer is given to close the connection.
	lingerTime = time.Second
	// maxLingerBytes is the number of bytes that are read and discarded meanwhile.
	maxLingerBytes = 256 << 10
)

// conn is a connection of a Server. Its wait for a request ends at waitEnd, without effect on bytes that
// have been read.
type conn struct {
	net.Conn

	mu    sync.Mutex
	phase phase
	// httpDeadline is the read deadline set by net/http, waitEnd the end of the wait for a request. The
	// zero time means none.
	httpDeadline, waitEnd time.Time
	// peerClosed is set after the peer has closed or reset the connection.
	peerClosed bool
	closed     bool
	// lingerEnd is the end of the time that the peer is given to close the connection, or the zero time
	// if it needs none, lingerBytes the number of bytes that are discarded meanwhile.
	lingerEnd   time.Time
	lingerBytes int64
	ahead       readAhead

	server *Server
	// address is that of the client, without its port.
	address string
	// evicted is set when the connection is to be closed under pressure.
	evicted bool
	// closeAtOnce is set if Close need not wait for the peer.
	closeAtOnce bool
	// bodyBytes is the number of bytes of the current request's body that were read, up to largeBodyBytes.
	bodyBytes int
	// memory is what the connection holds of the memory budget.
	memory int64
	// discarded is the number of bytes of a refused body that were discarded, until discardEnd.
	// discardMemory is what is reserved for the kernel's buffer meanwhile.
	discarded     int64
	discardEnd    time.Time
	discardMemory int64
	// responseBytes is the number of bytes of the current response that were written, sendMemory what is
	// reserved for the larger send buffer.
	responseBytes, sendMemory int64
	// since is the start of the current phase, closeTime that of Close.
	since, closeTime time.Time
	// head is the request head that is being read, until headEnd; the zero time means no limit.
	head    headScanner
	headEnd time.Time
	// writingSince is the start of the current Write, or the zero time.
	writingSince time.Time
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if isTimeout(err) && c.waitEnded() {
		n, err = c.readArrived(p, err)
		n = c.keepBeyondHeader(p, n)
	}
	if n > 0 && c.waiting() {
		c.startReading()
	}
	if n > 0 && c.phase == phaseServing {
		c.countBody(n)
	}
	if n > 0 && c.phase == phaseDiscarding {
		c.countDiscarded(n)
	}
	if n > 0 && c.phase == phaseReading {
		if limit := c.scanHead(p[:n]); limit != nil {
			return 0, limit
		}
	}
	if err != nil && isTimeout(err) && c.phase == phaseReading && !c.closed {
		c.server.headsTimedOut.Add(1)
	}
	if err != nil && !isTimeout(err) {
		c.peerClosed = true
	}
	return n, err
}

// read reads pending bytes, or from the connection. The end of a read for net/http is not
// beyond the end of a header, so that what follows stays with the connection.
func (c *conn) read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing && len(p) > 0 && c.readsAhead() {
		return c.readWhileServing(p)
	}
	if len(c.ahead.pending) > 0 && len(p) > 0 {
		return c.ahead.take(p), nil
	}
	if c.discardedEnough() {
		return 0, errDiscardedEnough
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	return c.keepBeyondHeader(p, n), err
}

// keepBeyondHeader keeps what follows the end of a header in the n bytes that were read into
// p, and returns the number of the others. The caller holds the lock.
func (c *conn) keepBeyondHeader(p []byte, n int) int {
	if c.ahead.concurrent == nil || c.ahead.misaligned || n <= 0 {
		return n
	}
	end := c.ahead.noteDelivered(p[:n])
	c.ahead.pending = append(c.ahead.pending, p[end:n]...)
	return end
}

// readArrived reads what has arrived by the end of the wait for a request, or returns the given timeout.
// An expired read deadline hides it if the process had no processor time to read it earlier. The caller
// holds the lock.
func (c *conn) readArrived(p []byte, timeout error) (int, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, timeout
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	if err := c.Conn.SetReadDeadline(time.Time{}); err != nil {
		return 0, err
	}
	defer func() { _ = c.applyDeadline() }()
	n := -1
	// The socket does not block, and returning true ends the read if nothing has arrived.
	_ = raw.Read(func(fd uintptr) bool {
		n, _ = syscall.Read(int(fd), p)
		return true
	})
	switch {
	case n > 0:
		return n, nil
	case n == 0:
		return 0, io.EOF
	}
	return 0, timeout
}

// waiting reports whether no byte of the next request has been read. The caller holds the lock.
func (c *conn) waiting() bool { return c.phase == phaseNew || c.phase == phaseIdle }

// waitEnded reports whether the wait for a request has ended without a byte. The caller holds the lock.
func (c *conn) waitEnded() bool {
	return c.waiting() && !c.closed && !c.waitEnd.IsZero() && !c.waitEnd.After(time.Now())
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. While the connection waits for a request, reads end at waitEnd if
// that is earlier.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.httpDeadline = t
	return c.applyDeadline()
}

// applyDeadline sets the earlier one of both read deadlines. The caller holds the lock.
func (c *conn) applyDeadline() error {
	if c.closed {
		return net.ErrClosed
	}
	deadline := c.httpDeadline
	for _, end := range []time.Time{c.waitEnd, c.headEnd, c.discardEnd} {
		if deadline.IsZero() || (!end.IsZero() && end.Before(deadline)) {
			deadline = end
		}
	}
	return c.Conn.SetReadDeadline(deadline)
}

// setWaitEnd changes the end of the wait for a request. The caller holds the lock.
func (c *conn) setWaitEnd(t time.Time) {
	if c.waitEnd.IsZero() && t.IsZero() {
		return
	}
	c.waitEnd = t
	_ = c.applyDeadline()
}

func (c *conn) currentPhase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// startWaiting starts the wait for the next request, which ends at the given time.
func (c *conn) startWaiting(end time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhase(phaseIdle)
	c.endDiscarding()
	c.keepMemory(connectionBytes)
	c.endBody()
	c.setWaitEnd(end)
}

// startServing ends the wait for a request because one has been read.
func (c *conn) startServing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhase(phaseServing)
	hadHeadEnd := !c.headEnd.IsZero()
	c.headEnd = time.Time{}
	c.setWaitEnd(time.Time{})
	if hadHeadEnd {
		_ = c.applyDeadline()
	}
}

// endWait ends the wait for a request now, if no byte of it has been read.
func (c *conn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting() {
		c.setWaitEnd(time.Now())
	}
}

// CloseWrite ends writing and discards the rest of a refused body. net/http calls it, and then waits for half
// a second, before it closes a connection on which it has not read a body to its end.
func (c *conn) CloseWrite() error {
	err := c.closeWrite()
	c.discardRest()
	return err
}

// closeWrite ends writing. The peer then reads the end of the stream after all that was written.
func (c *conn) closeWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close ends writing, or closes the connection if the peer has closed it. After the former, linger closes it.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.cancelStarted()
	c.closeTime = time.Now()
	if c.peerClosed || c.closeAtOnce || c.closeWrite() != nil {
		return c.Conn.Close()
	}
	c.lingerEnd, c.lingerBytes = c.lingerLimits(time.Now())
	// A read of net/http in the background must not go on.
	return c.Conn.SetReadDeadline(time.Now())
}

// linger waits after Close until the peer has closed the connection as well, and closes it.
func (c *conn) linger() {
	c.mu.Lock()
	end, bytes := c.lingerEnd, c.lingerBytes
	c.mu.Unlock()
	if end.IsZero() {
		return
	}
	defer c.Conn.Close()
	if c.Conn.SetReadDeadline(end) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, c.Conn, bytes); err == nil {
		time.Sleep(time.Until(end))
	}
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cancelStarted()
	_ = c.Conn.Close()
}
