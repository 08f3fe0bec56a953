//go:build linux

package systemtest

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/standin"
)

// sendAnsweredNotice sends a notice with a ticket issued by the host and requires
// that it is answered.
func (f *fleet) sendAnsweredNotice(h *host, key string) notice {
	f.t.Helper()
	var issued ingress.TicketResponse
	res, err := httpClient.Post(h.caller+"/.sapphirehaven/v1/tickets?count=1", "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	decode(f.t, res, &issued)
	n := notice{key: key, ticket: issued.Tickets[0], hasResponse: true}
	if n.lastResponse, err = send(httpClient, http.MethodPost, h.caller+"/notices/1", n.header(nil)); err != nil || n.lastResponse.outcome != ingress.OutcomeAnswered {
		f.t.Fatalf("%+v, %v", n.lastResponse, err)
	}
	return n
}

// TestRollingReplacement guards against losing the configuration, ticket
// outcomes or lookups when every host is replaced while the log service is
// unavailable.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 3)
	hash := f.waitRevision(1, f.hosts...)
	var notices []notice
	for _, h := range f.hosts {
		notices = append(notices, f.sendAnsweredNotice(h, "notice of "+h.id))
	}
	f.setLogFaults(standin.LogFaults{Outage: true})
	stop := make(chan struct{})
	l := &load{}
	f.startLookups(t, l, 3, 20000, stop)
	for i, old := range append([]*host(nil), f.hosts...) {
		replacement := f.addHost(fmt.Sprintf("replacement-%d", i+1), string(rune('a'+i%2)))
		if got := f.waitRevision(1, replacement); got != hash {
			t.Errorf("%s has hash %s, want %s", replacement.id, got, hash)
		}
		f.hosts = f.hosts[1:]
		f.waitMembers(f.hosts...)
		old.signal(syscall.SIGTERM)
		waitFor(t, "the old host exits", old.hasExited)
	}
	close(stop)
	l.workerGroup.Wait()
	t.Logf("%d lookups, %d retries", l.requestCount(), l.retried)
	for _, h := range f.hosts {
		for _, n := range notices {
			r, err := send(httpClient, http.MethodPost, h.caller+"/notices/1", n.header(nil))
			if err != nil || r.outcome != ingress.OutcomeAnswered || r.body != n.lastResponse.body {
				t.Errorf("retry of %q at %s: %d %s %q, %v; want the stored response %q", n.key, h.id, r.status, r.outcome, r.body, err, n.lastResponse.body)
			}
		}
	}
	f.checkExecutions(notices)
}

// TestGracefulStop guards against requests that are interrupted, refused or
// fail to connect during a graceful shutdown, and connections that stay open to
// the leaving host.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 3)
	leaving := f.hosts[0]
	stop := make(chan struct{})
	l := &load{}
	// The callers use persistent connections without retries. They send lookups
	// and requests that must not be retried.
	callers := make([]*caller, 6)
	for i := range callers {
		callers[i] = f.newCaller([]string{"index", "press"}[i%2])
	}
	l.start(len(callers), 20000, stop, func(worker, i int) {
		addresses, err := callers[worker].addresses()
		if err != nil {
			t.Errorf("get addresses: %v", err)
			return
		}
		method, path := http.MethodGet, "/errata/1"
		if worker%2 == 1 {
			method, path = http.MethodPost, "/notices/1"
		}
		r, err := send(callers[worker].client, method, addresses[0]+path, http.Header{"X-Run-Key": {fmt.Sprintf("%d-%d", worker, i)}})
		if err != nil || r.outcome != ingress.OutcomeAnswered {
			t.Errorf("%s %s: %d %s %s, %v", method, addresses[0], r.status, r.outcome, r.body, err)
		}
	})
	waitFor(t, "load before the shutdown", func() bool { return l.requestCount() > 100 })
	leaving.signal(syscall.SIGTERM)
	waitFor(t, "the host is draining", func() bool { return leaving.hasExited() || leaving.status().Draining })
	if r, err := send(httpClient, http.MethodGet, leaving.caller+"/errata/1", nil); err != nil || r.status != http.StatusOK || !r.closesConnection {
		t.Errorf("new connection to the draining host: %+v, %v, want 200 and Connection: close", r, err)
	}
	waitFor(t, "the host exits", leaving.hasExited)
	close(stop)
	l.workerGroup.Wait()
	if code := leaving.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code is %d, want 0", code)
	}
	for _, h := range f.hosts[1:] {
		waitFor(t, "the host has left", func() bool { return h.memberState(leaving.id) == "left" })
		if n := h.countEvents("member_failed", ""); n != 0 {
			t.Errorf("%s considered hosts failed %d times", h.id, n)
		}
	}
}
