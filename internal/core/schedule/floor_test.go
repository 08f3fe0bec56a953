package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

var unreachable = dispatch.Result{Kind: attempt.DialFailed, NotSent: true}

// TestUnreachableTargetIsHeld answers targets that crash while their entry lasts
// (awea-gateway scale-2): it guards against requests that wait for a connection to
// the same target again and again.
func TestUnreachableTargetIsHeld(t *testing.T) {
	cfg := config(here, near)
	f := newFixture(t, cfg)
	f.take(f.Observe(f.now, "other", Observations{Ended: 100, Unserved: 5, Targets: []Observation{{Target: "t1", Started: 1, Successes: 1}}}))
	// The other target has no free slot all the while.
	for range cfg.Targets[1].Slots {
		if at := f.started(f.arrive("order")); at != "t1" {
			t.Fatalf("an order went to %q", at)
		}
	}
	tries := 0
	for range 40 {
		f.arrive("order")
		for len(f.running) > cfg.Targets[1].Slots {
			tries++
			f.finish(f.running[len(f.running)-1].Request, unreachable)
		}
		f.wait(50 * time.Millisecond)
	}
	// Holds of 0.2, 0.4, 0.8 and 1.6 s leave room for four tries in 2 s.
	if tries > 4 {
		t.Errorf("%d connections to an unreachable target were tried in 2 s, want at most 4", tries)
	}
}

// TestUnsentAttemptNeedsNoAllowance guards against an order that fails although no
// target has received it and another one is free, when no repeat is allowed any more;
// and against endless attempts.
func TestUnsentAttemptNeedsNoAllowance(t *testing.T) {
	cfg := config(here, here, here, here, here, here)
	cfg.RetryBudget, cfg.RetryAllowance = 0, 0
	f := newFixture(t, cfg)
	r := f.arrive("order")
	f.finish(r, unreachable)
	if f.started(r) == "" {
		t.Fatalf("an order that was not sent ended with %+v", f.ends[r])
	}
	for f.started(r) != "" {
		f.finish(r, unreachable)
	}
	if end, ok := f.ends[r].(dispatch.Fail); !ok || !end.NotRun || len(f.attempts) > 0 {
		t.Errorf("an order that no target received ended with %+v", f.ends[r])
	}
}

// bindingAfter serves requests of which some fail and returns whether the floor binds.
func bindingAfter(f *fixture, failed, served int) bool {
	f.Observe(f.now, "other", Observations{Ended: failed + served, Unserved: failed})
	return f.floorBinds(f.now)
}

// TestFloorNeedsEnoughFailures guards against a floor that two failures among few
// requests make bind, after which orders are sent to targets that fail, and against
// one that does not see what other hosts lose.
func TestFloorNeedsEnoughFailures(t *testing.T) {
	for _, tt := range []struct {
		failed, served int
		want           bool
	}{{2, 10, false}, {3, 20, false}, {4, 20, true}, {10, 200, false}, {30, 200, true}, {90, 10, false}} {
		if got := bindingAfter(newFixture(t, config(here)), tt.failed, tt.served); got != tt.want {
			t.Errorf("%d of %d requests not served: the floor binds %v, want %v", tt.failed, tt.failed+tt.served, got, tt.want)
		}
	}
	f := newFixture(t, config(here))
	bindingAfter(f, 30, 70)
	f.now = f.now.Add(tallySpan + time.Second)
	if f.floorBinds(f.now) {
		t.Error("the floor binds for what failed more than 2 s ago")
	}
}

// TestFloorDoesNotBindForItself guards against requests that are lost to keep the
// floor and make it bind for longer.
func TestFloorDoesNotBindForItself(t *testing.T) {
	f := newFixture(t, config(here))
	for range 10 {
		f.count(f.now, &request{covers: true}, false)
	}
	if f.floorBinds(f.now) || f.TakeObservations().Ended > 0 {
		t.Error("requests that were lost to keep the floor count for it")
	}
}

// TestFloorBindsAfterLostHosts guards against a few targets in use while the requests
// of hosts that were killed failed, which no outcome tells (errata-desk-grown
// trouble-1). The time begins with the first request.
func TestFloorBindsAfterLostHosts(t *testing.T) {
	f := newFixture(t, config(here, here, here, here, here, here, here, here, here, here))
	f.ReportHostLoss()
	f.wait(10 * time.Second)
	// What fails is not enough for the floor to bind, and too much to try targets of
	// which nothing is known.
	f.Observe(f.now, "other", Observations{Ended: 100, Unserved: 5})
	used := map[string]bool{}
	for range 20 {
		used[string(f.serve("order", 50*time.Millisecond, answered))] = true
	}
	if len(used) < 8 {
		t.Errorf("%d of 10 targets were used in the first second, want 8", len(used))
	}
}

// TestSplitCountsForAllParts guards against a floor that ignores that another service
// refuses its part of a split route (awea-gateway-grown scale-1).
func TestSplitCountsForAllParts(t *testing.T) {
	f := newFixture(t, config(here))
	for range 20 {
		f.CountSplitOutcome(f.now, true)
		f.CountSplitOutcome(f.now, false)
	}
	if seen := f.TakeObservations(); !f.floorBinds(f.now) || seen.Ended != 40 || seen.Unserved != 20 {
		t.Errorf("binds %v, told %+v", f.floorBinds(f.now), seen)
	}
}

// TestFirstTargetsAreNotTriedInTurn guards against orders that try one unknown target
// after the other while one is known to be well and has room: at the start of a day
// three of ten fail.
func TestFirstTargetsAreNotTriedInTurn(t *testing.T) {
	f := newFixture(t, config(here, here, here, here, here, here, here, here, here, here))
	f.serve("order", 20*time.Millisecond, answered)
	f.Observe(f.now, "other", Observations{Ended: 100, Unserved: 5})
	used := map[string]bool{}
	for range 20 {
		used[string(f.serve("order", 20*time.Millisecond, answered))] = true
	}
	if len(used) > 2 {
		t.Errorf("%d targets were used for one order at a time, want at most 2", len(used))
	}
}

// TestAvoidedTargetIsTestedByLookups guards against orders that find out whether a
// target is well again although lookups could, and against a target that is well and
// stays out.
func TestAvoidedTargetIsTestedByLookups(t *testing.T) {
	f := newFixture(t, config(here, here))
	failed := f.serve("order", time.Millisecond, serverError)
	f.take(f.Observe(f.now, "other", Observations{Targets: []Observation{{Target: failed, Failures: 2}}}))
	byLookup := false
	for range 100 {
		if f.serve("order", 25*time.Millisecond, answered) == failed && !byLookup {
			t.Fatal("an order went to the avoided target before a lookup")
		}
		byLookup = f.serve("lookup", 25*time.Millisecond, answered) == failed || byLookup
	}
	if !byLookup {
		t.Error("no lookup tested the avoided target within 5 s")
	}
}

// TestHostsCoverDifferentTargets answers hundreds of targets that many hosts share
// after all of them started at once (errata-desk-large scale-1, FLOOR): it guards
// against hosts that keep the floor with the same targets in the same order, so that
// the others get nothing until the hosts have told each other. Requests that are spread
// at random over 130 targets reach 50 of them with 64 requests.
func TestHostsCoverDifferentTargets(t *testing.T) {
	used := map[string]bool{}
	for host := range 8 {
		cfg := config(slices.Repeat([]ident.Location{here}, 130)...)
		f := newFixture(t, cfg)
		f.Scheduler = New(f.now, cfg, dispatch.Self{Host: ident.HostID(fmt.Sprint("h", host)), Location: here})
		f.ReportHostLoss()
		for range 8 {
			used[string(f.started(f.arrive("order")))] = true
		}
	}
	if len(used) < 45 {
		t.Errorf("8 hosts with 8 requests each used %d of 130 targets, want 45", len(used))
	}
}
