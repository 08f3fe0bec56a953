package target

import (
	"net"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/sockopt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

// What is written to a connection stays in the kernel until the target has taken it, also
// if the target reads nothing. These bytes take the memory of the host's machine, beside the
// buffered body that they are a copy of.

// largeBodyBytes is the length from which on a body may take a larger send buffer. Shorter
// ones fit into Config.SendBuffer.
const largeBodyBytes = 16 << 10

// enlargeSendBuffer takes a larger send buffer for a large body if the memory budget has
// room for it. Without room the body is sent through the buffer of the connection.
func (x *exchange) enlargeSendBuffer() {
	cfg := &x.t.cfg
	if cfg.SendBuffer == 0 || cfg.BodySendBuffer <= cfg.SendBuffer || x.a.Body == nil || x.a.ContentLength >= 0 && x.a.ContentLength <= largeBodyBytes {
		return
	}
	// The kernel doubles the size for its own structures, which a body can fill in part.
	n := int64(2 * cfg.BodySendBuffer)
	if x.a.ContentLength > 0 {
		n = min(n, x.a.ContentLength)
	}
	// A kept connection may hold a reservation for a smaller body, see shrinkSendBuffer.
	held := x.c.transit
	switch {
	case n <= held:
	case cfg.Memory.TakeTransit(n-held, time.Now()):
		x.c.transit = n
		setSendBuffer(x.c.Conn, cfg.BodySendBuffer)
	case held > 0:
		setSendBuffer(x.c.Conn, cfg.SendBuffer)
	}
}

// releaseTransit gives back what a connection holds of the budget for its send buffer.
func (p *pool) releaseTransit(c *conn) {
	if c.transit > 0 {
		p.cfg.Memory.Release(membudget.Transit, c.transit)
		c.transit = 0
	}
}

// shrinkSendBuffer ends the use of the larger send buffer on a connection that is kept. A
// target that has answered may still have to take a part of the body; the connection then
// keeps its reservation until it is used again or closed.
func (p *pool) shrinkSendBuffer(c *conn) {
	if c.transit == 0 {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && sockopt.HasUnsent(tcp) {
		return
	}
	setSendBuffer(c.Conn, p.cfg.SendBuffer)
	p.releaseTransit(c)
}

// narrowReceiveBuffer is the size of the kernel's buffer for a response that is forwarded while it arrives and has
// no reservation. It is half of ReceiveBuffer: a sender waits with less than half of the largest window it has seen.
const narrowReceiveBuffer = 16 << 10

// enlargeReceiveBuffer takes a larger receive buffer for a long response, of a declared length or -1, if the memory
// budget has room for it. Without room the response arrives through the buffer of the connection.
func (x *exchange) enlargeReceiveBuffer(length int64) {
	cfg := &x.t.cfg
	n := int64(cfg.BodyReceiveBuffer)
	if cfg.ReceiveBuffer == 0 || n <= int64(cfg.ReceiveBuffer) || length >= 0 && length <= largeBodyBytes {
		return
	}
	if cfg.Memory.TakeTransit(n, time.Now()) {
		x.c.received = n
		setReceiveBuffer(x.c.Conn, cfg.BodyReceiveBuffer)
	}
}

// NarrowBuffer is called before a body is forwarded while it arrives, since its reader can be slower than the
// target. If the body has no reservation, the kernel's buffer for it is made small.
func (r *Response) NarrowBuffer() {
	if c := r.x.c; !r.ended && c.received == 0 && r.x.t.cfg.BodyReceiveBuffer > 0 {
		c.narrowed = true
		setReceiveBuffer(c.Conn, narrowReceiveBuffer)
	}
}

// restoreReceiveBuffer ends the use of a larger or a smaller receive buffer, and of its reservation.
func (p *pool) restoreReceiveBuffer(c *conn) {
	if c.received == 0 && !c.narrowed {
		return
	}
	if c.received > 0 {
		p.cfg.Memory.Release(membudget.Transit, c.received)
	}
	c.received, c.narrowed = 0, false
	setReceiveBuffer(c.Conn, p.cfg.ReceiveBuffer)
}

// discardUnsent makes the close of a connection discard the bytes that the target has not
// taken. The kernel would keep them until Config.UserTimeout, and callers that give up and
// repeat their uploads would add more.
func (p *pool) discardUnsent(c *conn) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && p.cfg.SendBuffer > 0 && sockopt.HasUnsent(tcp) {
		_ = tcp.SetLinger(0)
	}
}

// setReceiveBuffer sets the size of the kernel's buffer for received bytes. A failure only leaves the size that
// was set before.
func setReceiveBuffer(nc net.Conn, size int) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(size)
		sockopt.SetWindowClamp(tcp, size)
	}
}

// setSendBuffer sets the size of the kernel's buffer for sent bytes. A failure only leaves
// the size that was set before.
func setSendBuffer(nc net.Conn, size int) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(size)
	}
}
