//go:build linux

package systemtest

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
)

// TestKilledHost guards against lost lookups, duplicate executions and
// incorrect outcomes when a host is killed.
func TestKilledHost(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 4)
	l := &load{}
	f.startLookups(t, l, 3, 200, nil)
	f.startNotices(t, l, 3, 200, nil)
	waitFor(t, "load before the kill", func() bool { return l.requestCount() > 150 })
	killed := f.hosts[0]
	killed.signal(syscall.SIGKILL)
	l.workerGroup.Wait()
	answered, notRun, unknown := f.checkExecutions(l.notices)
	t.Logf("%d requests, %d lookup retries, notices: %d answered, %d not run, %d unknown", l.requestCount(), l.retried, answered, notRun, unknown)
	if answered == 0 || notRun == 0 {
		t.Error("the load had no answered or no refused notice, so the outcomes are not covered")
	}
	for _, h := range f.hosts[1:] {
		waitFor(t, "the killed host is considered failed", func() bool { return h.memberState(killed.id) == "failed" })
	}
	for i := range l.notices {
		n := &l.notices[i]
		r, err := send(httpClient, http.MethodPost, f.hosts[1].caller+"/notices/1", n.header(nil))
		switch {
		case err != nil:
			t.Errorf("retry of %s failed: %v", n.key, err)
		case !n.hasResponse || n.lastResponse.outcome != ingress.OutcomeAnswered:
			// A notice that was not executed before may be executed by the retry.
			n.lastResponse, n.hasResponse = r, true
		case r.outcome == ingress.OutcomeNotRun || r.outcome == ingress.OutcomeAnswered && r.body != n.lastResponse.body:
			t.Errorf("%s was answered with %q, but the retry got outcome %q: %s", n.key, n.lastResponse.body, r.outcome, r.body)
		}
	}
	f.checkExecutions(l.notices)
}

// TestPausedHost guards against tickets issued and revisions in force before a
// process was paused taking effect after it resumes.
func TestPausedHost(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 3)
	paused, other := f.hosts[0], f.hosts[1]
	before := paused.status()
	var issued ingress.TicketResponse
	res, err := httpClient.Post(paused.caller+"/.sapphirehaven/v1/tickets?count=8", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	decode(t, res, &issued)
	paused.signal(syscall.SIGSTOP)
	for _, h := range f.hosts[1:] {
		waitFor(t, "the paused host is considered failed", func() bool { return h.memberState(paused.id) == "failed" })
	}
	if result, code := other.apply(t, 1, f.document("second")); code != 0 {
		t.Fatalf("apply: %+v", result)
	}
	f.waitRevision(2, f.hosts[1:]...)
	paused.signal(syscall.SIGCONT)
	var notices []notice
	for i, ticket := range issued.Tickets {
		n := notice{key: ticket, ticket: ticket, hasResponse: true}
		if n.lastResponse, err = send(httpClient, http.MethodPost, f.hosts[i%3].caller+"/notices/1", n.header(nil)); err != nil {
			t.Error(err)
		}
		if n.lastResponse.outcome == ingress.OutcomeAnswered {
			t.Errorf("%s accepted a ticket issued before the pause", f.hosts[i%3].id)
		}
		notices = append(notices, n)
	}
	highest := uint64(0)
	waitFor(t, "the resumed host has a new incarnation and the new revision", func() bool {
		s := paused.status()
		if s.Revision < highest {
			t.Errorf("revision %d was in force after %d", s.Revision, highest)
		}
		highest = max(highest, s.Revision)
		return s.Incarnation > before.Incarnation && s.Revision == 2
	})
	f.waitMembers(f.hosts...)
	f.waitRevision(2, f.hosts...)
	if paused.countEvents("host_resumed", "") != 1 {
		t.Error("want exactly one host_resumed event in the timeline")
	}
	if _, notRun, unknown := f.checkExecutions(notices); notRun+unknown != len(notices) {
		t.Errorf("%d notices not run and %d unknown, want %d in total", notRun, unknown, len(notices))
	}
	for _, n := range notices {
		if f.executions()[n.key] != 0 {
			t.Errorf("a request with a ticket issued before the pause was executed")
		}
	}
}
