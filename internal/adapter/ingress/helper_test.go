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

// testTimeout ends tests that hang.
const testTimeout = 20 * time.Second

// stubPorts implements the ports that a test does not use.
type stubPorts struct{}

func (stubPorts) Probe(context.Context, ident.ServiceName, ident.TargetID) (bool, time.Duration) {
	return false, 0
}
func (stubPorts) Probes(ident.ServiceName) bool     { return true }
func (stubPorts) Record(event.Kind, ...event.Field) {}
func (stubPorts) HostsFor(ident.ServiceName, int, ident.Location) []port.Host {
	return []port.Host{{ID: "h", CallerAddress: "h:1", Location: ident.Location{Region: "r", Zone: "z"}}}
}
func (stubPorts) Location(ident.Zone) (ident.Location, bool) { return ident.Location{}, false }

// fakeTickets implements Tickets with a ticket table and a replaceable relay.
type fakeTickets struct {
	mu    sync.Mutex
	table *ticket.Table
	relay func(context.Context, port.RelayedRequest) (port.RelayedResponse, error)
}

func newTickets(host ident.HostID, incarnation ident.Incarnation) *fakeTickets {
	key := ticket.Key{byte(incarnation), host[0]}
	return &fakeTickets{table: ticket.New(ticket.DefaultConfig(), ticket.Issuer{Host: host, Incarnation: incarnation}, key, time.Now())}
}

func (t *fakeTickets) Issue(n int) ([]ticket.Ticket, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Issue(time.Now(), n)
}

func (t *fakeTickets) Admit(tk ticket.Ticket, fp ticket.Fingerprint) ticket.Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Admit(time.Now(), tk, fp)
}

func (t *fakeTickets) End(id ticket.ID, run uint32, end ticket.Completion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Complete(time.Now(), id, run, end)
}

func (t *fakeTickets) Relay(ctx context.Context, _ ticket.Ticket, _ ticket.Admission, r port.RelayedRequest) (port.RelayedResponse, error) {
	if t.relay == nil {
		return port.RelayedResponse{}, errors.New("unreachable")
	}
	return t.relay(ctx, r)
}

func (t *fakeTickets) issueOne(tb testing.TB) string {
	tb.Helper()
	list, err := t.Issue(1)
	if err != nil {
		tb.Fatal(err)
	}
	return list[0].String()
}

// testHost is a Server with a TCP listener and one service with the classes of
// classes(): /lookup, /quick and /scan are idempotent, /order and /upload are not;
// /scan and /upload stream the request body.
type testHost struct {
	*Server
	engine  *engine.Service
	tickets *fakeTickets
	url     string
	client  *http.Client
}

func classes() []document.Class {
	return []document.Class{
		{Name: "lookup", Idempotent: true, Deadline: document.Duration(testTimeout), MaxRequestBytes: 1 << 20, MaxBufferedAnswerBytes: 64 << 10},
		{Name: "order", Deadline: document.Duration(testTimeout), MaxRequestBytes: 1 << 20, MaxBufferedAnswerBytes: 64 << 10, NotRunStatuses: []int{503}},
		{Name: "quick", Idempotent: true, Deadline: document.Duration(testTimeout), AttemptTimeout: document.Duration(300 * time.Millisecond), MaxRequestBytes: 1 << 20, MaxBufferedAnswerBytes: 64 << 10},
		{Name: "scan", Idempotent: true, Deadline: document.Duration(testTimeout), MaxRequestBytes: 1 << 30, MaxBufferedAnswerBytes: 64 << 10, Upload: &document.Upload{MinBytesPerSecond: 1 << 10}},
		{Name: "upload", Deadline: document.Duration(testTimeout), MaxRequestBytes: 1 << 30, MaxBufferedAnswerBytes: 64 << 10, Upload: &document.Upload{MinBytesPerSecond: 1}},
	}
}

// hostOptions are the settings of a testHost that tests may change.
type hostOptions struct {
	Config
	target   target.Config
	dispatch dispatch.Config
}

// newTestHost starts a host whose targets have the given addresses and slots.
func newTestHost(t testing.TB, slots int, addresses ...string) *testHost {
	t.Helper()
	return newTestHostWith(t, func(*hostOptions) {}, slots, addresses...)
}

// newTestHostWith is like newTestHost and applies change to the options.
func newTestHostWith(t testing.TB, change func(*hostOptions), slots int, addresses ...string) *testHost {
	t.Helper()
	h := &testHost{tickets: newTickets("h", 1)}
	o := hostOptions{target: target.DefaultConfig(), dispatch: dispatchConfig(slots, len(addresses)), Config: Config{
		Host: "h", Incarnation: 1, Location: ident.Location{Region: "r", Zone: "z"}, CallerAddress: "h:1",
		Members: stubPorts{}, Tickets: h.tickets, Recorder: stubPorts{},
	}}
	change(&o)
	transport := target.New(o.target)
	o.Transport = transport
	h.Server = New(o.Config)
	h.engine = engine.NewService(o.dispatch, dispatch.Self{Host: "h", Location: h.cfg.Location}, 1, stubPorts{}, stubPorts{})
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
	cfg := dispatch.Config{Service: "s", RetryRatio: 1}
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

// testResponse is a completely read response.
type testResponse struct {
	status  int
	header  http.Header
	body    string
	outcome string
	// err is set if the connection failed before the end of the response.
	err error
}

// send sends a request; header holds pairs of names and values.
func (h *testHost) send(ctx context.Context, method, path, body string, header ...string) testResponse {
	req, err := http.NewRequestWithContext(ctx, method, h.url+path, strings.NewReader(body))
	if err != nil {
		return testResponse{err: err}
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := h.client.Do(req)
	if err != nil {
		return testResponse{err: err}
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return testResponse{status: res.StatusCode, header: res.Header, body: string(data), outcome: res.Header.Get(dialect.Native().Outcome), err: err}
}

// expect sends a request and checks the status and outcome of the response.
func (h *testHost) expect(t testing.TB, status int, outcome, method, path, body string, header ...string) testResponse {
	t.Helper()
	r := h.send(context.Background(), method, path, body, header...)
	if r.err != nil || r.status != status || r.outcome != outcome {
		t.Fatalf("%s %s: status %d outcome %q body %q error %v, want %d %q", method, path, r.status, r.outcome, r.body, r.err, status, outcome)
	}
	return r
}

// dial opens a connection to the host and sends text.
func (h *testHost) dial(t testing.TB, text string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c, bufio.NewReader(c)
}

// expectRaw reads a response from a connection and checks its status and outcome.
func expectRaw(t testing.TB, br *bufio.Reader, status int, outcome string) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(br, nil)
	if err != nil || res.StatusCode != status || res.Header.Get(dialect.Native().Outcome) != outcome {
		t.Fatalf("%+v, %v; want %d %q", res, err, status, outcome)
	}
	return res
}

// awaitIdle waits until no request is waiting and no attempt occupies a slot.
func (h *testHost) awaitIdle(t testing.TB) {
	t.Helper()
	waitFor(t, "an attempt still occupies its slot", func() bool {
		s, _ := h.engine.Status()
		return s.InFlight == 0 && s.Waiting == 0 && h.InFlight() == 0
	})
}

// waitFor polls done until it returns true and fails the test after testTimeout.
func waitFor(t testing.TB, failure string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// rawTarget is a target that counts its requests by their X-Key header.
type rawTarget struct {
	address string
	mu      sync.Mutex
	counts  map[string]int
}

// newRawTarget starts a target that parses requests and calls handle to respond.
// n is the index of the request on its connection, starting at 0. The connection
// is closed if handle returns false.
func newRawTarget(t testing.TB, handle func(n int, c net.Conn, r *http.Request) bool) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	rt := &rawTarget{address: l.Addr().String(), counts: map[string]int{}}
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
		rt.counts[r.Header.Get("X-Key")]++
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
	return rt.counts[key]
}

// respondAlways returns a handler that responds to every request with the same
// bytes.
func respondAlways(response string) func(int, net.Conn, *http.Request) bool {
	return func(_ int, c net.Conn, _ *http.Request) bool {
		_, err := io.WriteString(c, response)
		return err == nil
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// closedAddress returns an address at which no process listens.
func closedAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
