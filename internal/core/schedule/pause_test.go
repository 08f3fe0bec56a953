package schedule

import (
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// started returns the running attempt of a request.
func (f *fixture) started(r ident.RequestID) dispatch.Start {
	for _, a := range f.running {
		if a.Request == r {
			return a
		}
	}
	f.t.Fatalf("request %d has no running attempt", r)
	return dispatch.Start{}
}

// askPause lets the target of a request's running attempt ask for a pause, and returns the
// recorded events.
func (f *fixture) askPause(r ident.RequestID, wait time.Duration) []event.Kind {
	return f.applyRecorded(f.ReportPause(f.now, PauseReport{Attempt: f.started(r).Attempt, Wait: wait}))
}

// applyRecorded applies actions and returns the recorded events.
func (f *fixture) applyRecorded(actions []dispatch.Action) []event.Kind {
	f.apply(actions)
	var kinds []event.Kind
	for _, a := range actions {
		if r, ok := a.(dispatch.Record); ok {
			kinds = append(kinds, r.Kind)
		}
	}
	return kinds
}

// pauseTarget lets a target ask for a pause in the response to a request of its own.
func (f *fixture) pauseTarget(want ident.TargetID, wait time.Duration) {
	f.t.Helper()
	for range 20 {
		r := f.arrive("order")
		at := f.runningTarget(r)
		if at == want {
			f.askPause(r, wait)
			f.finish(r, shed)
			if f.runningTarget(r) != "" {
				f.finish(r, answered)
			}
			return
		}
		if at == "" {
			f.t.Fatalf("no request reaches %s", want)
		}
		defer f.finish(r, answered)
	}
	f.t.Fatalf("no request reaches %s", want)
}

// TestPausedTargetGetsNoRequests guards against a request that reaches a target during its
// pause as a first attempt, a retry, a test for the floor, from the queue, when the queue is
// full, or after the end of the short pauses that follow rejections.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	cfg := config(hostZone, hostZone, hostZone)
	cfg.QueueLength = 2
	f := newFixture(t, cfg)
	f.pauseTarget("t1", 20*time.Second)
	var open []ident.RequestID
	for range 190 {
		if len(f.running) < 4 {
			open = append(open, f.arrive("lookup"), f.arrive("order"))
		}
		f.apply(f.Observe(f.now, "other", Observations{Ended: 40, Unserved: 10}))
		f.ReportHostLoss()
		f.advance(100 * time.Millisecond)
		for _, a := range f.running {
			if a.Target == "t1" {
				t.Fatalf("request %d went to the paused target after %s, for the floor: %v", a.Request, f.now.Sub(epoch), a.Selection.KeepsFloor)
			}
		}
		if len(f.running) > 0 {
			res := answered
			if len(open)%3 == 0 {
				res = serverError
			}
			f.finish(f.running[0].Request, res)
		}
	}
	f.advance(1500 * time.Millisecond)
	for range 8 {
		f.arrive("lookup")
	}
	if status := f.Status()[1]; status.InFlight == 0 || status.PauseLeft != 0 {
		t.Errorf("the target gets no requests after its pause: %+v", status)
	}
}

// TestLongestPauseHolds guards against a pause that is cut by a shorter one, by a success or
// by rejections that decrease the limit, and against one that is added to the earlier one.
func TestLongestPauseHolds(t *testing.T) {
	f := newFixture(t, config(hostZone))
	f.serveRequest("order", 10*time.Millisecond, answered)
	first, second := f.arrive("order"), f.arrive("order")
	f.askPause(first, 3*time.Second)
	f.finish(first, shed)
	f.advance(100 * time.Millisecond)
	f.askPause(second, time.Second)
	f.finish(second, answered)
	f.advance(2800 * time.Millisecond)
	if left := f.Status()[0].PauseLeft; left != 100*time.Millisecond {
		t.Errorf("%s of the pause is left, want 100ms", left)
	}
	if r := f.arrive("order"); f.runningTarget(r) != "" {
		t.Error("a request was sent before the end of the longer pause")
	}
	f.advance(100 * time.Millisecond)
	if len(f.running) != 1 {
		t.Errorf("%d requests were sent at the end of the pause, want the waiting one", len(f.running))
	}
}

// TestPauseBelongsToProcess guards against a pause that a new process of the target inherits,
// or that is lost when the entry of a process lapses and returns, also if the response
// arrives meanwhile.
func TestPauseBelongsToProcess(t *testing.T) {
	withStart := func(start int64) dispatch.Config {
		cfg := config(hostZone)
		cfg.Targets[0].StartUnixMilli = start
		return cfg
	}
	none := withStart(0)
	none.Targets = nil
	for _, late := range []bool{false, true} {
		f := newFixture(t, withStart(1))
		r := f.arrive("order")
		if !late {
			f.askPause(r, 10*time.Second)
		}
		f.apply(f.Configure(f.now, none))
		if late {
			f.askPause(r, 10*time.Second)
		}
		f.apply(f.Configure(f.now, withStart(1)))
		if left := f.Status()[0].PauseLeft; left != 10*time.Second {
			t.Errorf("late %v: %s of the pause is left after the entry returned", late, left)
		}
		if f.MayWrite(f.now, f.started(r).Attempt) {
			t.Errorf("late %v: an attempt at the former entry may be written", late)
		}
		f.apply(f.Configure(f.now, withStart(f.now.UnixMilli()+1)))
		if left := f.Status()[0].PauseLeft; left != 0 {
			t.Errorf("late %v: a new process is paused for %s", late, left)
		}
		if next := f.arrive("order"); f.runningTarget(next) != "t0" || !f.MayWrite(f.now, f.started(next).Attempt) {
			t.Errorf("late %v: the new process gets no request", late)
		}
		f.apply(f.ReportPause(f.now, PauseReport{Attempt: f.started(r).Attempt, Wait: 20 * time.Second}))
		if left := f.Status()[0].PauseLeft; left != 0 {
			t.Errorf("late %v: a response of the former process pauses the new one for %s", late, left)
		}
	}
}

// TestPausedTargetIsNotFailing guards against a 503 with Retry-After that counts as a
// failure, whatever becomes of its response, and against a target that counts for the floor
// or as capacity while it pauses.
func TestPausedTargetIsNotFailing(t *testing.T) {
	for _, res := range []dispatch.Result{shed, serverError, connectionLost, {Kind: attempt.BadAnswer}, {Kind: attempt.TimedOut}} {
		f := newFixture(t, config(hostZone, hostZone))
		for range 4 {
			f.serveRequest("order", 100*time.Millisecond, answered)
		}
		before := f.Status()
		r := f.arrive("order")
		at := f.runningTarget(r)
		f.askPause(r, 10*time.Second)
		f.advance(time.Second)
		f.finish(r, res)
		for i, status := range f.Status() {
			if status.Target == at && (status.Score > before[i].Score+5 || f.targets[at].failures > 0 || !f.targets[at].failedAt.IsZero()) {
				t.Errorf("%s: the target failed, with a probability of %.1f%% after %.1f%%", res.Kind, status.Score, before[i].Score)
			}
		}
		f.countHealthy(f.now)
		status := f.ServiceStatus(f.now)
		if status.Floor.Healthy != 1 || status.Classes[0].Capacity != 2 || status.Pausing != 1 {
			t.Errorf("%s: %d healthy targets, capacity %d, %d pausing; want 1, 2, 1", res.Kind, status.Floor.Healthy, status.Classes[0].Capacity, status.Pausing)
		}
	}
}

// TestAllTargetsPaused guards against requests that wait for the end of pauses although it
// comes too late for them, and against a refusal of those that can wait.
func TestAllTargetsPaused(t *testing.T) {
	f := newFixture(t, config(hostZone, hostZone))
	f.pauseTarget("t0", 6*time.Second)
	f.pauseTarget("t1", 4*time.Second)
	end, ok := f.ends[f.arrive("order")].(dispatch.Refuse)
	if !ok || end.Reason != dispatch.TargetsPaused || end.RetryAfter != 4*time.Second {
		t.Errorf("ended with %+v, want a refusal with the earliest end of a pause", end)
	}
	f.advance(3500 * time.Millisecond)
	waiting := []ident.RequestID{}
	for range 3 {
		waiting = append(waiting, f.arrive("order"))
	}
	for _, r := range waiting {
		if f.ends[r] != nil {
			t.Errorf("a request that can wait for half a second ended with %+v", f.ends[r])
		}
	}
	f.advance(500 * time.Millisecond)
	if len(f.running) != 2 {
		t.Errorf("%d requests were sent at the end of the pause to a target with 2 slots", len(f.running))
	}
}

// TestQueuedRequestsEndWhenAllPause guards against queued requests and retries that wait
// until their deadline although the pauses end later, and against a Retry-After of one
// target's pause while another one can take the request.
func TestQueuedRequestsEndWhenAllPause(t *testing.T) {
	f := newFixture(t, config(hostZone))
	f.serveRequest("order", 100*time.Millisecond, answered)
	running := []ident.RequestID{f.arrive("order"), f.arrive("order")}
	queued := f.arrive("order")
	f.askPause(running[0], 3*time.Second)
	if end, ok := f.ends[queued].(dispatch.Refuse); !ok || end.Reason != dispatch.TargetsPaused || end.RetryAfter != 3*time.Second {
		t.Errorf("the queued request ended with %+v, want a refusal", f.ends[queued])
	}
	f.finish(running[0], dispatch.Result{Kind: attempt.Shed, NotRun: true, RetryAfter: 3 * time.Second})
	if end, ok := f.ends[running[0]].(dispatch.Fail); !ok || !end.NotRun || end.Result.RetryAfter != 3*time.Second {
		t.Errorf("the rejected request ended with %+v, want a failure at once", f.ends[running[0]])
	}
	f = newFixture(t, config(hostZone, hostZone))
	f.serveRequest("order", 100*time.Millisecond, answered)
	r := f.arrive("order")
	f.finish(r, shed)
	f.askPause(r, time.Minute)
	f.finish(r, dispatch.Result{Kind: attempt.Shed, NotRun: true, RetryAfter: time.Minute})
	if end, ok := f.ends[r].(dispatch.Fail); !ok || end.Result.RetryAfter != minRetryAfter {
		t.Errorf("ended with %+v, want a short delay since the other target does not pause", f.ends[r])
	}
}

// TestPausedAndLimitedTargets guards against requests that wait for the pause of one target
// or for a permit of another one beyond their deadline, and against permits that are asked
// for a paused target.
func TestPausedAndLimitedTargets(t *testing.T) {
	cfg := config(hostZone, hostZone, hostZone)
	cfg.Targets[2].Draining = true
	f := newFixture(t, cfg)
	f.pauseTarget("t0", 5*time.Second)
	f.stateRate("t1", "0.5")
	f.arrive("order")
	f.advance(3 * time.Second)
	end, ok := f.ends[f.arrive("order")].(dispatch.Refuse)
	if !ok || end.Reason != dispatch.RateLimited || end.RetryAfter > 2*time.Second {
		t.Errorf("ended with %+v, want a refusal with the end of the pause 2 s from now at most", end)
	}
	f.stateRate("t0", "0.5")
	f.targets["t0"].rate.AddDemand(f.now)
	if n := f.wanted("t0"); n != 0 {
		t.Errorf("%d permits are asked for the paused target", n)
	}
	f.advance(1900 * time.Millisecond)
	f.endRate("t0")
	if r := f.arrive("order"); f.ends[r] != nil {
		t.Errorf("a request that can wait for 0.1 s ended with %+v", f.ends[r])
	}
	f.advance(200 * time.Millisecond)
	if len(f.running) != 1 || f.running[0].Target != "t0" {
		t.Errorf("running after the pause: %+v", f.running)
	}
}

// TestWithdrawnAttemptIsRepeated guards against an attempt that is written during a pause
// that began after its start, and against a request that fails, or uses its retries, because
// such an attempt was withdrawn.
func TestWithdrawnAttemptIsRepeated(t *testing.T) {
	cfg := config(hostZone, hostZone, hostZone, hostZone, hostZone, hostZone)
	f := newFixture(t, cfg)
	retries := f.budget.Remaining(f.now)
	r := f.arrive("order")
	for range 5 {
		at := f.runningTarget(r)
		dialing := f.started(r).Attempt
		if !f.MayWrite(f.now, dialing) {
			t.Fatalf("an attempt at %s may not be written before the pause", at)
		}
		f.apply(f.ReportPause(f.now, PauseReport{Attempt: dialing, Wait: 30 * time.Second}))
		if f.MayWrite(f.now, dialing) {
			t.Fatalf("an attempt at %s may be written during the pause", at)
		}
		used := f.targets[at].recentlyUsed(f.now)
		f.finish(r, dispatch.Result{Kind: attempt.Withdrawn, NotSent: true})
		if f.ends[r] != nil || f.runningTarget(r) == "" {
			t.Fatalf("the request was not sent elsewhere: %+v", f.ends[r])
		}
		if !used || f.targets[at].recentlyUsed(f.now) || f.targets[at].failures > 0 {
			t.Errorf("the target %s counts as used or failed by an attempt that was not sent", at)
		}
	}
	f.finish(r, serverError)
	if f.runningTarget(r) != "" || f.ends[r] == nil {
		t.Error("a non-idempotent request that may have run was sent again")
	}
	if used := retries - f.budget.Remaining(f.now); used > 0 {
		t.Errorf("%v retries were used", used)
	}
}

// TestPauseEvents guards against a pause that the timeline does not show, or that fills it.
func TestPauseEvents(t *testing.T) {
	f := newFixture(t, config(hostZone))
	r := f.arrive("order")
	counts := map[event.Kind]int{}
	count := func(kinds []event.Kind) {
		for _, k := range kinds {
			counts[k]++
		}
	}
	for range 50 {
		count(f.askPause(r, 2*time.Second))
		count(f.applyRecorded(f.ReportPause(f.now, PauseReport{Attempt: f.started(r).Attempt, Malformed: true})))
		f.now = f.now.Add(time.Millisecond)
	}
	count(f.askPause(r, 10*time.Second))
	f.now = f.now.Add(10 * time.Second)
	count(f.applyRecorded(f.Tick(f.now)))
	count(f.applyRecorded(f.Tick(f.now.Add(time.Second))))
	want := map[event.Kind]int{event.TargetPaused: 2, event.TargetPauseEnded: 1, event.PauseMalformed: 1}
	for kind, n := range want {
		if counts[kind] != n {
			t.Errorf("%d events %s, want %d", counts[kind], kind, n)
		}
	}
	if f.Pausing() {
		t.Error("a pause that has ended is still kept")
	}
}

// TestPausedAndLeavingTargets guards against requests that are refused because of the pause of
// one target while another one that leaves still takes them, and against requests that wait
// for one that has left.
func TestPausedAndLeavingTargets(t *testing.T) {
	cfg := config(hostZone, hostZone)
	cfg.LeavingGrace = time.Second
	f := newFixture(t, cfg)
	f.pauseTarget("t1", 6*time.Second)
	r := f.arrive("order")
	f.apply(f.ReportLeaving(f.now, f.started(r).Attempt, attempt.LeavingStatement{Leaving: true}))
	f.finish(r, answered)
	if next := f.arrive("order"); f.runningTarget(next) != "t0" {
		t.Errorf("the request is at %q, want the leaving target: %+v", f.runningTarget(next), f.ends[next])
	}
	f.advance(time.Second)
	end, ok := f.ends[f.arrive("order")].(dispatch.Refuse)
	if !ok || end.Reason != dispatch.TargetsPaused || end.RetryAfter != 5*time.Second {
		t.Errorf("ended with %+v, want a refusal with the end of the pause", end)
	}
}

// TestWithdrawnRequestDoesNotWaitForPermit guards against a request that was never sent and waits until its deadline
// for a permit.
func TestWithdrawnRequestDoesNotWaitForPermit(t *testing.T) {
	f := newFixture(t, config(hostZone, hostZone))
	r := f.arrive("order")
	paused := f.runningTarget(r)
	other := map[ident.TargetID]ident.TargetID{"t0": "t1", "t1": "t0"}[paused]
	f.stateRate(other, "0.01")
	f.askPause(r, 20*time.Second)
	f.finish(r, dispatch.Result{Kind: attempt.Withdrawn, NotSent: true})
	next := f.arrive("order")
	f.advance(10 * time.Millisecond)
	if f.ends[next] == nil || f.ends[r] == nil {
		t.Errorf("a withdrawn request ended: %v, one that arrived after it: %v", f.ends[r] != nil, f.ends[next] != nil)
	}
}

// TestPauseOutlastsLateRegistration guards against requests to a process that asked for a pause before the registry
// named it.
func TestPauseOutlastsLateRegistration(t *testing.T) {
	cfg := config(hostZone, hostZone)
	cfg.Targets[0].Slots, cfg.Targets[1].Slots = 8, 8
	cfg.Targets[0].StartUnixMilli = 1
	f := newFixture(t, cfg)
	f.pauseTarget("t0", 20*time.Second)
	f.advance(600 * time.Millisecond)
	cfg.Targets[0].StartUnixMilli = f.now.Add(-2 * time.Second).UnixMilli()
	f.apply(f.Configure(f.now, cfg))
	reached := 0
	for range 12 {
		if r := f.arrive("order"); f.runningTarget(r) == "t0" {
			reached++
		}
	}
	if reached > 0 {
		t.Errorf("%d requests reach a pausing process that was registered after its answer", reached)
	}
}
