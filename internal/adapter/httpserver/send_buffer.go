package httpserver

import (
	"net"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/sockopt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

// What is written to a connection stays in the kernel until the peer has read it, and a peer can read slowly
// without ever stopping. A connection has a small send buffer, which holds most responses. A longer response gets
// a larger one while the memory budget has room for it; without room it is sent through the small one.

// smallResponseBytes is the number of bytes of a response from which on a larger buffer is used.
const smallResponseBytes = 8 << 10

// countResponse accounts for bytes of a response that are written now. The caller holds the lock.
func (c *conn) countResponse(n int) {
	limits := &c.server.limits
	before := c.responseBytes
	c.responseBytes += int64(n)
	if before > smallResponseBytes || c.responseBytes <= smallResponseBytes || c.sendMemory > 0 {
		return
	}
	if limits.Memory == nil || limits.ResponseSendBuffer <= limits.SendBuffer || limits.SendBuffer == 0 {
		return
	}
	// The kernel doubles the size for its own structures, which a response can fill in part.
	room := int64(2 * limits.ResponseSendBuffer)
	if !limits.Memory.TakeTransit(room, time.Now()) {
		c.server.sendsNarrowed.Add(1)
		return
	}
	c.sendMemory = room
	c.setWriteBuffer(limits.ResponseSendBuffer)
}

// shrinkSendBuffer ends the use of the larger buffer. It reports false if the peer has not read all of the
// response; the buffer then keeps its reservation. The caller holds the lock.
func (c *conn) shrinkSendBuffer() bool {
	if c.sendMemory == 0 {
		return true
	}
	if sockopt.HasUnsent(c.Conn) {
		return false
	}
	c.setWriteBuffer(c.server.limits.SendBuffer)
	c.releaseSendMemory()
	return true
}

// releaseSendMemory gives back the reservation of the larger buffer. The caller holds the lock.
func (c *conn) releaseSendMemory() {
	if c.sendMemory > 0 {
		c.server.limits.Memory.Release(membudget.Transit, c.sendMemory)
		c.sendMemory = 0
	}
}

// setWriteBuffer sets the size of the kernel's buffer for sent bytes.
func (c *conn) setWriteBuffer(size int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && size > 0 {
		_ = tcp.SetWriteBuffer(size)
	}
}

// endResponse starts to wait until the peer of an idle connection has read its response.
func (s *Server) endResponse(c *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responseBytes = 0
	if !c.shrinkSendBuffer() {
		s.unsent[c] = struct{}{}
	}
}

// ReleaseSent ends the use of larger send buffers on idle connections whose peers have read their responses. It
// is called from time to time, since the kernel does not tell when that is.
func (s *Server) ReleaseSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.unsent {
		c.mu.Lock()
		if c.phase != phaseIdle || c.closed || c.shrinkSendBuffer() {
			delete(s.unsent, c)
		}
		c.mu.Unlock()
	}
}
