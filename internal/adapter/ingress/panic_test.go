package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// panicConn is a connection to a target whose reads or writes panic.
type panicConn struct {
	net.Conn
	// readsLeft and writesLeft are the calls that succeed before one panics; a negative
	// number never panics.
	readsLeft, writesLeft atomic.Int64
	closed                *atomic.Int64
}

func (c *panicConn) Read(p []byte) (int, error) {
	if c.readsLeft.Add(-1) == -1 {
		panic("unexpected in Read")
	}
	// Small reads separate the head of a response from its body.
	return c.Conn.Read(p[:min(len(p), 64)])
}

func (c *panicConn) Write(p []byte) (int, error) {
	if c.writesLeft.Add(-1) == -1 {
		panic("unexpected in Write")
	}
	return c.Conn.Write(p)
}

func (c *panicConn) Close() error {
	c.closed.Add(1)
	return c.Conn.Close()
}

// panicCase is a place at which the first attempts of a host panic.
type panicCase struct {
	name          string
	reads, writes int64
	dial          bool
	path          string
	bodyBytes     int
	responseBytes int
}

var panicCases = []panicCase{
	{name: "dial", dial: true, reads: -1, writes: -1, path: "/order"},
	{name: "request head", reads: -1, writes: 0, path: "/order"},
	{name: "streamed request body", reads: -1, writes: 1, path: "/upload", bodyBytes: 300 << 10},
	{name: "response head", reads: 0, writes: -1, path: "/order"},
	{name: "response body", reads: 4, writes: -1, path: "/order", responseBytes: 8 << 10},
	{name: "streamed response", reads: 2000, writes: -1, path: "/order", responseBytes: 256 << 10},
}

// TestPanicReleasesSlot guards against a panic between the start of an attempt and its end
// that keeps the slot, the request and the connection for ever: after as many panics as
// slots, a host never sends to the target again.
func TestPanicReleasesSlot(t *testing.T) {
	const slots = 2
	for _, tt := range panicCases {
		t.Run(tt.name, func(t *testing.T) {
			sound := newRawTarget(t, func(_ int, c net.Conn, r *http.Request) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(tt.responseBytes)+"\r\n\r\n"+strings.Repeat("x", tt.responseBytes))
				return err == nil
			})
			var panicking atomic.Bool
			var opened, closed atomic.Int64
			panicking.Store(true)
			h := newTestHostWith(t, func(o *hostOptions) {
				o.target.Dial = func(ctx context.Context, address string) (net.Conn, error) {
					if panicking.Load() && tt.dial {
						panic("unexpected in Dial")
					}
					c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
					if err != nil || !panicking.Load() {
						return c, err
					}
					opened.Add(1)
					p := &panicConn{Conn: c, closed: &closed}
					p.readsLeft.Store(tt.reads)
					p.writesLeft.Store(tt.writes)
					return p, nil
				}
			}, slots, sound.address)
			for range 3 * slots {
				r := h.send(t.Context(), http.MethodPost, tt.path, strings.Repeat("b", tt.bodyBytes+1), dialect.Native().Deadline, "2000")
				switch {
				case tt.name == "streamed response":
					if r.err == nil {
						t.Errorf("status %d: a response that was broken off looks complete", r.status)
					}
				case (r.status != http.StatusBadGateway && r.status != http.StatusGatewayTimeout) || r.outcome != OutcomeUnknown:
					t.Errorf("status %d, outcome %q, %v; want 502 or 504 and unknown", r.status, r.outcome, r.err)
				}
				h.awaitIdle(t)
			}
			if stats := h.cfg.Transport.PoolStats(); stats.Open != 0 || opened.Load() != closed.Load() {
				t.Errorf("%d connections are counted as open, %d were opened and %d closed", stats.Open, opened.Load(), closed.Load())
			}
			panicking.Store(false)
			h.expect(t, http.StatusOK, OutcomeAnswered, http.MethodPost, "/order", "body")
		})
	}
}
