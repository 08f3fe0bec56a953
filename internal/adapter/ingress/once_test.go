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

// TestReusedConnectionClosed guards against a POST that runs twice because a
// target read it on a reused connection and closed that. A Transport of
// net/http repeats exactly this request: no body and an Idempotency-Key.
func TestReusedConnectionClosed(t *testing.T) {
	closing := func(n int, c net.Conn, _ *http.Request) bool {
		if n > 0 {
			return false
		}
		_, _ = io.WriteString(c, okResponse)
		return true
	}
	a, b := serveRaw(t, closing), serveRaw(t, closing)
	h := newHost(t, 4, a.address, b.address)
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
		t.Error("no request met a connection that closed")
	}
	h.idle(t)
}

// TestOtherTarget guards against a non-idempotent request that is sent to
// another target without proof that the first one did not run it, and against
// one that is given up although there is proof.
func TestOtherTarget(t *testing.T) {
	refusing := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		response string
		runs     int
		outcome  string
	}{
		"not run":             {refusing, 3, OutcomeNotRun},
		"closed":              {"", 1, OutcomeUnknown},
		"shed without proof":  {"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", 1, OutcomeAnswered},
		"truncated refusal":   {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\nx", 1, OutcomeUnknown},
		"refusal without end": {"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\nx", 1, OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			respond := func(_ int, conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, c.response)
				return false
			}
			a, b := serveRaw(t, respond), serveRaw(t, respond)
			h := newHost(t, 4, a.address, b.address)
			r := h.send(t.Context(), "POST", "/order", "x", "X-Key", "k")
			if n := a.count("k") + b.count("k"); n < 1 || n > c.runs || r.outcome != c.outcome {
				t.Fatalf("sent %d times, want at most %d; outcome %q, want %q", n, c.runs, r.outcome, c.outcome)
			}
			h.idle(t)
		})
	}
}

// TestDialFailureElsewhere guards against a request that is refused although
// only its connection failed and another target is there.
func TestDialFailureElsewhere(t *testing.T) {
	good := serveRaw(t, always(okResponse))
	h := newHost(t, 4, closedAddress(t), good.address)
	for i := range 4 {
		h.expect(t, 200, OutcomeAnswered, "POST", "/order", "x", "X-Key", fmt.Sprint(i))
		if good.count(fmt.Sprint(i)) != 1 {
			t.Fatal("not sent once")
		}
	}
	none := newHost(t, 4, closedAddress(t))
	if r := none.expect(t, 503, OutcomeNotRun, "POST", "/order", "x"); r.header.Get("Retry-After") == "" {
		t.Fatal("no Retry-After")
	}
}

// TestRetryThatEndsEarly guards against "not run" for a request whose first
// attempt may have run, when the retry waits until the deadline or is refused.
func TestRetryThatEndsEarly(t *testing.T) {
	closing := serveRaw(t, func(int, net.Conn, *http.Request) bool { return false })
	h := newHost(t, 1, closing.address)
	for range 5 {
		h.expect(t, 502, OutcomeUnknown, "GET", "/lookup", "", dialect.Native().Deadline, "1000")
	}
	q := &request{server: h.Server, mayHaveRun: true}
	if p := q.refused(dispatch.Refuse{Reason: dispatch.QueueFull}); p.Outcome != OutcomeUnknown || p.Status == http.StatusServiceUnavailable || p.RetryAfter != 0 {
		t.Fatalf("refused after an attempt: %+v", p)
	}
}

// TestNewTargetOfLaterRevision guards against an attempt at an empty address,
// counted against a healthy target, when the dispatcher already has a target
// that the request's revision does not have.
func TestNewTargetOfLaterRevision(t *testing.T) {
	good := serveRaw(t, always(okResponse))
	h := newHost(t, 4, good.address)
	q := &request{server: h.Server, backend: newActive(h.engine, nil).Backends["s"]}
	if e, ok := q.endpoint("t0"); !ok || e.Address != good.address {
		t.Fatalf("%+v %v", e, ok)
	}
	h.Activate(newActive(h.engine, nil))
	if r := h.expect(t, 503, OutcomeNotRun, "POST", "/order", "x"); !strings.Contains(r.body, "not_run_canceled") {
		t.Fatalf("the target got evidence of a failure: %s", r.body)
	}
	h.idle(t)
}
