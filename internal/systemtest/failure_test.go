//go:build linux

package systemtest

import (
	"net/http"
	"syscall"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
)

// Guards against lost lookups, repeated executions and untrue outcomes when a
// host dies.
func TestKilledHost(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 4)
	l := &load{}
	f.lookupLoad(t, l, 3, 200, nil)
	f.noticeLoad(t, l, 3, 200, nil)
	waitFor(t, "load before the kill", func() bool { return l.requests() > 150 })
	victim := f.hosts[0]
	victim.signal(syscall.SIGKILL)
	l.done.Wait()
	answered, notRun, unknown := f.checkRuns(l.notices)
	t.Logf("%d requests, %d lookups sent again, notices: %d answered, %d not run, %d unknown", l.requests(), l.retried, answered, notRun, unknown)
	if answered == 0 || notRun == 0 {
		t.Error("the load has no answered or no refused notice, so it proves little")
	}
	for _, h := range f.hosts[1:] {
		waitFor(t, "the killed host is held as failed", func() bool { return h.stateOf(victim.id) == "failed" })
	}
	for i := range l.notices {
		n := &l.notices[i]
		r, err := send(httpClient, http.MethodPost, f.hosts[1].caller+"/notices/1", n.header(nil))
		switch {
		case err != nil:
			t.Errorf("the repeat of %s failed: %v", n.key, err)
		case !n.certain || n.told.outcome != ingress.OutcomeAnswered:
			// A notice that did not run may run now.
			n.told, n.certain = r, true
		case r.outcome == ingress.OutcomeNotRun || r.outcome == ingress.OutcomeAnswered && r.body != n.told.body:
			t.Errorf("%s was answered %q and its repeat %q: %s", n.key, n.told.body, r.outcome, r.body)
		}
	}
	f.checkRuns(l.notices)
}

// Guards against tickets and revisions from before a pause having effect after
// it.
func TestPausedHost(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 3)
	paused, other := f.hosts[0], f.hosts[1]
	before := paused.status()
	var drawn ingress.TicketResponse
	res, err := httpClient.Post(paused.caller+"/.sapphirehaven/v1/tickets?count=8", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	decode(t, res, &drawn)
	paused.signal(syscall.SIGSTOP)
	for _, h := range f.hosts[1:] {
		waitFor(t, "the paused host is held as failed", func() bool { return h.stateOf(paused.id) == "failed" })
	}
	if result, code := other.apply(t, 1, f.document("second")); code != 0 {
		t.Fatalf("apply: %+v", result)
	}
	f.waitRevision(2, f.hosts[1:]...)
	paused.signal(syscall.SIGCONT)
	var told []notice
	for i, ticket := range drawn.Tickets {
		n := notice{key: ticket, ticket: ticket, certain: true}
		if n.told, err = send(httpClient, http.MethodPost, f.hosts[i%3].caller+"/notices/1", n.header(nil)); err != nil {
			t.Error(err)
		}
		if n.told.outcome == ingress.OutcomeAnswered {
			t.Errorf("a ticket from before the pause was admitted by %s", f.hosts[i%3].id)
		}
		told = append(told, n)
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
	if paused.events("host_resumed", "") != 1 {
		t.Error("the timeline does not have one host_resumed event")
	}
	if _, notRun, unknown := f.checkRuns(told); notRun+unknown != len(told) {
		t.Errorf("%d not run and %d unknown of %d", notRun, unknown, len(told))
	}
	for _, n := range told {
		if f.runs()[n.key] != 0 {
			t.Errorf("a ticket from before the pause ran")
		}
	}
}
