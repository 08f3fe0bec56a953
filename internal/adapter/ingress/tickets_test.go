package ingress

import (
	"context"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// blockingHandler returns a handler that responds after release is closed, and a
// channel that receives a value for each request read.
func blockingHandler() (handle func(int, net.Conn, *http.Request) bool, started chan struct{}, release chan struct{}) {
	started, release = make(chan struct{}, 100), make(chan struct{})
	return func(_ int, c net.Conn, _ *http.Request) bool {
		started <- struct{}{}
		<-release
		_, _ = io.WriteString(c, okResponse)
		return true
	}, started, release
}

// TestRepeats checks that a request runs once per ticket, that retries receive the
// stored response, and that a ticket can't be used for a different request.
func TestRepeats(t *testing.T) {
	rt := newRawTarget(t, respondAlways("HTTP/1.1 201 Created\r\nContent-Length: 2\r\nX-Number: 7\r\n\r\nok"))
	h := newTestHost(t, 4, rt.address)
	tk := h.tickets.issueOne(t)
	for range 3 {
		r := h.expect(t, 201, OutcomeAnswered, "POST", "/order?a=1", "x", dialect.Native().Ticket, tk, "X-Key", "k")
		if r.body != "ok" || r.header.Get("X-Number") != "7" {
			t.Fatalf("%+v", r)
		}
	}
	h.expect(t, 422, OutcomeUnknown, "POST", "/order?a=2", "x", dialect.Native().Ticket, tk, "X-Key", "k")
	h.expect(t, 422, OutcomeUnknown, "POST", "/order?a=1", "y", dialect.Native().Ticket, tk, "X-Key", "k")
	if n := rt.count("k"); n != 1 {
		t.Fatalf("the target ran it %d times", n)
	}
}

// TestRepeatWhileRunning checks that a retry does not run while the first request
// is running, and that its outcome is unknown.
func TestRepeatWhileRunning(t *testing.T) {
	handle, started, release := blockingHandler()
	rt := newRawTarget(t, handle)
	h := newTestHost(t, 4, rt.address)
	tk := h.tickets.issueOne(t)
	first := make(chan testResponse, 1)
	go func() {
		first <- h.send(context.Background(), "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k")
	}()
	<-started
	h.expect(t, 409, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k")
	close(release)
	if r := <-first; r.outcome != OutcomeAnswered || rt.count("k") != 1 {
		t.Fatalf("%+v, %d runs", r, rt.count("k"))
	}
}

// TestCallerLeftWithTicket checks that the outcome is stored if the caller
// disconnects before the response, and that a retry does not run again.
func TestCallerLeftWithTicket(t *testing.T) {
	handle, started, release := blockingHandler()
	rt := newRawTarget(t, handle)
	h := newTestHost(t, 1, rt.address)
	tk := h.tickets.issueOne(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	if r := h.send(ctx, "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k"); r.err == nil {
		t.Fatalf("%+v", r)
	}
	close(release)
	h.awaitIdle(t)
	h.expect(t, 200, OutcomeAnswered, "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k")
	if n := rt.count("k"); n != 1 {
		t.Fatalf("the target ran it %d times", n)
	}
}

// TestUnansweredTicket checks that a retry does not run again if the target did not
// respond to the first request.
func TestUnansweredTicket(t *testing.T) {
	rt := newRawTarget(t, func(int, net.Conn, *http.Request) bool { return false })
	h := newTestHost(t, 4, rt.address)
	tk := h.tickets.issueOne(t)
	for range 3 {
		h.expect(t, 502, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k")
	}
	if n := rt.count("k"); n != 1 {
		t.Fatalf("the target ran it %d times", n)
	}
}

// TestNotRunMayRunLater checks that a ticket remains usable if its request did not
// run.
func TestNotRunMayRunLater(t *testing.T) {
	var refuse atomic.Bool
	refuse.Store(true)
	rt := newRawTarget(t, func(_ int, c net.Conn, _ *http.Request) bool {
		if refuse.Load() {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		} else {
			_, _ = io.WriteString(c, okResponse)
		}
		return true
	})
	h := newTestHost(t, 4, rt.address)
	tk := h.tickets.issueOne(t)
	h.expect(t, 503, OutcomeNotRun, "POST", "/order", "x", dialect.Native().Ticket, tk)
	refuse.Store(false)
	waitFor(t, "the request did not run after the rejection", func() bool {
		return h.send(t.Context(), "POST", "/order", "x", dialect.Native().Ticket, tk).outcome == OutcomeAnswered
	})
}

// TestRefusedBeforeDecision checks that the outcome is unknown for a retry that is
// rejected before its ticket is evaluated, because the first request may have run.
func TestRefusedBeforeDecision(t *testing.T) {
	rt := newRawTarget(t, respondAlways(okResponse))
	h := newTestHost(t, 4, rt.address)
	tk := h.tickets.issueOne(t)
	h.expect(t, 200, OutcomeAnswered, "POST", "/order", "x", dialect.Native().Ticket, tk)
	h.expect(t, 413, OutcomeUnknown, "POST", "/order", strings.Repeat("x", 1<<20+1), dialect.Native().Ticket, tk)
	h.expect(t, 400, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Ticket, tk, dialect.Native().Deadline, "soon")
	h.expect(t, 404, OutcomeUnknown, "POST", "/elsewhere", "x", dialect.Native().Ticket, tk)
	h.Activate(nil)
	if r := h.expect(t, 502, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Ticket, tk); r.header.Get("Retry-After") != "" {
		t.Fatal("Retry-After for a request that may have run")
	}
}

// TestBadTickets checks that requests with malformed, forged or empty tickets are
// rejected.
func TestBadTickets(t *testing.T) {
	rt := newRawTarget(t, respondAlways(okResponse))
	h := newTestHost(t, 4, rt.address)
	forged := newTickets("h", 1)
	forged.table = ticket.New(ticket.DefaultConfig(), ticket.Issuer{Host: "h", Incarnation: 1}, ticket.Key{9}, time.Now())
	for _, tk := range []string{"", "x", strings.Repeat("A", 500), h.tickets.issueOne(t) + "A", forged.issueOne(t)} {
		r := h.expect(t, 400, OutcomeNotRun, "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k")
		if !strings.Contains(r.body, "bad_ticket") || rt.count("k") != 0 {
			t.Fatalf("%q: %s", tk, r.body)
		}
	}
	old := newTickets("h", 0)
	h.expect(t, 410, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Ticket, old.issueOne(t), "X-Key", "k")
	if rt.count("k") != 0 {
		t.Fatal("a ticket of an earlier incarnation was admitted")
	}
}

// newRelayingHost starts a host that relays requests to h.
func (h *testHost) newRelayingHost(t testing.TB) *testHost {
	other := newTestHost(t, 4, closedAddress(t))
	other.tickets.table = ticket.New(ticket.DefaultConfig(), ticket.Issuer{Host: "other", Incarnation: 1}, ticket.Key{8}, time.Now())
	other.tickets.relay = func(ctx context.Context, r port.RelayedRequest) (port.RelayedResponse, error) {
		return h.ServeRelayed(ctx, r), nil
	}
	return other
}

// TestRelay checks that a retry sent to another host is relayed to the issuer of
// its ticket and returns the same outcome, and that a request does not run if the
// issuer is unreachable.
func TestRelay(t *testing.T) {
	rt := newRawTarget(t, respondAlways(okResponse))
	h := newTestHost(t, 4, rt.address)
	other := h.newRelayingHost(t)
	for _, path := range []string{"/order?a=1", "/order//b/c?d", "/order/e%2Ff"} {
		tk := h.tickets.issueOne(t)
		for _, at := range []*testHost{other, h, other} {
			at.expect(t, 200, OutcomeAnswered, "POST", path, "x", dialect.Native().Ticket, tk, "X-Key", path)
		}
		if n := rt.count(path); n != 1 {
			t.Fatalf("%s ran %d times", path, n)
		}
	}
	tk := h.tickets.issueOne(t)
	other.expect(t, 404, OutcomeUnknown, "POST", "//order/x", "x", dialect.Native().Ticket, tk)
	other.expect(t, 421, OutcomeUnknown, "POST", "/upload", "x", dialect.Native().Ticket, tk)
	other.tickets.relay = nil
	other.expect(t, 502, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k")
	if rt.count("k") != 0 {
		t.Fatal("the request ran although the issuer was unreachable")
	}
}

// TestRelayIsNotRepeated checks that a relayed request is not relayed again.
func TestRelayIsNotRepeated(t *testing.T) {
	h := newTestHost(t, 4, closedAddress(t))
	h.tickets.relay = func(context.Context, port.RelayedRequest) (port.RelayedResponse, error) {
		t.Error("relayed again")
		return port.RelayedResponse{Status: 500}, nil
	}
	foreign := newTickets("third", 1).issueOne(t)
	r := h.ServeRelayed(t.Context(), port.RelayedRequest{Ticket: foreign, Method: "POST", URI: "/order", Header: http.Header{}, TimeLeft: testTimeout})
	if r.Status != 502 || r.Header.Get(dialect.Native().Outcome) != OutcomeUnknown {
		t.Fatalf("%+v", r)
	}
}

// TestRelayedResponseBreaksOff checks that a truncated response to a relayed request
// is reported as an error. The panic that aborts the response would otherwise end
// the process, because relayed requests are served outside of http.Server.
func TestRelayedResponseBreaksOff(t *testing.T) {
	rt := newRawTarget(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 99_999))
		return false
	})
	h := newTestHost(t, 4, rt.address)
	tk := h.tickets.issueOne(t)
	for range 2 {
		h.newRelayingHost(t).expect(t, 502, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k")
	}
	if rt.count("k") != 1 {
		t.Fatal("ran again")
	}
	h.awaitIdle(t)
}

// TestUploadFingerprint checks that a ticket does not return the stored response of
// one upload for a different upload.
func TestUploadFingerprint(t *testing.T) {
	rt := newRawTarget(t, respondAlways(okResponse))
	h := newTestHost(t, 4, rt.address)
	tk := h.tickets.issueOne(t)
	send := func(status int, outcome, body, digest string) {
		t.Helper()
		h.expect(t, status, outcome, "POST", "/upload", body, dialect.Native().Ticket, tk, "Content-Digest", digest, "X-Key", "k")
	}
	send(200, OutcomeAnswered, "abc", "sha-256=:a:")
	send(200, OutcomeAnswered, "abc", "sha-256=:a:")
	send(422, OutcomeUnknown, "abcd", "sha-256=:a:")
	send(422, OutcomeUnknown, "abc", "sha-256=:b:")
	if rt.count("k") != 1 {
		t.Fatal("ran again")
	}
}

// TestHandedOver checks that requests run once and outcomes are preserved after the
// tickets of a host are handed over to its successor.
func TestHandedOver(t *testing.T) {
	rt := newRawTarget(t, respondAlways(okResponse))
	h, next := newTestHost(t, 4, rt.address), newTestHost(t, 4, rt.address)
	used, unused := h.tickets.issueOne(t), h.tickets.issueOne(t)
	h.expect(t, 200, OutcomeAnswered, "POST", "/order", "x", dialect.Native().Ticket, used, "X-Key", "used")
	self := ticket.Issuer{Host: "next", Incarnation: 2}
	next.tickets.table = ticket.New(ticket.DefaultConfig(), self, ticket.Key{7}, time.Now())
	if err := h.tickets.table.Close(time.Now(), self); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		chunk, err := h.tickets.table.Export(0)
		if err != nil {
			t.Fatal(err)
		}
		if ok, err := next.tickets.table.Import(time.Now(), chunk); !ok || err != nil {
			t.Fatal(ok, err)
		}
	}
	h.tickets.relay = func(ctx context.Context, r port.RelayedRequest) (port.RelayedResponse, error) {
		return next.ServeRelayed(ctx, r), nil
	}
	for range 2 {
		for _, at := range []*testHost{next, h} {
			at.expect(t, 200, OutcomeAnswered, "POST", "/order", "x", dialect.Native().Ticket, used, "X-Key", "used")
			at.expect(t, 200, OutcomeAnswered, "POST", "/order", "x", dialect.Native().Ticket, unused, "X-Key", "unused")
		}
	}
	if rt.count("used") != 1 || rt.count("unused") != 1 {
		t.Fatalf("runs: %d, %d", rt.count("used"), rt.count("unused"))
	}
}

// TestVerdictOutcomes checks that the problem for a ticket verdict has the same
// outcome as the verdict.
func TestVerdictOutcomes(t *testing.T) {
	for v := ticket.InProgress; v <= ticket.IssuerLost; v++ {
		if v == ticket.Stored || v == ticket.OtherHost {
			continue
		}
		want := map[outcome.Outcome]string{outcome.Answered: OutcomeAnswered, outcome.NotRun: OutcomeNotRun, outcome.Unknown: OutcomeUnknown}[v.Outcome()]
		if p := (&Server{cfg: Config{Dialect: dialect.Native()}}).verdictProblem(v); p.Outcome != want {
			t.Errorf("%v: %q, want %q", v, p.Outcome, want)
		}
	}
}

// FuzzHeaders checks that no value of the deadline and ticket headers causes a
// panic, a deadline out of range, or a ticket that is accepted in a form other than
// the one issued.
func FuzzHeaders(f *testing.F) {
	h := New(Config{Host: "h", Incarnation: 1, Members: stubPorts{}, Tickets: newTickets("h", 1), Recorder: stubPorts{}})
	class := classes()[1]
	f.Add("1", "x")
	f.Add("-1", "")
	f.Add("9223372036854775808", strings.Repeat("A", 70))
	f.Add("3600001", newTickets("h", 1).issueOne(f))
	f.Fuzz(func(t *testing.T, deadline, tk string) {
		r := &http.Request{Header: http.Header{dialect.Native().Deadline: {deadline}, dialect.Native().Ticket: {tk}}}
		q := &request{server: h, r: r, class: &class}
		now := time.Now()
		if p := q.readDeadline(now); p == nil && (q.deadline.Before(now) || q.deadline.After(now.Add(maxDeadline))) {
			t.Fatalf("%q: deadline %v from now", deadline, q.deadline.Sub(now))
		}
		parsed, err := ticket.Parse(tk)
		if err == nil && parsed.Issuer.Host == ident.HostID("h") && parsed.String() != tk {
			t.Fatalf("%q is accepted as %q", tk, parsed)
		}
	})
}

// TestRelayedTarget checks that relaying preserves the request target, which
// determines the route and the fingerprint.
func TestRelayedTarget(t *testing.T) {
	for _, uri := range []string{"//order/x", "/order?a=//b", "/order/e%2Ff", "/order#x"} {
		r, err := relayedRequest(t.Context(), port.RelayedRequest{Method: "POST", URI: uri})
		want, _ := url.ParseRequestURI(uri)
		if err != nil || r.URL.RequestURI() != want.RequestURI() || r.URL.Host != "" {
			t.Errorf("%q became %+v, %v", uri, r, err)
		}
	}
}
