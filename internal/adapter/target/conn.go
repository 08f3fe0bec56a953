package target

import (
	"bufio"
	"hash/maphash"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// conn is one connection to a target. Only the exchange that holds it calls its
// I/O methods, with at most one reader and one writer at a time.
type conn struct {
	net.Conn
	address string
	br      *bufio.Reader
	// headBuf is the buffer for request heads.
	headBuf       []byte
	headBytesLeft int
	headLimited   bool
	counter       *byteCounter
	// transit is what the send buffer holds of the memory budget.
	transit int64
	// received is what the receive buffer holds of the memory budget; narrowed is set if it was made small.
	received     int64
	narrowed     bool
	reused       bool
	openedAt     time.Time
	lastResponse time.Time
	idleSince    time.Time
	// generation is the generation of the target's pool at the time the connection
	// was opened or last became idle.
	generation uint64
	// keepAlive is the idle timeout announced in the target's latest response,
	// less keepAliveReserve; 0 if the target announced none.
	keepAlive time.Duration
	// rejected holds the hashes of the IDs of the requests that the target rejected on this
	// connection without running them.
	rejected []uint64
	// echoesID reports whether a response on this connection carried the ID of its
	// request.
	echoesID bool

	mu          sync.Mutex
	interrupted bool
}

func newConn(nc net.Conn, address string, bufferBytes int, now time.Time) *conn {
	c := &conn{Conn: nc, address: address, openedAt: now}
	c.br = bufio.NewReaderSize(connReader{c}, bufferBytes)
	return c
}

// keepAliveReserve is how long before the target's own idle timeout a connection
// is closed, so that no request is sent while the target closes it.
const keepAliveReserve = time.Second

// maxKeepAlive bounds the idle timeout that a target can announce. It exceeds
// Config.IdleTimeout, so a longer one has no other effect.
const maxKeepAlive = time.Hour

// parseKeepAlive stores the idle timeout announced in a Keep-Alive header.
func (c *conn) parseKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			timeout := time.Duration(min(seconds, int(maxKeepAlive/time.Second))) * time.Second
			c.keepAlive = max(time.Millisecond, timeout-keepAliveReserve)
		}
	}
}

// maxRejectedIDs bounds the IDs that a connection remembers. It is not reused after that
// many rejections.
const maxRejectedIDs = 32

// idSeed makes it infeasible for callers to choose IDs with equal hashes.
var idSeed = maphash.MakeSeed()

// hashID returns a hash of a request ID. Callers choose IDs of up to the length of a request
// head, and an idle connection would keep 32 of them. Equal hashes of different IDs only
// leave out a connection.
func hashID(id string) uint64 { return maphash.String(idSeed, id) }

// recordRejection records that the target stated that it did not run a request. It
// returns false if the connection must not be reused: the target may write the rejection
// once more, and the copy could not be told from a rejection of a later request.
func (c *conn) recordRejection(id string, identified bool) (reusable bool) {
	if !identified {
		return false
	}
	c.rejected = append(c.rejected, hashID(id))
	return len(c.rejected) < maxRejectedIDs
}

// connReader reads from the connection, counts the bytes and enforces the size
// limit of the response head.
type connReader struct{ c *conn }

func (r connReader) Read(p []byte) (int, error) {
	c := r.c
	if c.headLimited {
		if c.headBytesLeft <= 0 {
			return 0, ErrHeadTooLarge
		}
		p = p[:min(len(p), c.headBytesLeft)]
	}
	n, err := c.Conn.Read(p)
	c.headBytesLeft -= n
	c.counter.addReceived(n)
	return n, err
}

// limitHead bounds the bytes read until unlimitHead is called.
func (c *conn) limitHead(n int) { c.headLimited, c.headBytesLeft = true, n-c.br.Buffered() }

func (c *conn) unlimitHead() { c.headLimited = false }

// interrupt makes pending and future I/O fail. The connection cannot be reused.
func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.SetDeadline(time.Unix(1, 0))
}

// setReadDeadline sets the read deadline unless the connection was interrupted.
func (c *conn) setReadDeadline(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.SetReadDeadline(until)
	}
}

// setWriteDeadline sets the write deadline unless the connection was interrupted.
func (c *conn) setWriteDeadline(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.SetWriteDeadline(until)
	}
}
