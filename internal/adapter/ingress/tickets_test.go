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

// blocking returns a handler that responds when release is closed, and a
// channel that gets a value for each request read.
func blocking() (handle func(int, net.Conn, *http.Request) bool, started chan struct{}, release chan struct{}) {
	started, release = make(chan struct{}, 100), make(chan struct{})
	return func(_ int, c net.Conn, _ *http.Request) bool {
		started <- struct{}{}
		<-release
		_, _ = io.WriteString(c, okResponse)
		return true
	}, started, release
}

// TestRepeats guards against a second run under a ticket, a stored response
// that differs from the first one, and a ticket that serves two requests.
func TestRepeats(t *testing.T) {
	rt := serveRaw(t, always("HTTP/1.1 201 Created\r\nContent-Length: 2\r\nX-Number: 7\r\n\r\nok"))
	h := newHost(t, 4, rt.address)
	tk := h.tickets.draw(t)
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

// TestRepeatWhileRunning guards against a second run, and a claim about the
// outcome, while the first request runs.
func TestRepeatWhileRunning(t *testing.T) {
	handle, started, release := blocking()
	rt := serveRaw(t, handle)
	h := newHost(t, 4, rt.address)
	tk := h.tickets.draw(t)
	first := make(chan reply, 1)
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

// TestCallerLeftWithTicket guards against an outcome that is lost, and a second
// run, when the caller leaves before the response and repeats.
func TestCallerLeftWithTicket(t *testing.T) {
	handle, started, release := blocking()
	rt := serveRaw(t, handle)
	h := newHost(t, 1, rt.address)
	tk := h.tickets.draw(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-started
		cancel()
	}()
	if r := h.send(ctx, "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k"); r.err == nil {
		t.Fatalf("%+v", r)
	}
	close(release)
	h.idle(t)
	h.expect(t, 200, OutcomeAnswered, "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k")
	if n := rt.count("k"); n != 1 {
		t.Fatalf("the target ran it %d times", n)
	}
}

// TestUnansweredTicket guards against a second run when the first one got no
// response.
func TestUnansweredTicket(t *testing.T) {
	rt := serveRaw(t, func(int, net.Conn, *http.Request) bool { return false })
	h := newHost(t, 4, rt.address)
	tk := h.tickets.draw(t)
	for range 3 {
		h.expect(t, 502, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k")
	}
	if n := rt.count("k"); n != 1 {
		t.Fatalf("the target ran it %d times", n)
	}
}

// TestNotRunMayRunLater guards against a ticket that is used up by a request
// that did not run.
func TestNotRunMayRunLater(t *testing.T) {
	var refuse atomic.Bool
	refuse.Store(true)
	rt := serveRaw(t, func(_ int, c net.Conn, _ *http.Request) bool {
		if refuse.Load() {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		} else {
			_, _ = io.WriteString(c, okResponse)
		}
		return true
	})
	h := newHost(t, 4, rt.address)
	tk := h.tickets.draw(t)
	h.expect(t, 503, OutcomeNotRun, "POST", "/order", "x", dialect.Native().Ticket, tk)
	refuse.Store(false)
	await(t, "no run after the refusal", func() bool {
		return h.send(t.Context(), "POST", "/order", "x", dialect.Native().Ticket, tk).outcome == OutcomeAnswered
	})
}

// TestRefusedBeforeDecision guards against "not run" for the repeat of a request
// that may have run, when it is refused before its ticket was looked at.
func TestRefusedBeforeDecision(t *testing.T) {
	rt := serveRaw(t, always(okResponse))
	h := newHost(t, 4, rt.address)
	tk := h.tickets.draw(t)
	h.expect(t, 200, OutcomeAnswered, "POST", "/order", "x", dialect.Native().Ticket, tk)
	h.expect(t, 413, OutcomeUnknown, "POST", "/order", strings.Repeat("x", 1<<20+1), dialect.Native().Ticket, tk)
	h.expect(t, 400, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Ticket, tk, dialect.Native().Deadline, "soon")
	h.expect(t, 404, OutcomeUnknown, "POST", "/elsewhere", "x", dialect.Native().Ticket, tk)
	h.Activate(nil)
	if r := h.expect(t, 502, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Ticket, tk); r.header.Get("Retry-After") != "" {
		t.Fatal("Retry-After for a request that may have run")
	}
}

// TestBadTickets guards against a run under a ticket that nobody issued, an
// empty one included.
func TestBadTickets(t *testing.T) {
	rt := serveRaw(t, always(okResponse))
	h := newHost(t, 4, rt.address)
	forged := newTickets("h", 1)
	forged.table = ticket.New(ticket.DefaultConfig(), ticket.Issuer{Host: "h", Incarnation: 1}, ticket.Key{9}, time.Now())
	for _, tk := range []string{"", "x", strings.Repeat("A", 500), h.tickets.draw(t) + "A", forged.draw(t)} {
		r := h.expect(t, 400, OutcomeNotRun, "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k")
		if !strings.Contains(r.body, "bad_ticket") || rt.count("k") != 0 {
			t.Fatalf("%q: %s", tk, r.body)
		}
	}
	old := newTickets("h", 0)
	h.expect(t, 410, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Ticket, old.draw(t), "X-Key", "k")
	if rt.count("k") != 0 {
		t.Fatal("a ticket of an earlier incarnation was admitted")
	}
}

// relayTo makes other pass requests on to h.
func (h *host) relayTo(t testing.TB) *host {
	other := newHost(t, 4, closedAddress(t))
	other.tickets.table = ticket.New(ticket.DefaultConfig(), ticket.Issuer{Host: "other", Incarnation: 1}, ticket.Key{8}, time.Now())
	other.tickets.relay = func(ctx context.Context, r port.RelayedRequest) (port.RelayedResponse, error) {
		return h.ServeRelayed(ctx, r), nil
	}
	return other
}

// TestRelay guards against a second run, or a different outcome, when a repeat
// reaches another host, and against a run when the issuer can't be reached.
func TestRelay(t *testing.T) {
	rt := serveRaw(t, always(okResponse))
	h := newHost(t, 4, rt.address)
	other := h.relayTo(t)
	for _, path := range []string{"/order?a=1", "/order//b/c?d", "/order/e%2Ff"} {
		tk := h.tickets.draw(t)
		for _, at := range []*host{other, h, other} {
			at.expect(t, 200, OutcomeAnswered, "POST", path, "x", dialect.Native().Ticket, tk, "X-Key", path)
		}
		if n := rt.count(path); n != 1 {
			t.Fatalf("%s ran %d times", path, n)
		}
	}
	tk := h.tickets.draw(t)
	other.expect(t, 404, OutcomeUnknown, "POST", "//order/x", "x", dialect.Native().Ticket, tk)
	other.expect(t, 421, OutcomeUnknown, "POST", "/upload", "x", dialect.Native().Ticket, tk)
	other.tickets.relay = nil
	other.expect(t, 502, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k")
	if rt.count("k") != 0 {
		t.Fatal("ran without its issuer")
	}
}

// TestRelayOnce guards against a request that is passed on in circles.
func TestRelayOnce(t *testing.T) {
	h := newHost(t, 4, closedAddress(t))
	h.tickets.relay = func(context.Context, port.RelayedRequest) (port.RelayedResponse, error) {
		t.Error("relayed again")
		return port.RelayedResponse{Status: 500}, nil
	}
	foreign := newTickets("third", 1).draw(t)
	r := h.ServeRelayed(t.Context(), port.RelayedRequest{Ticket: foreign, Method: "POST", URI: "/order", Header: http.Header{}, TimeLeft: hangLimit})
	if r.Status != 502 || r.Header.Get(dialect.Native().Outcome) != OutcomeUnknown {
		t.Fatalf("%+v", r)
	}
}

// TestRelayedResponseBreaksOff guards against a host that ends because a panic
// that aborts a response meets no http.Server, and against a truncated response.
func TestRelayedResponseBreaksOff(t *testing.T) {
	rt := serveRaw(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 99_999))
		return false
	})
	h := newHost(t, 4, rt.address)
	tk := h.tickets.draw(t)
	for range 2 {
		h.relayTo(t).expect(t, 502, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Ticket, tk, "X-Key", "k")
	}
	if rt.count("k") != 1 {
		t.Fatal("ran again")
	}
	h.idle(t)
}

// TestUploadFingerprint guards against a ticket that returns the response to one
// upload for another one.
func TestUploadFingerprint(t *testing.T) {
	rt := serveRaw(t, always(okResponse))
	h := newHost(t, 4, rt.address)
	tk := h.tickets.draw(t)
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

// TestHandedOver guards against a second run, and a lost outcome, when repeats
// reach the successor of the issuer.
func TestHandedOver(t *testing.T) {
	rt := serveRaw(t, always(okResponse))
	h, next := newHost(t, 4, rt.address), newHost(t, 4, rt.address)
	used, unused := h.tickets.draw(t), h.tickets.draw(t)
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
		for _, at := range []*host{next, h} {
			at.expect(t, 200, OutcomeAnswered, "POST", "/order", "x", dialect.Native().Ticket, used, "X-Key", "used")
			at.expect(t, 200, OutcomeAnswered, "POST", "/order", "x", dialect.Native().Ticket, unused, "X-Key", "unused")
		}
	}
	if rt.count("used") != 1 || rt.count("unused") != 1 {
		t.Fatalf("runs: %d, %d", rt.count("used"), rt.count("unused"))
	}
}

// TestVerdictsAgree guards against a response that claims another outcome than
// the ticket's table.
func TestVerdictsAgree(t *testing.T) {
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

// FuzzHeaders guards against a header of the protocol that ends the host, is
// taken for a deadline outside its bounds, or runs a request under a ticket
// that nobody issued.
func FuzzHeaders(f *testing.F) {
	h := New(Config{Host: "h", Incarnation: 1, Members: nothing{}, Tickets: newTickets("h", 1), Recorder: nothing{}})
	class := classes()[1]
	f.Add("1", "x")
	f.Add("-1", "")
	f.Add("9223372036854775808", strings.Repeat("A", 70))
	f.Add("3600001", newTickets("h", 1).draw(f))
	f.Fuzz(func(t *testing.T, deadline, tk string) {
		r := &http.Request{Header: http.Header{dialect.Native().Deadline: {deadline}, dialect.Native().Ticket: {tk}}}
		q := &request{server: h, r: r, class: &class}
		now := time.Now()
		if p := q.readDeadline(now); p == nil && (q.deadline.Before(now) || q.deadline.After(now.Add(maxDeadline))) {
			t.Fatalf("%q: deadline %v from now", deadline, q.deadline.Sub(now))
		}
		parsed, err := ticket.Parse(tk)
		if err == nil && parsed.Issuer.Host == ident.HostID("h") && parsed.String() != tk {
			t.Fatalf("%q is another form of %q", tk, parsed)
		}
	})
}

// TestRelayedTarget guards against a relayed request whose path changes on the
// way, and with it its route and its fingerprint.
func TestRelayedTarget(t *testing.T) {
	for _, uri := range []string{"//order/x", "/order?a=//b", "/order/e%2Ff", "/order#x"} {
		r, err := relayedRequest(t.Context(), port.RelayedRequest{Method: "POST", URI: uri})
		want, _ := url.ParseRequestURI(uri)
		if err != nil || r.URL.RequestURI() != want.RequestURI() || r.URL.Host != "" {
			t.Errorf("%q became %+v, %v", uri, r, err)
		}
	}
}
