package schedule

import (
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
)

// stateRate lets a target state a rate in a response to a request that was sent and
// answered now.
func (f *fixture) stateRate(target ident.TargetID, value string) {
	f.apply(f.ReportLimit(f.now, LimitReport{Process: f.targets[target].process.process, Statement: ratelimit.ParseStatement([]string{value}), SentAt: f.now}))
}

// endRate lets a target state that it has no limit.
func (f *fixture) endRate(target ident.TargetID) {
	f.advance(time.Millisecond)
	f.apply(f.ReportLimit(f.now, LimitReport{Process: f.targets[target].process.process, Statement: ratelimit.ParseStatement(nil), SentAt: f.now}))
}

// grant gives the host permits for a target.
func (f *fixture) grant(target ident.TargetID, permits int) {
	f.apply(f.GrantPermits(f.now, f.now, []ratelimit.Granted{{Entry: f.targets[target].rateEntry(), Permits: permits, Hosts: 1}}))
}

// wanted returns the number of permits that the host asks for.
func (f *fixture) wanted(target ident.TargetID) int {
	for _, w := range f.PermitWants(f.now) {
		if w.Target == target {
			return w.Permits
		}
	}
	return 0
}

// TestLimitedTargetNeedsPermits guards against requests to a limited target without a
// permit, by whatever way they take: the first attempt, a retry, the queue, a test of the
// target or the floor.
func TestLimitedTargetNeedsPermits(t *testing.T) {
	cfg := config(hostZone, hostZone)
	f := newFixture(t, cfg)
	f.stateRate("t0", "10")
	f.stateRate("t1", "10")
	f.grant("t0", 1)
	f.grant("t1", 2)
	first := f.arrive("lookup")
	f.finish(first, serverError)
	if f.runningTarget(first) == "" {
		t.Fatal("the retry did not use a permit of the other target")
	}
	f.arrive("order")
	queued := f.arrive("order")
	if n := len(f.running); n != 2 || f.runningTarget(queued) != "" {
		t.Fatalf("%d attempts run with 3 permits after one attempt ended", n)
	}
	// Failures activate the floor, and the age of the limit asks for a test.
	f.apply(f.Observe(f.now, "other", Observations{Ended: 40, Unserved: 10}))
	f.advance(1500 * time.Millisecond)
	for range 3 {
		f.arrive("lookup")
	}
	if n := len(f.running); n != 2 {
		t.Errorf("%d attempts run although the permits are used up", n)
	}
	f.grant("t0", 1)
	if f.runningTarget(queued) != "t0" {
		t.Errorf("a request that waited did not start with a new permit: it is at %q, ended %+v", f.runningTarget(queued), f.ends[queued])
	}
}

// TestOtherTargetsTakeRequests guards against requests that wait for a limited target, or
// are refused, while a target without a limit has a free slot, and against a limited target
// that counts as failing.
func TestOtherTargetsTakeRequests(t *testing.T) {
	f := newFixture(t, config(hostZone, sameRegionZone))
	for range 3 {
		f.serveRequest("order", 10*time.Millisecond, answered)
	}
	f.stateRate("t0", "1")
	for range 5 {
		if at := f.serveRequest("order", 10*time.Millisecond, answered); at != "t1" {
			t.Fatalf("an order went to %q without a permit", at)
		}
	}
	if f.wanted("t0") != 1 {
		t.Errorf("%d permits are asked for the nearer target, want 1", f.wanted("t0"))
	}
	if left := f.budget.Remaining(f.now); left < 20 {
		t.Errorf("%v retries are left, want all", left)
	}
	if f.targets["t0"].failures > 0 || f.targets["t0"].avoided {
		t.Error("the limited target counts as failing")
	}
	f.endRate("t0")
	if at := f.serveRequest("order", 10*time.Millisecond, answered); at != "t0" {
		t.Errorf("after the end of the limit an order went to %q", at)
	}
}

// TestRefusedWhenAllTargetsAreLimited guards against a request that waits although the
// rates of all targets leave no room for it, and against a Retry-After that is too early.
func TestRefusedWhenAllTargetsAreLimited(t *testing.T) {
	cfg := config(hostZone, hostZone)
	for i := range cfg.Classes {
		cfg.Classes[i].Deadline, cfg.Classes[i].Objective = 6*time.Second, 3*time.Second
	}
	f := newFixture(t, cfg)
	f.stateRate("t0", "0.5")
	f.stateRate("t1", "0.5")
	f.grant("t0", 0)
	f.grant("t1", 0)
	waiting := []ident.RequestID{f.arrive("order"), f.arrive("order"), f.arrive("order")}
	refused := f.arrive("order")
	for _, r := range waiting {
		if end := f.ends[r]; end != nil {
			t.Errorf("a request that gets a permit in time ended with %+v", end)
		}
	}
	if end, ok := f.ends[refused].(dispatch.Refuse); !ok || end.Reason != dispatch.RateLimited || end.RetryAfter != 4*time.Second {
		t.Errorf("the fourth request at one per second ended with %+v", f.ends[refused])
	}
	if f.wanted("t0") != 1 {
		t.Error("no permit is asked for while requests wait")
	}
	// The allocator does not respond for longer than a new one needs to take over:
	// nothing is known of a next permit.
	f.advance(5100 * time.Millisecond)
	late := f.arrive("order")
	if end, ok := f.ends[late].(dispatch.Refuse); !ok || end.Reason != dispatch.RateLimited || end.RetryAfter > maxRateRetryAfter {
		t.Errorf("without an allocator a request ended with %+v", f.ends[late])
	}
}

// TestSlowTargetsDoNotCountForFloor guards against a floor that asks for requests to a
// target that takes very few on purpose, and against one that leaves out a limited target
// with room for many.
func TestSlowTargetsDoNotCountForFloor(t *testing.T) {
	f := newFixture(t, config(hostZone, hostZone, hostZone))
	f.stateRate("t0", "1")
	f.stateRate("t1", "50")
	f.countHealthy(f.now)
	if f.healthyTargets != 2 {
		t.Errorf("%d targets count for the floor, want 2", f.healthyTargets)
	}
}

// TestLimitEndsWithProcess guards against the limit of a target that restarted under its
// name and address.
func TestLimitEndsWithProcess(t *testing.T) {
	cfg := config(hostZone)
	f := newFixture(t, cfg)
	f.stateRate("t0", "1")
	old := f.Limits(f.now)
	cfg.Targets[0].StartUnixMilli = 5
	f.apply(f.Configure(f.now, cfg))
	f.apply(f.ObserveLimits(f.now, old))
	if len(f.Limits(f.now)) != 0 || f.runningTarget(f.arrive("order")) != "t0" {
		t.Errorf("the limit of the earlier process holds: %+v", f.Limits(f.now))
	}
}

// TestQueueFollowsRates guards against requests that are refused because no permit is in
// stock at the moment, although the rates of the targets let them start soon.
func TestQueueFollowsRates(t *testing.T) {
	cfg := config(hostZone, hostZone)
	for i := range cfg.Targets {
		cfg.Targets[i].Slots = 20
	}
	f := newFixture(t, cfg)
	for range 4 {
		f.serveRequest("order", 500*time.Millisecond, answered)
	}
	for _, target := range []ident.TargetID{"t0", "t1"} {
		f.stateRate(target, "20")
		f.grant(target, 0)
	}
	for i := range 8 {
		if end := f.ends[f.arrive("order")]; end != nil {
			t.Errorf("request %d of 8 at 40 per second ended with %+v", i+1, end)
		}
	}
}

// TestEndedLimitIsForgotten guards against messages about a limit that go on for as long
// as its target answers requests after its end.
func TestEndedLimitIsForgotten(t *testing.T) {
	f := newFixture(t, config(hostZone))
	f.stateRate("t0", "1")
	f.endRate("t0")
	ended := f.now
	for f.now.Sub(ended) < endedLimitLifetime {
		if len(f.Limits(f.now)) != 1 {
			t.Fatalf("%v after its end the limit is no longer told to other hosts", f.now.Sub(ended))
		}
		f.PermitWants(f.now)
		f.advance(time.Second)
		f.endRate("t0")
	}
	if limits, wants := f.Limits(f.now), f.PermitWants(f.now); len(limits) > 0 || len(wants) > 0 {
		t.Errorf("%v after its end other hosts are told %+v, the allocator %+v", f.now.Sub(ended), limits, wants)
	}
}

// TestLimitOfEarlierProcess guards against a limit that a new process under the ID of a
// target gets, or loses, because of a late response of its predecessor.
func TestLimitOfEarlierProcess(t *testing.T) {
	cfg := config(hostZone)
	cfg.Targets[0].StartUnixMilli = 1000
	f := newFixture(t, cfg)
	earlier := f.targets["t0"].process.process
	cfg.Targets[0].StartUnixMilli = 2000
	f.apply(f.Configure(f.now, cfg))
	f.apply(f.ReportLimit(f.now, LimitReport{Process: earlier, Statement: ratelimit.ParseStatement([]string{"1"}), SentAt: f.now}))
	if l := f.targets["t0"].rate.Limit(); l.Limited {
		t.Error("a response of the earlier process limits the new one")
	}
	f.stateRate("t0", "3")
	f.advance(time.Second)
	f.apply(f.ReportLimit(f.now, LimitReport{Process: earlier, Statement: ratelimit.ParseStatement(nil), SentAt: f.now}))
	if l := f.targets["t0"].rate.Limit(); !l.Limited {
		t.Error("a response of the earlier process ends the limit of the new one")
	}
}
