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

// TestDeadlineValues checks that malformed and out-of-range deadlines are rejected
// and that valid ones are passed on. A request with too long a deadline occupies
// a slot, one without a deadline may run after its caller has given up.
func TestDeadlineValues(t *testing.T) {
	rt := newRawTarget(t, func(_ int, c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nLeft: "+r.Header.Get(dialect.Native().Deadline)+"\r\n\r\n")
		return true
	})
	h := newTestHost(t, 4, rt.address)
	for _, bad := range []string{"soon", "0", "-5", "1.5", "1e3", "3600001", "99999999999999999999", "0x10"} {
		h.expect(t, 400, OutcomeNotRun, "POST", "/order", "x", dialect.Native().Deadline, bad, "X-Key", "bad")
	}
	if rt.count("bad") != 0 {
		t.Fatal("sent with a bad deadline")
	}
	for value, limit := range map[string]int{"5000": 5000, "3600000": 3_600_000, "": int(testTimeout.Milliseconds())} {
		r := h.expect(t, 200, OutcomeAnswered, "POST", "/order", "x", dialect.Native().Deadline, value)
		if left, err := strconv.Atoi(r.header.Get("Left")); err != nil || left <= 0 || left >= limit {
			t.Fatalf("%q: %q ms were passed on, want less than %d", value, r.header.Get("Left"), limit)
		}
	}
}

// silentHandler returns a handler that never responds. started receives a value
// for each request read, closed for each connection closed by the host.
func silentHandler() (handle func(int, net.Conn, *http.Request) bool, started, closed chan struct{}) {
	started, closed = make(chan struct{}, 100), make(chan struct{}, 100)
	return func(_ int, c net.Conn, _ *http.Request) bool {
		started <- struct{}{}
		_, _ = io.Copy(io.Discard, c)
		closed <- struct{}{}
		return false
	}, started, closed
}

// TestSilentTarget checks that an attempt ends and its slot is released at the
// deadline of the request.
func TestSilentTarget(t *testing.T) {
	handle, _, closed := silentHandler()
	h := newTestHost(t, 1, newRawTarget(t, handle).address)
	h.expect(t, 504, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Deadline, "500")
	<-closed
	h.awaitIdle(t)
}

// TestAttemptTimeout checks that a request does not wait for an unresponsive
// target until its deadline, but is retried at another target.
func TestAttemptTimeout(t *testing.T) {
	handle, _, closed := silentHandler()
	good := newRawTarget(t, respondAlways(okResponse))
	h := newTestHost(t, 1, newRawTarget(t, handle).address, good.address)
	for i := 0; len(closed) == 0; i++ {
		if i == 100 {
			t.Fatal("the silent target was never tried")
		}
		h.expect(t, 200, OutcomeAnswered, "GET", "/quick", "")
	}
	h.awaitIdle(t)
}

// TestCallerLeaves checks that an attempt is canceled and its slot is released
// when the caller disconnects.
func TestCallerLeaves(t *testing.T) {
	handle, started, closed := silentHandler()
	h := newTestHost(t, 1, newRawTarget(t, handle).address)
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
		h.awaitIdle(t)
	}
}

// TestWaitEndsAtDeadline checks that waiting for a slot and waiting for the rest
// of the request body end at the deadline.
func TestWaitEndsAtDeadline(t *testing.T) {
	handle, started, _ := silentHandler()
	h := newTestHost(t, 1, newRawTarget(t, handle).address)
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
