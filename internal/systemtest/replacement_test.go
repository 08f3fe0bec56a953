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

// answeredAt sends a notice with a ticket of the given host.
func (f *fleet) answeredAt(h *host, key string) notice {
	f.t.Helper()
	var drawn ingress.TicketResponse
	res, err := httpClient.Post(h.caller+"/.sapphirehaven/v1/tickets?count=1", "", nil)
	if err != nil {
		f.t.Fatal(err)
	}
	decode(f.t, res, &drawn)
	n := notice{key: key, ticket: drawn.Tickets[0], certain: true}
	if n.told, err = send(httpClient, http.MethodPost, h.caller+"/notices/1", n.header(nil)); err != nil || n.told.outcome != ingress.OutcomeAnswered {
		f.t.Fatalf("%+v, %v", n.told, err)
	}
	return n
}

// Guards against the configuration, outcomes of tickets or lookups being lost
// when every host is replaced while the log service is out.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 3)
	hash := f.waitRevision(1, f.hosts...)
	var notices []notice
	for _, h := range f.hosts {
		notices = append(notices, f.answeredAt(h, "notice of "+h.id))
	}
	f.logFaults(standin.LogFaults{Outage: true})
	stop := make(chan struct{})
	l := &load{}
	f.lookupLoad(t, l, 3, 20000, stop)
	for i, old := range append([]*host(nil), f.hosts...) {
		fresh := f.addHost(fmt.Sprintf("replacement-%d", i+1), string(rune('a'+i%2)))
		if got := f.waitRevision(1, fresh); got != hash {
			t.Errorf("%s has hash %s, want %s", fresh.id, got, hash)
		}
		f.hosts = f.hosts[1:]
		f.waitMembers(f.hosts...)
		old.signal(syscall.SIGTERM)
		waitFor(t, "the old host ends", old.hasEnded)
	}
	close(stop)
	l.done.Wait()
	t.Logf("%d lookups, %d sent again", l.requests(), l.retried)
	for _, h := range f.hosts {
		for _, n := range notices {
			r, err := send(httpClient, http.MethodPost, h.caller+"/notices/1", n.header(nil))
			if err != nil || r.outcome != ingress.OutcomeAnswered || r.body != n.told.body {
				t.Errorf("the repeat of %q at %s: %d %s %q, %v; want the stored %q", n.key, h.id, r.status, r.outcome, r.body, err, n.told.body)
			}
		}
	}
	f.checkRuns(notices)
}

// Guards against requests that are cut, refused or not connected during a
// graceful stop, and connections that are kept open to the leaving host.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 3)
	leaving := f.hosts[0]
	stop := make(chan struct{})
	l := &load{}
	// Callers without retries, on kept connections, with lookups and with
	// requests that nothing may repeat.
	callers := make([]*caller, 6)
	for i := range callers {
		callers[i] = f.newCaller([]string{"index", "press"}[i%2])
	}
	l.run(len(callers), 20000, stop, func(worker, i int) {
		addresses, err := callers[worker].addresses()
		if err != nil {
			t.Errorf("no addresses: %v", err)
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
	waitFor(t, "load before the stop", func() bool { return l.requests() > 100 })
	leaving.signal(syscall.SIGTERM)
	waitFor(t, "the host drains", func() bool { return leaving.hasEnded() || leaving.status().Draining })
	if r, err := send(httpClient, http.MethodGet, leaving.caller+"/errata/1", nil); err != nil || r.status != http.StatusOK || !r.closesAfter {
		t.Errorf("a new connection to the draining host: %+v, %v, want 200 and Connection: close", r, err)
	}
	waitFor(t, "the host ends", leaving.hasEnded)
	close(stop)
	l.done.Wait()
	if code := leaving.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the exit code is %d", code)
	}
	for _, h := range f.hosts[1:] {
		waitFor(t, "the host has left", func() bool { return h.stateOf(leaving.id) == "left" })
		if n := h.events("member_failed", ""); n != 0 {
			t.Errorf("%s held hosts as failed %d times", h.id, n)
		}
	}
}
