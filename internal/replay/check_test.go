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

// fake is a decider with fixed behaviour. It sends work to all targets in
// configuration order in turn.
type fake struct {
	// out lists targets that are out of rotation from outAt to outUntil.
	out             map[ident.TargetID]bool
	outAt, outUntil time.Duration
	// repeats is the number of attempts of a failing request, whatever its class.
	repeats int
	refuse  bool
	stall   bool

	cfg      dispatch.Config
	next     int
	lastID   ident.AttemptID
	requests map[ident.AttemptID]dispatch.Request
	attempts map[ident.RequestID]int
}

func (f fake) build(_ time.Time, cfg dispatch.Config, _ dispatch.Self, _ uint64) Decider {
	f.cfg = cfg
	f.requests = map[ident.AttemptID]dispatch.Request{}
	f.attempts = map[ident.RequestID]int{}
	return &f
}

func (f *fake) isOut(now time.Time, id ident.TargetID) bool {
	at := now.Sub(epoch)
	return f.out[id] && at >= f.outAt && (f.outUntil == 0 || at < f.outUntil)
}

func (f *fake) start(now time.Time, r dispatch.Request) []dispatch.Action {
	for range f.cfg.Targets {
		f.next++
		id := f.cfg.Targets[f.next%len(f.cfg.Targets)].ID
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

func (f *fake) Arrive(now time.Time, r dispatch.Request) []dispatch.Action {
	switch {
	case f.refuse:
		return []dispatch.Action{dispatch.Refuse{Request: r.ID}}
	case f.stall:
		return nil
	}
	return f.start(now, r)
}

func (f *fake) Finish(now time.Time, id ident.AttemptID, res dispatch.Result) []dispatch.Action {
	r := f.requests[id]
	if res.Kind == attempt.Answered {
		return []dispatch.Action{dispatch.Complete{Request: r.ID, Attempt: id}}
	}
	if f.attempts[r.ID] < f.repeats {
		return f.start(now, r)
	}
	return []dispatch.Action{dispatch.Fail{Request: r.ID, Attempt: id, Result: res}}
}

func (f *fake) Status() []dispatch.TargetStatus { return nil }

func (f *fake) Configure(_ time.Time, cfg dispatch.Config) []dispatch.Action { f.cfg = cfg; return nil }
func (f *fake) Cancel(time.Time, ident.RequestID) []dispatch.Action          { return nil }
func (f *fake) ProbeResult(time.Time, ident.TargetID, bool, time.Duration) []dispatch.Action {
	return nil
}
func (f *fake) LoadReport(time.Time, dispatch.LoadReport) []dispatch.Action { return nil }
func (f *fake) Evidence(time.Time) health.Evidence                          { return health.Evidence{} }
func (f *fake) Merge(time.Time, health.Evidence) []dispatch.Action          { return nil }
func (f *fake) Tick(time.Time) []dispatch.Action                            { return nil }
func (f *fake) NextTick(now time.Time) time.Time                            { return now.Add(100 * time.Millisecond) }

// statusFake adds states that depend on the time of the last tick.
type statusFake struct {
	*fake
	now time.Time
}

func (s *statusFake) Tick(now time.Time) []dispatch.Action {
	s.now = now
	return []dispatch.Action{dispatch.Record{}}
}

func (s *statusFake) Status() []dispatch.TargetStatus {
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

func (f fake) buildWithStatus(now time.Time, cfg dispatch.Config, self dispatch.Self, seed uint64) Decider {
	return &statusFake{fake: f.build(now, cfg, self, seed).(*fake), now: now}
}

func only(names ...ident.TargetID) map[ident.TargetID]bool {
	m := map[ident.TargetID]bool{}
	for _, n := range names {
		m[n] = true
	}
	return m
}

// TestChecksCanFail guards against an expected outcome that passes or fails
// whatever the decider does: each kind passes with one decider and fails with
// another one that violates it.
func TestChecksCanFail(t *testing.T) {
	// t-1 fails from 5 s to 15 s.
	const lines = "0s arrivals get rate=20\n0s arrivals put rate=20\n5s fault t-1 kind=status until=15s\n"
	careful := fake{out: only("t-1"), outAt: 5500 * time.Millisecond, outUntil: 16 * time.Second, repeats: 1}
	wrongTarget := fake{out: only("t-2"), outAt: 9 * time.Second}
	all := fake{out: only("t-1", "t-2", "t-3", "t-4"), outAt: 6 * time.Second}
	for _, c := range []struct {
		expect     string
		good, evil fake
	}{
		{"out t-1 by=6s", careful, fake{}},
		{"out t-1 by=6s of=senders hosts=h-1", careful, wrongTarget},
		{"out t-1 by=5400ms from=5s", all.at(5 * time.Second), careful},
		{"back t-1 by=17s", careful, all},
		{"detect t-1 within=1s", careful, fake{}},
		{"never-out t-2", careful, wrongTarget},
		{"never-out t-1 to=5s", careful, all.at(time.Second)},
		{"no-work t-1 from=6s to=15s", careful, fake{}},
		{"floor", careful, all},
		{"attempts max=1", careful, fake{repeats: 2}},
		{"attempts mean=1.01", careful, fake{repeats: 4}},
		{"no-repeat", careful, fake{repeats: 2}},
		{"refusals max=0", careful, fake{refuse: true}},
		{"refusals share=5% class=get", careful, all},
		{"success share=95%", careful, fake{}},
		{"success share=95%", careful, fake{stall: true}},
		{"success share=95% from=6s to=10s class=put", careful, fake{refuse: true}},
		{"false-ejections max=0", careful, wrongTarget},
		{"false-ejections rate=1 per=pair", careful, wrongTarget},
	} {
		trace := mustParse(t, smallHeader+lines+"expect "+c.expect)
		if o := outcomeOf(t, trace, c.good); !o.Pass {
			t.Errorf("%s: the good decider fails: %s", c.expect, o.Detail)
		}
		if o := outcomeOf(t, trace, c.evil); o.Pass {
			t.Errorf("%s: the violating decider passes: %s", c.expect, o.Detail)
		}
	}
}

func (f fake) at(d time.Duration) fake {
	f.outAt = d
	return f
}

func outcomeOf(t *testing.T, trace *Trace, f fake) ExpectationResult {
	t.Helper()
	r, err := Run(trace, "fake", f.buildWithStatus, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return r.Expectations[0]
}

// TestUntestedExpectationFails guards against a pass without any request or
// attempt that tested it.
func TestUntestedExpectationFails(t *testing.T) {
	for _, e := range []string{"success share=1%", "refusals max=5", "attempts max=9", "no-repeat", "detect t-1 within=9s", "out t-1 by=9s of=senders"} {
		trace := mustParse(t, smallHeader+"1s fault t-1 kind=status\nexpect "+e)
		if o := outcomeOf(t, trace, fake{out: only("t-1")}); o.Pass {
			t.Errorf("%s passes although no request arrived: %s", e, o.Detail)
		}
	}
}

// TestBrokenDecider guards against a run that hides a decider's broken
// contract.
func TestBrokenDecider(t *testing.T) {
	trace := mustParse(t, smallHeader+"0s arrivals get rate=20")
	_, err := Run(trace, "fake", func(now time.Time, cfg dispatch.Config, self dispatch.Self, seed uint64) Decider {
		cfg.Targets = []dispatch.Target{{ID: "elsewhere"}}
		return fake{}.build(now, cfg, self, seed)
	}, Options{})
	if err == nil || !strings.Contains(err.Error(), `target "elsewhere"`) {
		t.Errorf("an attempt at an unknown target gives error %v", err)
	}
}

// TestDetectWithoutAttempts guards against a target that counts as detected
// because nobody sent it work, and against one that counts as undetected although
// it went out so soon that no attempt followed the onset of its fault.
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
		if o := outcomeOf(t, trace, fake{out: only("t-1"), outAt: c.outAt}); o.Pass != c.pass {
			t.Errorf("%s: pass %t: %s", c.name, o.Pass, o.Detail)
		}
	}
}
