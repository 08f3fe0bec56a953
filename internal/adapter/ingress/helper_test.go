package ingress

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/route"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
	"github.com/sapphirehaven/sapphirehaven/internal/engine"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// hangLimit only ends a test that hangs.
const hangLimit = 20 * time.Second

// nothing implements the ports that a test does not use.
type nothing struct{}

func (nothing) Probe(context.Context, ident.ServiceName, ident.TargetID) (bool, time.Duration) {
	return false, 0
}
func (nothing) Probes(ident.ServiceName) bool     { return true }
func (nothing) Record(event.Kind, ...event.Field) {}
func (nothing) Answer(ident.ServiceName, int, ident.Location) []port.Host {
	return []port.Host{{ID: "h", CallerAddress: "h:1", Location: ident.Location{Region: "r", Zone: "z"}}}
}
func (nothing) Location(ident.Zone) (ident.Location, bool) { return ident.Location{}, false }

// tableTickets is a ticket table with a replaceable relay.
type tableTickets struct {
	mu    sync.Mutex
	table *ticket.Table
	relay func(context.Context, port.RelayedRequest) (port.RelayedResponse, error)
}

func newTickets(host ident.HostID, incarnation ident.Incarnation) *tableTickets {
	key := ticket.Key{byte(incarnation), host[0]}
	return &tableTickets{table: ticket.New(ticket.DefaultConfig(), ticket.Issuer{Host: host, Incarnation: incarnation}, key, time.Now())}
}

func (t *tableTickets) Issue(n int) ([]ticket.Ticket, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Issue(time.Now(), n)
}

func (t *tableTickets) Admit(tk ticket.Ticket, fp ticket.Fingerprint) ticket.Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Admit(time.Now(), tk, fp)
}

func (t *tableTickets) End(id ticket.ID, run uint32, end ticket.Completion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Complete(time.Now(), id, run, end)
}

func (t *tableTickets) Relay(ctx context.Context, _ ticket.Ticket, _ ticket.Admission, r port.RelayedRequest) (port.RelayedResponse, error) {
	if t.relay == nil {
		return port.RelayedResponse{}, errors.New("unreachable")
	}
	return t.relay(ctx, r)
}

func (t *tableTickets) draw(tb testing.TB) string {
	tb.Helper()
	list, err := t.Issue(1)
	if err != nil {
		tb.Fatal(err)
	}
	return list[0].String()
}

// host is a Server behind a real listener, with one service of three classes:
// /lookup is idempotent, /order is not, /upload streams.
type host struct {
	*Server
	engine  *engine.Service
	tickets *tableTickets
	url     string
	client  *http.Client
}

func classes() []document.Class {
	return []document.Class{
		{Name: "lookup", Idempotent: true, Deadline: document.Duration(hangLimit), MaxRequestBytes: 1 << 20, MaxBufferedAnswerBytes: 64 << 10},
		{Name: "order", Deadline: document.Duration(hangLimit), MaxRequestBytes: 1 << 20, MaxBufferedAnswerBytes: 64 << 10, NotRunStatuses: []int{503}},
		{Name: "quick", Idempotent: true, Deadline: document.Duration(hangLimit), AttemptTimeout: document.Duration(300 * time.Millisecond), MaxRequestBytes: 1 << 20, MaxBufferedAnswerBytes: 64 << 10},
		{Name: "scan", Idempotent: true, Deadline: document.Duration(hangLimit), MaxRequestBytes: 1 << 30, MaxBufferedAnswerBytes: 64 << 10, Upload: &document.Upload{MinBytesPerSecond: 1 << 10}},
		{Name: "upload", Deadline: document.Duration(hangLimit), MaxRequestBytes: 1 << 30, MaxBufferedAnswerBytes: 64 << 10, Upload: &document.Upload{MinBytesPerSecond: 1}},
	}
}

// options are what tests change of a host.
type options struct {
	Config
	target   target.Config
	dispatch dispatch.Config
}

// newHost starts a host whose targets have the given addresses and slots.
func newHost(t testing.TB, slots int, addresses ...string) *host {
	t.Helper()
	return newHostWith(t, func(*options) {}, slots, addresses...)
}

func newHostWith(t testing.TB, change func(*options), slots int, addresses ...string) *host {
	t.Helper()
	h := &host{tickets: newTickets("h", 1)}
	o := options{target: target.DefaultConfig(), dispatch: dispatchConfig(slots, len(addresses)), Config: Config{
		Host: "h", Incarnation: 1, Location: ident.Location{Region: "r", Zone: "z"}, CallerAddress: "h:1",
		Members: nothing{}, Tickets: h.tickets, Recorder: nothing{},
	}}
	change(&o)
	transport := target.New(o.target)
	o.Transport = transport
	h.Server = New(o.Config)
	h.engine = engine.NewService(o.dispatch, dispatch.Self{Host: "h", Location: h.cfg.Location}, 1, nothing{}, nothing{})
	h.Activate(newActive(h.engine, addresses))
	srv := httptest.NewUnstartedServer(h.Server)
	srv.Config.MaxHeaderBytes = 16 << 10
	srv.Start()
	h.url, h.client = srv.URL, srv.Client()
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
		h.engine.Close()
		transport.Close()
	})
	return h
}

func dispatchConfig(slots, targets int) dispatch.Config {
	cfg := dispatch.Config{Service: "s", RetryBudget: 1}
	for i := range targets {
		cfg.Targets = append(cfg.Targets, dispatch.Target{ID: targetID(i), Location: ident.Location{Region: "r", Zone: "z"}, Slots: slots, MaxConnections: 100})
	}
	for _, c := range classes() {
		cfg.Classes = append(cfg.Classes, dispatch.Class{Name: c.Name, Idempotent: c.Idempotent, Upload: c.Upload != nil, Floor: 1, Deadline: time.Duration(c.Deadline), AttemptTimeout: time.Duration(c.AttemptTimeout)})
	}
	return cfg
}

func targetID(i int) ident.TargetID { return ident.TargetID(fmt.Sprint("t", i)) }

func newActive(e *engine.Service, addresses []string) *ActiveConfig {
	b := &Backend{Service: &document.Service{Name: "s"}, Engine: e, Targets: map[ident.TargetID]Endpoint{}, Classes: map[ident.ClassName]*document.Class{}}
	b.Service.Health.FailureStatuses, b.Service.Health.ShedStatuses = []int{500}, []int{503}
	for i, a := range addresses {
		b.Targets[targetID(i)] = Endpoint{Address: a, Region: "r"}
	}
	var routes []document.Route
	for _, c := range classes() {
		b.Classes[c.Name] = &c
		routes = append(routes, document.Route{Name: string(c.Name), PathPrefix: "/" + string(c.Name), Service: "s", Class: c.Name})
	}
	return &ActiveConfig{Revision: 1, Routes: route.New(routes), Backends: map[ident.ServiceName]*Backend{"s": b}}
}

// reply is a response read to its end.
type reply struct {
	status  int
	header  http.Header
	body    string
	outcome string
	// err is set when the connection broke before the end of the response.
	err error
}

// send sends a request; header holds pairs of names and values.
func (h *host) send(ctx context.Context, method, path, body string, header ...string) reply {
	req, err := http.NewRequestWithContext(ctx, method, h.url+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := h.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(data), outcome: res.Header.Get(dialect.Native().Outcome), err: err}
}

// expect sends a request and checks status and outcome of the response.
func (h *host) expect(t testing.TB, status int, outcome, method, path, body string, header ...string) reply {
	t.Helper()
	r := h.send(context.Background(), method, path, body, header...)
	if r.err != nil || r.status != status || r.outcome != outcome {
		t.Fatalf("%s %s: status %d outcome %q body %q error %v, want %d %q", method, path, r.status, r.outcome, r.body, r.err, status, outcome)
	}
	return r
}

// dial opens a connection to the host and sends text on it.
func (h *host) dial(t testing.TB, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(hangLimit))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// expectRaw reads a response from a connection and checks it.
func expectRaw(t testing.TB, br *bufio.Reader, status int, outcome string) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(br, nil)
	if err != nil || res.StatusCode != status || res.Header.Get(dialect.Native().Outcome) != outcome {
		t.Fatalf("%+v, %v; want %d %q", res, err, status, outcome)
	}
	return res
}

// idle waits until no attempt occupies a slot.
func (h *host) idle(t testing.TB) {
	t.Helper()
	await(t, "an attempt still holds its slot", func() bool {
		s, _ := h.engine.Status()
		return s.InFlight == 0 && s.Waiting == 0 && h.InFlight() == 0
	})
}

func await(t testing.TB, failure string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(hangLimit); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// rawTarget counts the requests it has read, by their X-Key header.
type rawTarget struct {
	address string
	mu      sync.Mutex
	seen    map[string]int
}

// serveRaw starts a target that reads requests and lets handle respond. n is
// the number of the request on its connection, from 0. The connection is
// closed when handle returns false.
func serveRaw(t testing.TB, handle func(n int, c net.Conn, r *http.Request) bool) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	rt := &rawTarget{address: l.Addr().String(), seen: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go rt.serve(c, handle)
		}
	}()
	return rt
}

func (rt *rawTarget) serve(c net.Conn, handle func(int, net.Conn, *http.Request) bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		rt.mu.Lock()
		rt.seen[r.Header.Get("X-Key")]++
		rt.mu.Unlock()
		if !handle(n, c, r) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

func (rt *rawTarget) count(key string) int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.seen[key]
}

// always responds to every request with the same bytes.
func always(response string) func(int, net.Conn, *http.Request) bool {
	return func(_ int, c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, response)
		return err == nil
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// closedAddress is one at which nothing listens.
func closedAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
