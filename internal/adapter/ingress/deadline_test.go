package ingress

import (
	"context"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
)

// TestDeadlineValues guards against a deadline that is misread: too long a one
// holds a slot, an ignored one lets the request run after its caller gave up.
func TestDeadlineValues(t *testing.T) {
	rt := serveRaw(t, func(_ int, c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nLeft: "+r.Header.Get(dialect.Native().Deadline)+"\r\n\r\n")
		return true
	})
	h := newHost(t, 4, rt.address)
	for _, bad := range []string{"soon", "0", "-5", "1.5", "1e3", "3600001", "99999999999999999999", "0x10"} {
		h.expect(t, 400, OutcomeNotRun, "POST", "/order", "x", dialect.Native().Deadline, bad, "X-Key", "bad")
	}
	if rt.count("bad") != 0 {
		t.Fatal("sent with a bad deadline")
	}
	for value, most := range map[string]int{"5000": 5000, "3600000": 3_600_000, "": int(hangLimit.Milliseconds())} {
		r := h.expect(t, 200, OutcomeAnswered, "POST", "/order", "x", dialect.Native().Deadline, value)
		if left, err := strconv.Atoi(r.header.Get("Left")); err != nil || left <= 0 || left >= most {
			t.Fatalf("%q: %q ms were passed on, want less than %d", value, r.header.Get("Left"), most)
		}
	}
}

// silent returns a handler that never responds, and channels that tell when a
// request was read and when its connection was closed by the other side.
func silent() (handle func(int, net.Conn, *http.Request) bool, started, closed chan struct{}) {
	started, closed = make(chan struct{}, 100), make(chan struct{}, 100)
	return func(_ int, c net.Conn, _ *http.Request) bool {
		started <- struct{}{}
		_, _ = io.Copy(io.Discard, c)
		closed <- struct{}{}
		return false
	}, started, closed
}

// TestSilentTarget guards against an attempt that goes on, or a slot that stays
// occupied, after the deadline of its request.
func TestSilentTarget(t *testing.T) {
	handle, _, closed := silent()
	h := newHost(t, 1, serveRaw(t, handle).address)
	h.expect(t, 504, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Deadline, "500")
	<-closed
	h.idle(t)
}

// TestAttemptTimeout guards against a request that spends its whole deadline on
// a target that is silent.
func TestAttemptTimeout(t *testing.T) {
	handle, _, closed := silent()
	good := serveRaw(t, always(okResponse))
	h := newHost(t, 1, serveRaw(t, handle).address, good.address)
	for i := 0; len(closed) == 0; i++ {
		if i == 100 {
			t.Fatal("the silent target was never tried")
		}
		h.expect(t, 200, OutcomeAnswered, "GET", "/quick", "")
	}
	h.idle(t)
}

// TestCallerLeaves guards against an attempt that goes on at the target, and
// keeps its slot, after its caller has left.
func TestCallerLeaves(t *testing.T) {
	handle, started, closed := silent()
	h := newHost(t, 1, serveRaw(t, handle).address)
	for _, path := range []string{"/lookup", "/order", "/upload"} {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-started
			cancel()
		}()
		if r := h.send(ctx, "POST", path, "x"); r.err == nil {
			t.Fatalf("%+v", r)
		}
		<-closed
		h.idle(t)
	}
}

// TestWaitEndsAtDeadline guards against a request that waits for a slot, or for
// the rest of its body, without end.
func TestWaitEndsAtDeadline(t *testing.T) {
	handle, started, _ := silent()
	h := newHost(t, 1, serveRaw(t, handle).address)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go h.send(ctx, "POST", "/order", "x")
	<-started
	if r := h.send(t.Context(), "POST", "/order", "x", dialect.Native().Deadline, "50"); r.outcome != OutcomeNotRun {
		t.Fatalf("%+v", r)
	}
	_, br := h.dial(t, "POST /order HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n"+dialect.Native().Deadline+": 50\r\n\r\nx")
	expectRaw(t, br, 408, OutcomeNotRun)
	if _, err := io.ReadAll(br); err != nil {
		t.Fatal("the connection is not closed:", err)
	}
}
