package httpserver

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

// A handler can answer a request without reading its whole body. A connection that is closed while bytes of its
// peer are unread is reset, and the reset discards a response that the peer has not read yet. Therefore the rest
// of the body is read and discarded for a while, within discardTime and maxDiscardBytes, before the connection is
// closed.
//
// A peer that goes on sending meanwhile fills the kernel's receive buffer. Its room is reserved; without room the
// buffer is made small, so that many such peers do not take the memory of the machine.
const (
	// discardTime is the longest time from the end of the handler until the connection is closed, besides the
	// half second for which net/http waits.
	discardTime = 2 * time.Second
	// maxDiscardBytes is the number of bytes that are read and discarded meanwhile.
	maxDiscardBytes = 512 << 10
	// discardBuffer is the memory that is reserved for the kernel's receive buffer of such a connection. Its
	// window has no scaling.
	discardBuffer = 64 << 10
	// narrowBuffer is the size of that buffer without a reservation. The kernel raises it to its least size.
	narrowBuffer = 1 << 10
)

// DiscardBody tells the server that the handler of a request reads no more of its body, of which the end has not
// been read. It returns false if the request is not one of a Server.
func DiscardBody(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if ok {
		c.startDiscarding()
	}
	return ok
}

// startDiscarding starts the time in which the rest of a body is discarded.
func (c *conn) startDiscarding() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseServing || c.closed {
		return
	}
	c.setPhase(phaseDiscarding)
	c.discarded, c.discardEnd = 0, c.since.Add(discardTime)
	// The handler may have ended a read of the body by a deadline.
	c.httpDeadline = time.Time{}
	_ = c.applyDeadline()
	c.server.discards.Add(1)
	c.reserveDiscardBuffer()
}

// reserveDiscardBuffer reserves the room of the kernel's receive buffer, or makes that buffer small. The caller
// holds the lock.
func (c *conn) reserveDiscardBuffer() {
	limits := &c.server.limits
	if limits.Memory == nil || limits.ReceiveBuffer == 0 {
		return
	}
	if limits.Memory.TakeTransit(discardBuffer, time.Now()) {
		c.discardMemory = discardBuffer
		return
	}
	c.server.discardsNarrowed.Add(1)
	c.setReadBuffer(narrowBuffer)
}

// countDiscarded accounts for bytes that were read while a body is discarded. The caller holds the lock.
func (c *conn) countDiscarded(n int) {
	before := c.discarded
	c.discarded += int64(n)
	if before < maxDiscardBytes && c.discarded >= maxDiscardBytes {
		c.server.discardsCut.Add(1)
	}
}

// discardedEnough reports whether no more of a refused body is read. The caller holds the lock.
func (c *conn) discardedEnough() bool {
	return c.phase == phaseDiscarding && c.discarded >= maxDiscardBytes
}

// errDiscardedEnough ends a read like the end of the time for discarding: the peer has not closed the connection.
var errDiscardedEnough = os.ErrDeadlineExceeded

// discardRest reads and discards the rest of a refused body.
func (c *conn) discardRest() {
	if c.currentPhase() == phaseDiscarding {
		_, _ = io.Copy(io.Discard, struct{ io.Reader }{c})
	}
}

// endDiscarding gives back what is reserved for the kernel's receive buffer. The caller holds the lock.
func (c *conn) endDiscarding() {
	if c.discardMemory > 0 {
		c.server.limits.Memory.Release(membudget.Transit, c.discardMemory)
		c.discardMemory = 0
	}
	c.discardEnd = time.Time{}
}

// lingerLimits returns until when, and for how many bytes of the peer, a connection stays open that is closed
// now. The caller holds the lock.
func (c *conn) lingerLimits(now time.Time) (end time.Time, bytes int64) {
	end, bytes = now.Add(lingerTime), maxLingerBytes
	if c.phase != phaseDiscarding {
		return end, bytes
	}
	if c.discardEnd.Before(end) {
		end = c.discardEnd
	}
	if least := now.Add(minLingerTime); end.Before(least) {
		end = least
	}
	return end, max(0, maxDiscardBytes-c.discarded)
}
