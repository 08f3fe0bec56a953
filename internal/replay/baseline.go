package replay

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Settings of the baseline: common defaults of outlier ejection by consecutive
// failures.
const (
	baselineFailures     = 5
	baselineSweep        = 10 * time.Second
	baselineEjectPercent = 10
	baselineEjection     = 30 * time.Second
	baselineAttempts     = 2
)

// baseline ejects a target after consecutive failures, for a base time
// multiplied by the number of its ejections, and selects round robin. It takes
// no evidence, probe or load report, and has no floor beyond the bound on the
// ejected share.
type baseline struct {
	cfg       dispatch.Config
	targets   map[ident.TargetID]*baselineTarget
	classes   map[ident.ClassName]dispatch.Class
	attempts  map[ident.AttemptID]baselineAttempt
	requests  map[ident.RequestID]*baselineRequest
	next      int
	lastID    ident.AttemptID
	nextSweep time.Time
}

type baselineTarget struct {
	failures  int
	ejections int
	ejected   bool
	until     time.Time
	inFlight  int
}

type baselineRequest struct {
	dispatch.Request
	class    dispatch.Class
	attempts int
	last     ident.TargetID
}

type baselineAttempt struct {
	request *baselineRequest
	id      ident.TargetID
	target  *baselineTarget
}

func newBaseline(now time.Time, cfg dispatch.Config, _ dispatch.Self, seed uint64) Decider {
	b := &baseline{
		targets:   map[ident.TargetID]*baselineTarget{},
		attempts:  map[ident.AttemptID]baselineAttempt{},
		requests:  map[ident.RequestID]*baselineRequest{},
		nextSweep: now.Add(baselineSweep),
	}
	b.Configure(now, cfg)
	// Hosts start at different positions, or all of them would send their
	// first requests to the same target.
	b.next = int(seed % uint64(max(len(cfg.Targets), 1)))
	return b
}

// Configure replaces targets and classes; state of targets that stay is kept.
func (b *baseline) Configure(_ time.Time, cfg dispatch.Config) []dispatch.Action {
	b.cfg = cfg
	b.classes = map[ident.ClassName]dispatch.Class{}
	for _, c := range cfg.Classes {
		b.classes[c.Name] = c
	}
	current := map[ident.TargetID]*baselineTarget{}
	for _, t := range cfg.Targets {
		known := b.targets[t.ID]
		if known == nil {
			known = &baselineTarget{}
		}
		current[t.ID] = known
	}
	b.targets = current
	return nil
}

// Arrive starts the first attempt of a request.
func (b *baseline) Arrive(now time.Time, r dispatch.Request) []dispatch.Action {
	class, ok := b.classes[r.Class]
	if !ok {
		return []dispatch.Action{dispatch.Refuse{Request: r.ID, Reason: dispatch.UnknownClass}}
	}
	req := &baselineRequest{Request: r, class: class}
	start, ok := b.start(now, req)
	if !ok {
		return []dispatch.Action{dispatch.Refuse{Request: r.ID, Reason: dispatch.NoTarget}}
	}
	b.requests[r.ID] = req
	return []dispatch.Action{start}
}

func (b *baseline) start(now time.Time, r *baselineRequest) (dispatch.Start, bool) {
	id, target := b.pick(r)
	if target == nil {
		return dispatch.Start{}, false
	}
	b.lastID++
	r.attempts++
	r.last = id
	target.inFlight++
	b.attempts[b.lastID] = baselineAttempt{request: r, id: id, target: target}
	timeout := min(r.class.AttemptTimeout, r.Deadline.Sub(now))
	return dispatch.Start{Request: r.ID, Attempt: b.lastID, Target: id, Timeout: timeout}, true
}

// pick returns the next target in rotation; a retry avoids the target of the
// first attempt if there is another one.
func (b *baseline) pick(r *baselineRequest) (ident.TargetID, *baselineTarget) {
	n := len(b.cfg.Targets)
	var id ident.TargetID
	var fallback *baselineTarget
	for range n {
		next := b.cfg.Targets[b.next%n].ID
		b.next = (b.next + 1) % n
		t := b.targets[next]
		if t.ejected {
			continue
		}
		if next != r.last {
			return next, t
		}
		id, fallback = next, t
	}
	return id, fallback
}

// Finish ends an attempt and retries an idempotent request once.
func (b *baseline) Finish(now time.Time, id ident.AttemptID, res dispatch.Result) []dispatch.Action {
	a, ok := b.attempts[id]
	if !ok {
		return nil
	}
	delete(b.attempts, id)
	a.target.inFlight--
	actions := b.observe(now, a, res)
	r := a.request
	if b.requests[r.ID] == nil {
		return actions
	}
	if res.Kind == attempt.Answered {
		delete(b.requests, r.ID)
		return append(actions, dispatch.Complete{Request: r.ID, Attempt: id})
	}
	if r.class.Idempotent && r.attempts < baselineAttempts && now.Before(r.Deadline) {
		if start, ok := b.start(now, r); ok {
			return append(actions, start)
		}
	}
	delete(b.requests, r.ID)
	return append(actions, dispatch.Fail{Request: r.ID, Attempt: id, Result: res, NotRun: res.NotSent || res.NotRun})
}

func (b *baseline) observe(now time.Time, a baselineAttempt, res dispatch.Result) []dispatch.Action {
	switch res.Kind {
	case attempt.Answered:
		a.target.failures = 0
	case attempt.ServerError, attempt.DialFailed, attempt.TimedOut, attempt.ConnectionLost, attempt.BadAnswer, attempt.Shed, attempt.Draining:
		a.target.failures++
	}
	if a.target.failures < baselineFailures || a.target.ejected || !b.mayEject() {
		return nil
	}
	a.target.failures = 0
	a.target.ejected = true
	a.target.ejections++
	a.target.until = now.Add(time.Duration(a.target.ejections) * baselineEjection)
	return []dispatch.Action{dispatch.Record{Kind: event.TargetEjected, Fields: []event.Field{event.F("target", a.id)}}}
}

// mayEject tells whether one more ejection stays within the bound; one target
// may always be ejected.
func (b *baseline) mayEject() bool {
	ejected := 0
	for _, t := range b.targets {
		if t.ejected {
			ejected++
		}
	}
	return ejected < max(1, len(b.targets)*baselineEjectPercent/100)
}

// Cancel forgets a request whose caller is gone.
func (b *baseline) Cancel(_ time.Time, id ident.RequestID) []dispatch.Action {
	delete(b.requests, id)
	return nil
}

// ProbeResult has no effect: the baseline sends no probes.
func (b *baseline) ProbeResult(time.Time, ident.TargetID, bool, time.Duration) []dispatch.Action {
	return nil
}

// LoadReport has no effect.
func (b *baseline) LoadReport(time.Time, dispatch.LoadReport) []dispatch.Action { return nil }

// Evidence returns an empty report: the baseline's hosts decide alone.
func (b *baseline) Evidence(time.Time) health.Evidence { return health.Evidence{} }

// Merge has no effect.
func (b *baseline) Merge(time.Time, health.Evidence) []dispatch.Action { return nil }

// Tick returns targets whose ejection time is over, at most once per sweep.
func (b *baseline) Tick(now time.Time) []dispatch.Action {
	if now.Before(b.nextSweep) {
		return nil
	}
	b.nextSweep = now.Add(baselineSweep)
	var actions []dispatch.Action
	for _, c := range b.cfg.Targets {
		t := b.targets[c.ID]
		if !t.ejected || now.Before(t.until) {
			continue
		}
		t.ejected = false
		actions = append(actions, dispatch.Record{Kind: event.TargetReturned, Fields: []event.Field{event.F("target", c.ID)}})
	}
	return actions
}

// NextTick returns the time of the next sweep.
func (b *baseline) NextTick(time.Time) time.Time { return b.nextSweep }

// Status returns the state of every target in document order.
func (b *baseline) Status() []dispatch.TargetStatus {
	list := make([]dispatch.TargetStatus, 0, len(b.cfg.Targets))
	for _, c := range b.cfg.Targets {
		t := b.targets[c.ID]
		s := dispatch.TargetStatus{Status: health.Status{Target: c.ID, Weight: 1}, InFlight: t.inFlight}
		if t.ejected {
			s.State, s.Weight = health.Ejected, 0
		}
		list = append(list, s)
	}
	return list
}
