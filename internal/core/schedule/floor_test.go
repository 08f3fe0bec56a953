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

// TestUnreachableTargetBacksOff guards against requests that repeatedly wait for a
// connection to the same target, after targets crashed while their registry entry
// was still valid.
func TestUnreachableTargetBacksOff(t *testing.T) {
	cfg := config(hostZone, sameRegionZone)
	f := newFixture(t, cfg)
	f.apply(f.Observe(f.now, "other", Observations{Ended: 100, Unserved: 5, Targets: []Observation{{Target: "t1", Started: 1, Successes: 1}}}))
	// The other target has no free slot during the test.
	for range cfg.Targets[1].Slots {
		if at := f.runningTarget(f.arrive("order")); at != "t1" {
			t.Fatalf("an order went to %q", at)
		}
	}
	dials := 0
	for range 40 {
		f.arrive("order")
		for len(f.running) > cfg.Targets[1].Slots {
			dials++
			f.finish(f.running[len(f.running)-1].Request, unreachable)
		}
		f.advance(50 * time.Millisecond)
	}
	// Backoffs of 0.2, 0.4, 0.8 and 1.6 s allow four dials in 2 s.
	if dials > 4 {
		t.Errorf("%d dials to an unreachable target in 2 s, want at most 4", dials)
	}
}

// TestUnsentAttemptNeedsNoRetryBudget guards against failing an order that no
// target received although another one is free, because the retry budget is used
// up; and against an unbounded number of attempts.
func TestUnsentAttemptNeedsNoRetryBudget(t *testing.T) {
	cfg := config(hostZone, hostZone, hostZone, hostZone, hostZone, hostZone)
	cfg.RetryRatio, cfg.RetryAllowance = 0, 0
	f := newFixture(t, cfg)
	r := f.arrive("order")
	f.finish(r, unreachable)
	if f.runningTarget(r) == "" {
		t.Fatalf("an order that was not sent ended with %+v", f.ends[r])
	}
	for f.runningTarget(r) != "" {
		f.finish(r, unreachable)
	}
	if end, ok := f.ends[r].(dispatch.Fail); !ok || !end.NotRun || len(f.attempts) > 0 {
		t.Errorf("an order that no target received ended with %+v", f.ends[r])
	}
}

// floorActiveAfter reports outcomes of another host and returns whether the floor
// is active.
func floorActiveAfter(f *fixture, failed, served int) bool {
	f.Observe(f.now, "other", Observations{Ended: failed + served, Unserved: failed})
	return f.floorActive(f.now)
}

// TestFloorNeedsEnoughFailures guards against a floor that becomes active after two
// failures among few requests, which would send orders to failing targets, and
// against one that ignores the failures of other hosts.
func TestFloorNeedsEnoughFailures(t *testing.T) {
	for _, tt := range []struct {
		failed, served int
		want           bool
	}{{2, 10, false}, {3, 20, false}, {4, 20, true}, {10, 200, false}, {30, 200, true}, {90, 10, false}} {
		if got := floorActiveAfter(newFixture(t, config(hostZone)), tt.failed, tt.served); got != tt.want {
			t.Errorf("%d of %d requests not served: floor active is %v, want %v", tt.failed, tt.failed+tt.served, got, tt.want)
		}
	}
	f := newFixture(t, config(hostZone))
	floorActiveAfter(f, 30, 70)
	f.now = f.now.Add(outcomeSpan + time.Second)
	if f.floorActive(f.now) {
		t.Error("the floor is active because of failures more than 2 s ago")
	}
}

// TestFloorRequestsDoNotActivateFloor guards against requests that fail while
// maintaining the floor and thereby keep it active.
func TestFloorRequestsDoNotActivateFloor(t *testing.T) {
	f := newFixture(t, config(hostZone))
	for range 10 {
		f.recordOutcome(f.now, &request{forFloor: true}, false)
	}
	if f.floorActive(f.now) || f.TakeObservations(f.now).Ended > 0 {
		t.Error("failed requests that were sent for the floor count towards its activation")
	}
}

// TestFloorCountsOwnFailures guards against a floor that is not enforced while a tenth of
// the requests fail, because those that were sent to maintain it are left out: with 5 of
// 100 requests lost for other reasons and 5 for the floor, a host saw only 5%.
func TestFloorCountsOwnFailures(t *testing.T) {
	local := newFixture(t, config(hostZone))
	for range 95 {
		local.recordOutcome(local.now, &request{}, true)
	}
	for range 5 {
		local.recordOutcome(local.now, &request{}, false)
		local.recordOutcome(local.now, &request{forFloor: true}, false)
	}
	if !local.floorActive(local.now) {
		t.Error("the floor is not active with 10 of 105 requests not served on this host")
	}
	remote := newFixture(t, config(hostZone))
	remote.Observe(remote.now, "other", local.TakeObservations(local.now))
	if !remote.floorActive(remote.now) {
		t.Error("the floor is not active with 10 of 105 requests not served on another host")
	}
}

// TestFloorIsActiveAfterHostLoss guards against using only a few targets while
// requests on killed hosts failed, which produces no outcomes. The period of the
// active floor starts with the first request.
func TestFloorIsActiveAfterHostLoss(t *testing.T) {
	f := newFixture(t, config(hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone))
	f.ReportHostLoss()
	f.advance(10 * time.Second)
	// The failures are too few to activate the floor and too many to try targets
	// without known outcomes.
	f.Observe(f.now, "other", Observations{Ended: 100, Unserved: 5})
	used := map[string]bool{}
	for range 20 {
		used[string(f.serveRequest("order", 50*time.Millisecond, answered))] = true
	}
	if len(used) < 8 {
		t.Errorf("%d of 10 targets were used in the first second, want 8", len(used))
	}
}

// TestSplitOutcomesCountForEachService guards against a floor that ignores refusals
// by another service of a split route, here of half of its requests.
func TestSplitOutcomesCountForEachService(t *testing.T) {
	f := newFixture(t, config(hostZone))
	for range 20 {
		f.CountSplitOutcome(f.now, true)
		f.CountSplitOutcome(f.now, false)
	}
	if seen := f.TakeObservations(f.now); !f.floorActive(f.now) || seen.Ended != 40 || seen.Unserved != 20 {
		t.Errorf("floor active is %v, observations %+v", f.floorActive(f.now), seen)
	}
}

// TestUnknownTargetsAreNotTriedInTurn guards against orders that try one unknown
// target after another while a target known to be healthy has a free slot: at
// startup three of ten targets fail.
func TestUnknownTargetsAreNotTriedInTurn(t *testing.T) {
	f := newFixture(t, config(hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone))
	f.serveRequest("order", 20*time.Millisecond, answered)
	f.Observe(f.now, "other", Observations{Ended: 100, Unserved: 5})
	used := map[string]bool{}
	for range 20 {
		used[string(f.serveRequest("order", 20*time.Millisecond, answered))] = true
	}
	if len(used) > 2 {
		t.Errorf("%d targets were used for one order at a time, want at most 2", len(used))
	}
}

// TestAvoidedTargetIsTestedByLookups guards against testing the recovery of a
// target with orders although lookups are available, and against a recovered target
// that stays unused.
func TestAvoidedTargetIsTestedByLookups(t *testing.T) {
	f := newFixture(t, config(hostZone, hostZone))
	failed := f.serveRequest("order", time.Millisecond, serverError)
	f.apply(f.Observe(f.now, "other", Observations{Targets: []Observation{{Target: failed, Failures: 2}}}))
	byLookup := false
	for range 100 {
		if f.serveRequest("order", 25*time.Millisecond, answered) == failed && !byLookup {
			t.Fatal("an order went to the avoided target before a lookup")
		}
		byLookup = f.serveRequest("lookup", 25*time.Millisecond, answered) == failed || byLookup
	}
	if !byLookup {
		t.Error("no lookup tested the avoided target within 5 s")
	}
}

// TestHostsUseDifferentTargetsForFloor guards against hosts that maintain the floor
// with the same targets in the same order, so that the other targets receive
// nothing until the hosts have exchanged observations. With hundreds of targets
// shared by many hosts, too few healthy targets were then in use after a simultaneous
// start. 64 requests spread at random over 130 targets reach 50 of them.
func TestHostsUseDifferentTargetsForFloor(t *testing.T) {
	used := map[string]bool{}
	for host := range 8 {
		cfg := config(slices.Repeat([]ident.Location{hostZone}, 130)...)
		f := newFixture(t, cfg)
		f.Scheduler = New(f.now, cfg, dispatch.Self{Host: ident.HostID(fmt.Sprint("h", host)), Location: hostZone})
		f.ReportHostLoss()
		for range 8 {
			used[string(f.runningTarget(f.arrive("order")))] = true
		}
	}
	if len(used) < 45 {
		t.Errorf("8 hosts with 8 requests each used %d of 130 targets, want 45", len(used))
	}
}
