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
	baselineConsecutiveFailures = 5
	baselineSweepInterval       = 10 * time.Second
	baselineMaxEjectedPercent   = 10
	baselineBaseEjectionTime    = 30 * time.Second
	baselineMaxAttempts         = 2
)

// baseline is a Decider that ejects a target after consecutive failures, for a
// base time multiplied by the number of its ejections, and selects targets round
// robin. It uses no evidence, probes or load reports, and its only capacity floor
// is the bound on the ejected share.
type baseline struct {
	cfg        dispatch.Config
	targets    map[ident.TargetID]*baselineTarget
	classes    map[ident.ClassName]dispatch.Class
	attempts   map[ident.AttemptID]baselineAttempt
	requests   map[ident.RequestID]*baselineRequest
	nextTarget int
	lastID     ident.AttemptID
	nextSweep  time.Time
}

type baselineTarget struct {
	failures     int
	ejections    int
	ejected      bool
	ejectedUntil time.Time
	inFlight     int
}

type baselineRequest struct {
	dispatch.Request
	class      dispatch.Class
	attempts   int
	lastTarget ident.TargetID
}

type baselineAttempt struct {
	request  *baselineRequest
	targetID ident.TargetID
	target   *baselineTarget
}

func newBaseline(now time.Time, cfg dispatch.Config, _ dispatch.Self, seed uint64) Decider {
	b := &baseline{
		targets:   map[ident.TargetID]*baselineTarget{},
		attempts:  map[ident.AttemptID]baselineAttempt{},
		requests:  map[ident.RequestID]*baselineRequest{},
		nextSweep: now.Add(baselineSweepInterval),
	}
	b.Configure(now, cfg)
	// Each host starts at a different position; otherwise all hosts would send
	// their first requests to the same target.
	b.nextTarget = int(seed % uint64(max(len(cfg.Targets), 1)))
	return b
}

// Configure replaces the targets and classes and keeps the state of the targets
// that remain.
func (b *baseline) Configure(_ time.Time, cfg dispatch.Config) []dispatch.Action {
	b.cfg = cfg
	b.classes = map[ident.ClassName]dispatch.Class{}
	for _, c := range cfg.Classes {
		b.classes[c.Name] = c
	}
	current := map[ident.TargetID]*baselineTarget{}
	for _, t := range cfg.Targets {
		state := b.targets[t.ID]
		if state == nil {
			state = &baselineTarget{}
		}
		current[t.ID] = state
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
	start, ok := b.startAttempt(now, req)
	if !ok {
		return []dispatch.Action{dispatch.Refuse{Request: r.ID, Reason: dispatch.NoTarget}}
	}
	b.requests[r.ID] = req
	return []dispatch.Action{start}
}

func (b *baseline) startAttempt(now time.Time, r *baselineRequest) (dispatch.Start, bool) {
	id, target := b.pickTarget(r)
	if target == nil {
		return dispatch.Start{}, false
	}
	b.lastID++
	r.attempts++
	r.lastTarget = id
	target.inFlight++
	b.attempts[b.lastID] = baselineAttempt{request: r, targetID: id, target: target}
	timeout := min(r.class.AttemptTimeout, r.Deadline.Sub(now))
	return dispatch.Start{Request: r.ID, Attempt: b.lastID, Target: id, Timeout: timeout}, true
}

// pickTarget returns the next target in rotation. A retry avoids the target of the
// previous attempt if there is another one.
func (b *baseline) pickTarget(r *baselineRequest) (ident.TargetID, *baselineTarget) {
	n := len(b.cfg.Targets)
	var fallbackID ident.TargetID
	var fallback *baselineTarget
	for range n {
		candidate := b.cfg.Targets[b.nextTarget%n].ID
		b.nextTarget = (b.nextTarget + 1) % n
		t := b.targets[candidate]
		if t.ejected {
			continue
		}
		if candidate != r.lastTarget {
			return candidate, t
		}
		fallbackID, fallback = candidate, t
	}
	return fallbackID, fallback
}

// Finish ends an attempt and retries an idempotent request once.
func (b *baseline) Finish(now time.Time, id ident.AttemptID, res dispatch.Result) []dispatch.Action {
	att, ok := b.attempts[id]
	if !ok {
		return nil
	}
	delete(b.attempts, id)
	att.target.inFlight--
	actions := b.recordResult(now, att, res)
	r := att.request
	if b.requests[r.ID] == nil {
		return actions
	}
	if res.Kind == attempt.Answered {
		delete(b.requests, r.ID)
		return append(actions, dispatch.Complete{Request: r.ID, Attempt: id})
	}
	if r.class.Idempotent && r.attempts < baselineMaxAttempts && now.Before(r.Deadline) {
		if start, ok := b.startAttempt(now, r); ok {
			return append(actions, start)
		}
	}
	delete(b.requests, r.ID)
	return append(actions, dispatch.Fail{Request: r.ID, Attempt: id, Result: res, NotRun: res.NotSent || res.NotRun})
}

func (b *baseline) recordResult(now time.Time, att baselineAttempt, res dispatch.Result) []dispatch.Action {
	switch res.Kind {
	case attempt.Answered:
		att.target.failures = 0
	case attempt.ServerError, attempt.DialFailed, attempt.TimedOut, attempt.ConnectionLost, attempt.BadAnswer, attempt.Shed, attempt.Draining:
		att.target.failures++
	}
	if att.target.failures < baselineConsecutiveFailures || att.target.ejected || !b.canEject() {
		return nil
	}
	att.target.failures = 0
	att.target.ejected = true
	att.target.ejections++
	att.target.ejectedUntil = now.Add(time.Duration(att.target.ejections) * baselineBaseEjectionTime)
	return []dispatch.Action{dispatch.Record{Kind: event.TargetEjected, Fields: []event.Field{event.F("target", att.targetID)}}}
}

// canEject reports whether one more ejection stays within the bound on the ejected
// share. One target may always be ejected.
func (b *baseline) canEject() bool {
	ejected := 0
	for _, t := range b.targets {
		if t.ejected {
			ejected++
		}
	}
	return ejected < max(1, len(b.targets)*baselineMaxEjectedPercent/100)
}

// Cancel removes a request that its caller canceled.
func (b *baseline) Cancel(_ time.Time, id ident.RequestID) []dispatch.Action {
	delete(b.requests, id)
	return nil
}

// ProbeResult has no effect: the baseline sends no probes.
func (b *baseline) ProbeResult(time.Time, ident.TargetID, bool, time.Duration) []dispatch.Action {
	return nil
}

// LoadReport has no effect: the baseline does not use load.
func (b *baseline) LoadReport(time.Time, dispatch.LoadReport) []dispatch.Action { return nil }

// Evidence returns an empty report: baseline hosts exchange no evidence.
func (b *baseline) Evidence(time.Time) health.Evidence { return health.Evidence{} }

// Merge has no effect: baseline hosts exchange no evidence.
func (b *baseline) Merge(time.Time, health.Evidence) []dispatch.Action { return nil }

// Tick returns targets whose ejection time has passed to rotation, at most once
// per sweep interval.
func (b *baseline) Tick(now time.Time) []dispatch.Action {
	if now.Before(b.nextSweep) {
		return nil
	}
	b.nextSweep = now.Add(baselineSweepInterval)
	var actions []dispatch.Action
	for _, c := range b.cfg.Targets {
		t := b.targets[c.ID]
		if !t.ejected || now.Before(t.ejectedUntil) {
			continue
		}
		t.ejected = false
		actions = append(actions, dispatch.Record{Kind: event.TargetReturned, Fields: []event.Field{event.F("target", c.ID)}})
	}
	return actions
}

// NextTick returns the time of the next sweep.
func (b *baseline) NextTick(time.Time) time.Time { return b.nextSweep }

// Status returns the state of every target in configuration order.
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
