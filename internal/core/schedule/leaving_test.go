package schedule

import (
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// leavingGrace is the grace of the configurations in these tests.
const leavingGrace = time.Second

// leavingConfig returns a service whose targets are processes that started at the second 1.
func leavingConfig(places ...ident.Location) dispatch.Config {
	cfg := config(places...)
	cfg.LeavingGrace = leavingGrace
	for i := range cfg.Targets {
		cfg.Targets[i].StartUnixMilli = 1000
	}
	return cfg
}

// stateLeaving reports that the head of the response to a running request has the value in
// its leaving header.
func (f *fixture) stateLeaving(r ident.RequestID, value string) []dispatch.Action {
	for _, a := range f.running {
		if a.Request == r {
			actions := f.ReportLeaving(f.now, a.Attempt, attempt.ParseLeaving([]string{value}))
			f.apply(actions)
			return actions
		}
	}
	f.t.Fatalf("request %d has no running attempt", r)
	return nil
}

// leave lets a target state that it is leaving.
func (f *fixture) leave(id ident.TargetID) {
	f.apply(f.Observe(f.now, "other", Observations{Leaving: []LeavingReport{{Process: f.targets[id].process.process}}}))
}

func countRecords(actions []dispatch.Action, kind event.Kind) int {
	n := 0
	for _, a := range actions {
		if r, ok := a.(dispatch.Record); ok && r.Kind == kind {
			n++
		}
	}
	return n
}

// TestLeavingTargetGetsNothing guards against requests to a target that has stated that it
// is leaving, by whatever way they take: the first attempt, a retry, the queue or the floor.
// The statement must hold from the head of the response on.
func TestLeavingTargetGetsNothing(t *testing.T) {
	f := newFixture(t, leavingConfig(hostZone, hostZone))
	first := f.arrive("lookup")
	leaving := f.runningTarget(first)
	if n := countRecords(f.stateLeaving(first, "1"), event.TargetLeaving); n != 1 {
		t.Errorf("%d events for the first statement", n)
	}
	if n := countRecords(f.stateLeaving(first, "1"), event.TargetLeaving); n != 0 {
		t.Errorf("%d events for a repeated statement", n)
	}
	for range 4 {
		f.arrive("lookup")
	}
	// Failures activate the floor, for which an unused target would be tested.
	f.apply(f.Observe(f.now, "other", Observations{Ended: 40, Unserved: 10}))
	f.finish(first, shed)
	for range 40 {
		f.advance(100 * time.Millisecond)
		if len(f.running) > 0 {
			f.finish(f.running[0].Request, answered)
		}
		f.apply(f.Observe(f.now, "other", Observations{Ended: 10, Unserved: 2}))
		f.arrive("lookup")
		f.arrive("order")
		for _, a := range f.running {
			if a.Target == leaving {
				t.Fatalf("request %d was sent to the leaving target", a.Request)
			}
		}
	}
}

// TestLeavingHoldsForProcess guards against a new process under the same ID that is taken
// for leaving because of its predecessor, also if the predecessor's answer arrives late, and
// against a statement that is forgotten when a registration lapses and returns.
func TestLeavingHoldsForProcess(t *testing.T) {
	cfg := leavingConfig(hostZone)
	f := newFixture(t, cfg)
	late := f.arrive("order")
	restarted := leavingConfig(hostZone)
	restarted.Targets[0].StartUnixMilli = 2000
	f.apply(f.Configure(f.now, restarted))
	f.stateLeaving(late, "1")
	if f.runningTarget(f.arrive("order")) != "t0" {
		t.Error("the new process is taken for leaving because of a late answer of its predecessor")
	}
	f.finish(late, answered)
	for _, c := range []dispatch.Config{leavingConfig(), cfg} {
		f.apply(f.Configure(f.now, c))
	}
	f.advance(leavingGrace)
	if got := f.runningTarget(f.arrive("order")); got != "" {
		t.Error("the process that stated to be leaving gets requests after its registration has lapsed and returned")
	}
	f.apply(f.Configure(f.now, restarted))
	if f.runningTarget(f.arrive("order")) != "t0" {
		t.Error("the new process is taken for leaving")
	}
}

// TestLeavingTargetIsWell guards against a leaving target that counts as failing, or for the
// floor and the capacity.
func TestLeavingTargetIsWell(t *testing.T) {
	f := newFixture(t, leavingConfig(hostZone, hostZone))
	r := f.arrive("order")
	at := f.targets[f.runningTarget(r)]
	before := at.belief.FailingProbability(f.now)
	f.stateLeaving(r, "1")
	f.finish(r, serverError)
	if got := at.belief.FailingProbability(f.now); got > before || at.avoided {
		t.Errorf("the probability that the target is failing rose from %v to %v", before, got)
	}
	for _, o := range f.TakeObservations(f.now).Targets {
		if o.Failures > 0 {
			t.Error("the failure is reported to the other hosts")
		}
	}
	for _, target := range f.order {
		if counts := target.countsForFloor(f.now, 0); counts != (target != at) {
			t.Errorf("%s counts for the floor: %v", target.ID, counts)
		}
	}
	if got := f.capacity(f.now, 0); got != 2 {
		t.Errorf("a capacity of %d slots, want those of the other target: 2", got)
	}
	status := f.Status()
	if n := f.ServiceStatus(f.now).Leaving; n != 1 {
		t.Errorf("%d targets are reported as leaving", n)
	}
	for _, s := range status {
		if leaving := s.Target == at.ID; s.Leaving != leaving || (s.State == health.Draining) != leaving {
			t.Errorf("status of %s: %+v", s.Target, s)
		}
	}
}

// TestAllTargetsLeaving guards against requests that wait until their deadline while all
// targets are leaving. For a part of the time that leaving targets keep serving, they are
// used as a last resort; after it they get nothing.
func TestAllTargetsLeaving(t *testing.T) {
	f := newFixture(t, leavingConfig(hostZone, hostZone))
	f.leave("t0")
	if at := f.runningTarget(f.arrive("order")); at != "t1" {
		t.Fatalf("the request is at %q while another target is not leaving", at)
	}
	f.advance(leavingGrace / 2)
	f.leave("t1")
	if f.runningTarget(f.arrive("order")) == "" {
		t.Fatal("no leaving target is used although there is no other")
	}
	for _, target := range f.order {
		if target.countsForFloor(f.now, 0) {
			t.Errorf("%s is leaving and counts for the floor", target.ID)
		}
	}
	f.advance(leavingGrace)
	for len(f.running) > 0 {
		f.finish(f.running[0].Request, answered)
	}
	for range 2 {
		r := f.arrive("order")
		if end, ok := f.ends[r].(dispatch.Refuse); !ok || end.Reason != dispatch.NoTarget || end.RetryAfter != noTargetRetryAfter {
			t.Fatalf("the request ended with %+v", f.ends[r])
		}
	}
}

// TestLastResortEndsWithOtherTarget guards against leaving targets that stay in use as the
// last resort when another target has become available.
func TestLastResortEndsWithOtherTarget(t *testing.T) {
	cfg := leavingConfig(hostZone, hostZone)
	f := newFixture(t, leavingConfig(hostZone))
	f.leave("t0")
	if f.runningTarget(f.arrive("order")) != "t0" {
		t.Fatal("the only target is not used as the last resort")
	}
	f.apply(f.Configure(f.now, cfg))
	if at := f.runningTarget(f.arrive("order")); at != "t1" {
		t.Errorf("the request is at %q, want the new target", at)
	}
}

// TestQueuedRequestsWhileAllLeave guards against queued requests and retries that are sent
// to leaving targets, or that wait until their deadline.
func TestQueuedRequestsWhileAllLeave(t *testing.T) {
	cfg := leavingConfig(hostZone)
	cfg.LeavingGrace = 0
	f := newFixture(t, cfg)
	running := []ident.RequestID{f.arrive("lookup"), f.arrive("lookup")}
	queued := f.arrive("lookup")
	f.stateLeaving(running[0], "1")
	if end, ok := f.ends[queued].(dispatch.Refuse); !ok || end.Reason != dispatch.NoTarget {
		t.Errorf("the queued request: %+v", f.ends[queued])
	}
	f.finish(running[0], shed)
	if end, ok := f.ends[running[0]].(dispatch.Fail); !ok || !end.NotRun {
		t.Errorf("the request that the target refused: %+v", f.ends[running[0]])
	}
	f.finish(running[1], answered)
	if _, ok := f.ends[running[1]].(dispatch.Complete); !ok {
		t.Errorf("the request that the target served: %+v", f.ends[running[1]])
	}
}

// TestLeavingReports guards against a statement that the other hosts are not told of, or
// with a wrong age, and against one that is reported for ever.
func TestLeavingReports(t *testing.T) {
	f := newFixture(t, leavingConfig(hostZone, hostZone))
	r := f.arrive("order")
	f.stateLeaving(r, "1")
	if !f.Urgent() {
		t.Error("the statement is not urgent")
	}
	at := f.targets[f.runningTarget(r)]
	for _, age := range []time.Duration{0, 150 * time.Millisecond, leavingReportTime} {
		reports := f.TakeObservations(f.now.Add(age)).Leaving
		want := LeavingReport{Process: Process{Target: at.ID, StartUnixMilli: 1000}, Age: age}
		if len(reports) != 1 || reports[0] != want {
			t.Fatalf("after %v: %+v, want %+v", age, reports, want)
		}
	}
	if reports := f.TakeObservations(f.now.Add(leavingReportTime + 1)).Leaving; len(reports) > 0 {
		t.Errorf("%d reports after %v", len(reports), leavingReportTime)
	}
	other := newFixture(t, leavingConfig(hostZone, hostZone))
	other.now = f.now
	report := LeavingReport{Process: at.process.process, Age: 300 * time.Millisecond}
	if n := countRecords(other.Observe(other.now, "h", Observations{Leaving: []LeavingReport{report}}), event.TargetLeaving); n != 1 {
		t.Errorf("%d events for a report of another host", n)
	}
	if since := other.targets[at.ID].process.leaving.since; !since.Equal(f.now.Add(-report.Age)) {
		t.Errorf("leaving since %v, want %v", since, f.now.Add(-report.Age))
	}
	if reports := other.TakeObservations(other.now).Leaving; len(reports) > 0 {
		t.Error("a report of another host is passed on")
	}
}

// TestMalformedLeavingStatement guards against a target that gets no requests because of a
// value without a meaning, and against an event for each response with one.
func TestMalformedLeavingStatement(t *testing.T) {
	f := newFixture(t, leavingConfig(hostZone))
	events := 0
	for range 5 {
		r := f.arrive("order")
		if f.runningTarget(r) == "" {
			t.Fatal("the target gets no requests")
		}
		events += countRecords(f.stateLeaving(r, "yes"), event.LeavingStatementMalformed)
		f.finish(r, answered)
	}
	if events != 1 {
		t.Errorf("%d events", events)
	}
}

// TestLeavingTargetNeedsNoPermits guards against permits that a host asks for and cannot use,
// because the target has begun to leave: other hosts could use them for their last requests.
func TestLeavingTargetNeedsNoPermits(t *testing.T) {
	f := newFixture(t, leavingConfig(hostZone, hostZone))
	f.stateRate("t0", "10")
	f.stateRate("t1", "10")
	f.arrive("order")
	if f.wanted("t0") == 0 || f.wanted("t1") == 0 {
		t.Fatal("no permits are asked for")
	}
	f.arrive("order")
	f.leave("t0")
	f.advance(time.Second)
	if f.wanted("t0") != 0 {
		t.Error("permits for a leaving target are asked for")
	}
}
