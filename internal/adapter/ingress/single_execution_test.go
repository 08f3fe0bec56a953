package ingress

import (
	"fmt"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// TestReusedConnectionClosed checks that a POST is sent only once if the target
// reads it from a reused connection and closes the connection. http.Transport of
// net/http retries exactly such a request: no body and an Idempotency-Key.
func TestReusedConnectionClosed(t *testing.T) {
	closing := func(n int, c net.Conn, _ *http.Request) bool {
		if n > 0 {
			return false
		}
		_, _ = io.WriteString(c, okResponse)
		return true
	}
	a, b := newRawTarget(t, closing), newRawTarget(t, closing)
	h := newTestHost(t, 4, a.address, b.address)
	unknown := 0
	for i := range 8 {
		key := fmt.Sprint(i)
		r := h.send(t.Context(), "POST", "/order", "", "Idempotency-Key", key, "X-Key", key)
		if r.outcome == OutcomeUnknown {
			unknown++
		} else if r.outcome != OutcomeAnswered {
			t.Errorf("outcome %q of a request that a target has read: %+v", r.outcome, r)
		}
		if n := a.count(key) + b.count(key); n != 1 {
			t.Errorf("request %d reached targets %d times", i, n)
		}
	}
	if unknown == 0 {
		t.Error("no request was sent on a connection that the target closed")
	}
	h.awaitIdle(t)
}

// TestOtherTarget checks that a non-idempotent request is sent to another target
// only with proof that the first target did not run it, and that it is not given up
// if there is proof.
func TestOtherTarget(t *testing.T) {
	refusing := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	for name, tt := range map[string]struct {
		response string
		runs     int
		outcome  string
	}{
		"not run":             {refusing, 3, OutcomeNotRun},
		"closed":              {"", 1, OutcomeUnknown},
		"error without proof": {"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", 1, OutcomeAnswered},
		"truncated refusal":   {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\nx", 1, OutcomeUnknown},
		"refusal without end": {"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\nx", 1, OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			respond := func(_ int, conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, tt.response)
				return false
			}
			a, b := newRawTarget(t, respond), newRawTarget(t, respond)
			h := newTestHost(t, 4, a.address, b.address)
			r := h.send(t.Context(), "POST", "/order", "x", "X-Key", "k")
			if n := a.count("k") + b.count("k"); n < 1 || n > tt.runs || r.outcome != tt.outcome {
				t.Fatalf("sent %d times, want at most %d; outcome %q, want %q", n, tt.runs, r.outcome, tt.outcome)
			}
			h.awaitIdle(t)
		})
	}
}

// TestDialFailureElsewhere checks that a request is sent to another target if the
// connection to the first one fails.
func TestDialFailureElsewhere(t *testing.T) {
	good := newRawTarget(t, respondAlways(okResponse))
	h := newTestHost(t, 4, closedAddress(t), good.address)
	for i := range 4 {
		h.expect(t, 200, OutcomeAnswered, "POST", "/order", "x", "X-Key", fmt.Sprint(i))
		if good.count(fmt.Sprint(i)) != 1 {
			t.Fatal("not sent once")
		}
	}
	none := newTestHost(t, 4, closedAddress(t))
	if r := none.expect(t, 503, OutcomeNotRun, "POST", "/order", "x"); r.header.Get("Retry-After") == "" {
		t.Fatal("no Retry-After")
	}
}

// TestRetryThatEndsEarly checks that the outcome is unknown, not "not run", if the
// first attempt may have run and the retry is rejected or waits until the
// deadline.
func TestRetryThatEndsEarly(t *testing.T) {
	closing := newRawTarget(t, func(int, net.Conn, *http.Request) bool { return false })
	h := newTestHost(t, 1, closing.address)
	for range 5 {
		h.expect(t, 502, OutcomeUnknown, "GET", "/lookup", "", dialect.Native().Deadline, "1000")
	}
	q := &request{server: h.Server, mayHaveRun: true}
	if p := q.refusalProblem(dispatch.Refuse{Reason: dispatch.QueueFull}); p.Outcome != OutcomeUnknown || p.Status == http.StatusServiceUnavailable || p.RetryAfter != 0 {
		t.Fatalf("refused after an attempt: %+v", p)
	}
}

// TestNewTargetOfLaterRevision checks that no failure is recorded for a target that
// the dispatcher knows from a newer revision than that of the request. The request
// has no address for such a target; an attempt would fail and count against the
// healthy target.
func TestNewTargetOfLaterRevision(t *testing.T) {
	good := newRawTarget(t, respondAlways(okResponse))
	h := newTestHost(t, 4, good.address)
	q := &request{server: h.Server, backend: newActive(h.engine, nil).Backends["s"]}
	if e, ok := q.endpoint("t0"); !ok || e.Address != good.address {
		t.Fatalf("%+v %v", e, ok)
	}
	h.Activate(newActive(h.engine, nil))
	if r := h.expect(t, 503, OutcomeNotRun, "POST", "/order", "x"); !strings.Contains(r.body, "not_run_canceled") {
		t.Fatalf("a failure was recorded for the target: %s", r.body)
	}
	h.awaitIdle(t)
}
