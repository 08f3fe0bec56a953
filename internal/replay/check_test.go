package replay

import (
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// fakeDecider is a decider with fixed behaviour. It sends requests to the targets in
// rotation round robin, in configuration order.
type fakeDecider struct {
	// out holds the targets that are out of rotation from outAt to outUntil.
	out             map[ident.TargetID]bool
	outAt, outUntil time.Duration
	// maxAttempts is the number of attempts of a failing request of any class.
	maxAttempts    int
	refuseRequests bool
	ignoreRequests bool

	cfg        dispatch.Config
	lastTarget int
	lastID     ident.AttemptID
	requests   map[ident.AttemptID]dispatch.Request
	attempts   map[ident.RequestID]int
}

func (f fakeDecider) build(_ time.Time, cfg dispatch.Config, _ dispatch.Self, _ uint64) Decider {
	f.cfg = cfg
	f.requests = map[ident.AttemptID]dispatch.Request{}
	f.attempts = map[ident.RequestID]int{}
	return &f
}

func (f *fakeDecider) isOut(now time.Time, id ident.TargetID) bool {
	at := now.Sub(epoch)
	return f.out[id] && at >= f.outAt && (f.outUntil == 0 || at < f.outUntil)
}

func (f *fakeDecider) start(now time.Time, r dispatch.Request) []dispatch.Action {
	for range f.cfg.Targets {
		f.lastTarget++
		id := f.cfg.Targets[f.lastTarget%len(f.cfg.Targets)].ID
		if f.isOut(now, id) {
			continue
		}
		f.lastID++
		f.requests[f.lastID] = r
		f.attempts[r.ID]++
		return []dispatch.Action{dispatch.Start{Request: r.ID, Attempt: f.lastID, Target: id, Timeout: time.Second}}
	}
	return []dispatch.Action{dispatch.Refuse{Request: r.ID}}
}

func (f *fakeDecider) Arrive(now time.Time, r dispatch.Request) []dispatch.Action {
	switch {
	case f.refuseRequests:
		return []dispatch.Action{dispatch.Refuse{Request: r.ID}}
	case f.ignoreRequests:
		return nil
	}
	return f.start(now, r)
}

func (f *fakeDecider) Finish(now time.Time, id ident.AttemptID, res dispatch.Result) []dispatch.Action {
	r := f.requests[id]
	if res.Kind == attempt.Answered {
		return []dispatch.Action{dispatch.Complete{Request: r.ID, Attempt: id}}
	}
	if f.attempts[r.ID] < f.maxAttempts {
		return f.start(now, r)
	}
	return []dispatch.Action{dispatch.Fail{Request: r.ID, Attempt: id, Result: res}}
}

func (f *fakeDecider) Status() []dispatch.TargetStatus { return nil }

func (f *fakeDecider) Configure(_ time.Time, cfg dispatch.Config) []dispatch.Action {
	f.cfg = cfg
	return nil
}
func (f *fakeDecider) Cancel(time.Time, ident.RequestID) []dispatch.Action { return nil }
func (f *fakeDecider) ProbeResult(time.Time, ident.TargetID, bool, time.Duration) []dispatch.Action {
	return nil
}
func (f *fakeDecider) LoadReport(time.Time, dispatch.LoadReport) []dispatch.Action { return nil }
func (f *fakeDecider) Evidence(time.Time) health.Evidence                          { return health.Evidence{} }
func (f *fakeDecider) Merge(time.Time, health.Evidence) []dispatch.Action          { return nil }
func (f *fakeDecider) Tick(time.Time) []dispatch.Action                            { return nil }
func (f *fakeDecider) NextTick(now time.Time) time.Time                            { return now.Add(100 * time.Millisecond) }

// fakeStatusDecider reports target states as of the last tick.
type fakeStatusDecider struct {
	*fakeDecider
	now time.Time
}

func (s *fakeStatusDecider) Tick(now time.Time) []dispatch.Action {
	s.now = now
	return []dispatch.Action{dispatch.Record{}}
}

func (s *fakeStatusDecider) Status() []dispatch.TargetStatus {
	var list []dispatch.TargetStatus
	for _, t := range s.cfg.Targets {
		st := dispatch.TargetStatus{Status: health.Status{Target: t.ID, Weight: 1}}
		if s.isOut(s.now, t.ID) {
			st.State = health.Excluded
		}
		list = append(list, st)
	}
	return list
}

func (f fakeDecider) buildWithStatus(now time.Time, cfg dispatch.Config, self dispatch.Self, seed uint64) Decider {
	return &fakeStatusDecider{fakeDecider: f.build(now, cfg, self, seed).(*fakeDecider), now: now}
}

func targetIDSet(names ...ident.TargetID) map[ident.TargetID]bool {
	m := map[ident.TargetID]bool{}
	for _, name := range names {
		m[name] = true
	}
	return m
}

// TestExpectationChecks guards against a check whose result does not depend on the
// decider: each kind passes with one decider and fails with another one that
// violates it.
func TestExpectationChecks(t *testing.T) {
	// t-1 fails from 5 s to 15 s.
	const lines = "0s arrivals get rate=20\n0s arrivals put rate=20\n5s fault t-1 kind=status until=15s\n"
	correct := fakeDecider{out: targetIDSet("t-1"), outAt: 5500 * time.Millisecond, outUntil: 16 * time.Second, maxAttempts: 1}
	wrongTarget := fakeDecider{out: targetIDSet("t-2"), outAt: 9 * time.Second}
	allOut := fakeDecider{out: targetIDSet("t-1", "t-2", "t-3", "t-4"), outAt: 6 * time.Second}
	for _, c := range []struct {
		expect                string
		satisfying, violating fakeDecider
	}{
		{"out t-1 by=6s", correct, fakeDecider{}},
		{"out t-1 by=6s of=senders hosts=h-1", correct, wrongTarget},
		{"out t-1 by=5400ms from=5s", allOut.withOutAt(5 * time.Second), correct},
		{"back t-1 by=17s", correct, allOut},
		{"detect t-1 within=1s", correct, fakeDecider{}},
		{"never-out t-2", correct, wrongTarget},
		{"never-out t-1 to=5s", correct, allOut.withOutAt(time.Second)},
		{"no-work t-1 from=6s to=15s", correct, fakeDecider{}},
		{"floor", correct, allOut},
		{"attempts max=1", correct, fakeDecider{maxAttempts: 2}},
		{"attempts mean=1.01", correct, fakeDecider{maxAttempts: 4}},
		{"no-repeat", correct, fakeDecider{maxAttempts: 2}},
		{"refusals max=0", correct, fakeDecider{refuseRequests: true}},
		{"refusals share=5% class=get", correct, allOut},
		{"success share=95%", correct, fakeDecider{}},
		{"success share=95%", correct, fakeDecider{ignoreRequests: true}},
		{"success share=95% from=6s to=10s class=put", correct, fakeDecider{refuseRequests: true}},
		{"false-ejections max=0", correct, wrongTarget},
		{"false-ejections rate=1 per=pair", correct, wrongTarget},
	} {
		trace := mustParse(t, smallHeader+lines+"expect "+c.expect)
		if o := outcomeOf(t, trace, c.satisfying); !o.Pass {
			t.Errorf("%s: fails with a decider that satisfies it: %s", c.expect, o.Detail)
		}
		if o := outcomeOf(t, trace, c.violating); o.Pass {
			t.Errorf("%s: passes with a decider that violates it: %s", c.expect, o.Detail)
		}
	}
}

func (f fakeDecider) withOutAt(d time.Duration) fakeDecider {
	f.outAt = d
	return f
}

func outcomeOf(t *testing.T, trace *Trace, f fakeDecider) ExpectationResult {
	t.Helper()
	r, err := Run(trace, "fake", f.buildWithStatus, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return r.Expectations[0]
}

// TestExpectationWithoutRequestsFails guards against an expectation that passes
// although the run had no request or attempt to check it with.
func TestExpectationWithoutRequestsFails(t *testing.T) {
	for _, e := range []string{"success share=1%", "refusals max=5", "attempts max=9", "no-repeat", "detect t-1 within=9s", "out t-1 by=9s of=senders"} {
		trace := mustParse(t, smallHeader+"1s fault t-1 kind=status\nexpect "+e)
		if o := outcomeOf(t, trace, fakeDecider{out: targetIDSet("t-1")}); o.Pass {
			t.Errorf("%s passes although no request arrived: %s", e, o.Detail)
		}
	}
}

// TestDeciderContractViolation guards against a run that ignores an invalid action
// of a decider, here an attempt to an unknown target.
func TestDeciderContractViolation(t *testing.T) {
	trace := mustParse(t, smallHeader+"0s arrivals get rate=20")
	_, err := Run(trace, "fake", func(now time.Time, cfg dispatch.Config, self dispatch.Self, seed uint64) Decider {
		cfg.Targets = []dispatch.Target{{ID: "elsewhere"}}
		return fakeDecider{}.build(now, cfg, self, seed)
	}, Options{})
	if err == nil || !strings.Contains(err.Error(), `target "elsewhere"`) {
		t.Errorf("attempt to an unknown target: got error %v", err)
	}
}

// TestDetectWithoutAttempts guards against a faulty target that counts as detected
// because no host sent it an attempt, and against one that counts as undetected
// because it left rotation before any attempt followed the start of its fault.
func TestDetectWithoutAttempts(t *testing.T) {
	for _, c := range []struct {
		name  string
		outAt time.Duration
		pass  bool
	}{
		{"out within the bound", 5500 * time.Millisecond, true},
		{"out after the bound", 7 * time.Second, false},
		{"out before the fault", 4 * time.Second, false},
		{"never out", time.Hour, false},
	} {
		trace := mustParse(t, smallHeader+"5s fault t-1 kind=status until=15s\nexpect detect t-1 within=1s")
		if o := outcomeOf(t, trace, fakeDecider{out: targetIDSet("t-1"), outAt: c.outAt}); o.Pass != c.pass {
			t.Errorf("%s: pass %t: %s", c.name, o.Pass, o.Detail)
		}
	}
}
