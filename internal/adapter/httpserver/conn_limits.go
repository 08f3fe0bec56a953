package httpserver

import (
	"net"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

// errRefused is the error of a read on a connection whose request head was refused. net/http sends no
// response of its own after an error of this type.
var errRefused = &net.OpError{Op: "read", Err: errors.New("the request head was refused")}

// setPhase starts a phase. The caller holds the lock.
func (c *conn) setPhase(p phase) {
	c.phase = p
	c.since = time.Now()
	// A connection that was to be closed may have received a request before.
	c.evicted, c.closeAtOnce = false, false
}

// startReading ends the wait for a request and starts to read its head. The caller holds the lock.
func (c *conn) startReading() {
	// A part of a further head may have been read together with the request before.
	c.head = headScanner{started: c.phase == phaseIdle}
	c.setPhase(phaseReading)
	if timeout := time.Duration(c.server.headTimeout.Load()); timeout > 0 {
		c.headEnd = c.since.Add(timeout)
	}
	c.waitEnd = time.Time{}
	_ = c.applyDeadline()
}

// scanHead accounts for bytes of a request head. It returns an error after it has refused the head. The
// caller holds the lock.
func (c *conn) scanHead(p []byte) error {
	// net/http reads nothing more after the end of a head, so that what looked like the end was an empty
	// line before the request.
	c.head.ended = false
	before := c.head.memory() / headStep
	c.head.scan(p)
	if limit := c.server.maxHeadBytes.Load(); limit > 0 && c.head.bytes > limit {
		c.server.headsTooLarge.Add(1)
		return c.refuseHead(headTooLargeResponse)
	}
	if steps := c.head.memory()/headStep - before; steps > 0 && !c.takeMemory(steps*headStep) {
		c.server.refused.Add(1)
		return c.refuseHead(refusalResponse)
	}
	return nil
}

// refuseHead writes a response in place of net/http. All earlier responses of the connection are written
// when a request head is read. The caller holds the lock.
func (c *conn) refuseHead(response string) error {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTime))
	_, _ = c.Conn.Write([]byte(response))
	return errRefused
}

// takeMemory reserves memory for the head of a request and reports whether there was room.
func (c *conn) takeMemory(n int64) bool {
	budget := c.server.limits.Memory
	if budget == nil {
		return true
	}
	if !budget.Take(membudget.Connections, n) {
		return false
	}
	c.memory += n
	return true
}

// keepMemory releases what the connection holds of the memory budget beyond the given number of bytes.
// The caller holds the lock.
func (c *conn) keepMemory(n int64) {
	if budget := c.server.limits.Memory; budget != nil && c.memory > n {
		budget.Release(membudget.Connections, c.memory-n)
		c.memory = n
	}
}

// release gives back all that the connection holds of the memory budget.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepMemory(0)
	c.endDiscarding()
	c.releaseSendMemory()
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.server.writing.Add(1)
	defer c.server.writing.Add(-1)
	c.startWriting(len(p))
	defer c.endWriting()
	return c.Conn.Write(p)
}

// unreadSince returns the start of the current Write, or the zero time if there is none.
func (c *conn) unreadSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || c.closed {
		return time.Time{}
	}
	return c.writingSince
}

// countBody accounts for bytes of a request body that were read. A large body gets a larger buffer of the
// kernel, without which it would be limited to one small window in each round trip. The caller holds the
// lock.
func (c *conn) countBody(n int) {
	size := c.server.limits.BodyReceiveBuffer
	if size == 0 || c.bodyBytes >= largeBodyBytes {
		return
	}
	if c.bodyBytes += n; c.bodyBytes >= largeBodyBytes {
		c.setReadBuffer(size)
	}
}

// endBody restores the kernel's buffer after a large body. The caller holds the lock.
func (c *conn) endBody() {
	if c.bodyBytes >= largeBodyBytes {
		c.setReadBuffer(c.server.limits.ReceiveBuffer)
	}
	c.bodyBytes = 0
}

// setReadBuffer sets the size of the kernel's buffer for received bytes.
func (c *conn) setReadBuffer(size int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && size > 0 {
		_ = tcp.SetReadBuffer(size)
	}
}

// startWriting records the start of a Write of n bytes.
func (c *conn) startWriting(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = time.Now()
	c.countResponse(n)
}

func (c *conn) endWriting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingSince = time.Time{}
}

// closedAt returns the time of Close.
func (c *conn) closedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeTime
}

// evictable returns how the connection can be closed under pressure, if it can. The caller holds the lock
// of the server.
func (c *conn) evictable(now time.Time) (evictable, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := evictable{conn: c, since: c.since, ending: c.evicted || c.phase == phaseDiscarding}
	switch {
	case c.evicted || c.closed:
		return e, false
	case c.phase == phaseNew && now.Sub(c.since) >= minWaitTime:
		e.rank = rankNew
	case c.phase == phaseIdle && now.Sub(c.since) >= minWaitTime:
		e.rank = rankIdle
	case c.phase == phaseReading && now.Sub(c.since) >= readStallTime:
		e.rank = rankReading
	case c.phase == phaseDiscarding && c.writingSince.IsZero() && now.Sub(c.since) >= minLingerTime:
		e.rank = rankDiscarding
	case c.phase >= phaseServing && !c.writingSince.IsZero() && now.Sub(c.writingSince) >= writeStallTime:
		e.rank, e.since = rankWriting, c.writingSince
	default:
		return e, false
	}
	return e, true
}

// evictWaiting ends the wait for a request under pressure. The connection is closed without giving the
// peer time, since it has read all that was sent.
func (c *conn) evictWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting() {
		c.evicted = true
		c.closeAtOnce = c.phase == phaseNew || time.Since(c.since) >= lingerTime
		c.setWaitEnd(time.Now())
	}
}

// evictReading ends the time for reading a request head under pressure.
func (c *conn) evictReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseReading {
		c.evicted = true
		c.headEnd = time.Now()
		_ = c.applyDeadline()
	}
}

// evictWriting closes the connection at once under pressure.
func (c *conn) evictWriting() {
	c.abort()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
}
