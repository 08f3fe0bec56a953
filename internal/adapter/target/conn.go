package target

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// conn is one connection to a target. Its I/O methods are used by the exchange
// that holds it, at most one reader and one writer at a time.
type conn struct {
	net.Conn
	address string
	br      *bufio.Reader
	// out is the buffer for request heads.
	out          []byte
	headLeft     int
	limited      bool
	counter      *byteCounter
	reused       bool
	openedAt     time.Time
	lastResponse time.Time
	idleSince    time.Time
	generation   uint64
	// keepAlive is how long the target keeps the connection idle, as it said in
	// its latest response; 0 if it did not.
	keepAlive time.Duration

	mu          sync.Mutex
	interrupted bool
}

func newConn(nc net.Conn, address string, bufferBytes int, now time.Time) *conn {
	c := &conn{Conn: nc, address: address, openedAt: now}
	c.br = bufio.NewReaderSize(connReader{c}, bufferBytes)
	return c
}

// keepAliveReserve is how much earlier than the target a host gives up an idle
// connection, so that no request meets the target's close.
const keepAliveReserve = time.Second

// readKeepAlive takes the idle timeout that a response announces.
func (c *conn) readKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			c.keepAlive = max(time.Millisecond, time.Duration(seconds)*time.Second-keepAliveReserve)
		}
	}
}

// connReader feeds the buffer and enforces the bound of the response head.
type connReader struct{ c *conn }

func (r connReader) Read(p []byte) (int, error) {
	c := r.c
	if c.limited {
		if c.headLeft <= 0 {
			return 0, ErrHeadTooLarge
		}
		p = p[:min(len(p), c.headLeft)]
	}
	n, err := c.Conn.Read(p)
	c.headLeft -= n
	c.counter.addReceived(n)
	return n, err
}

// limitHead bounds the bytes read until unlimit is called.
func (c *conn) limitHead(n int) { c.limited, c.headLeft = true, n-c.br.Buffered() }

func (c *conn) unlimit() { c.limited = false }

// interrupt makes pending and later I/O fail. The connection can't be reused.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.SetDeadline(time.Unix(1, 0))
}

// boundRead limits further reading unless the connection is interrupted.
func (c *conn) boundRead(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.SetReadDeadline(until)
	}
}

// boundWrite limits further writing unless the connection is interrupted.
func (c *conn) boundWrite(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.SetWriteDeadline(until)
	}
}
