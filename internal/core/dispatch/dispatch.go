package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Dispatcher decides for one service on one host.
type Dispatcher struct {
	cfg      Config
	self     Self
	health   *health.Tracker
	rng      *rand.Rand
	targets  map[ident.TargetID]*target
	classes  map[ident.ClassName]Class
	requests map[ident.RequestID]*request
	attempts map[ident.AttemptID]*openAttempt
	lastID   ident.AttemptID
}

type target struct {
	Target
	inFlight int
}

type request struct {
	Request
	class    Class
	attempts int
	tried    map[ident.TargetID]bool
}

type openAttempt struct {
	request *request
	target  *target
}

// New returns a dispatcher. The seed fixes every random choice.
func New(now time.Time, cfg Config, self Self, seed uint64) *Dispatcher {
	d := &Dispatcher{
		self:     self,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		targets:  map[ident.TargetID]*target{},
		requests: map[ident.RequestID]*request{},
		attempts: map[ident.AttemptID]*openAttempt{},
	}
	d.health = health.New(now, healthConfig(cfg), self.Host, seed)
	d.Configure(now, cfg)
	return d
}

// Configure puts a new revision of the service's configuration in force.
func (d *Dispatcher) Configure(now time.Time, cfg Config) []Action {
	d.cfg = cfg
	d.classes = map[ident.ClassName]Class{}
	for _, c := range cfg.Classes {
		d.classes[c.Name] = c
	}
	current := map[ident.TargetID]*target{}
	for _, t := range cfg.Targets {
		known := d.targets[t.ID]
		if known == nil {
			known = &target{}
		}
		known.Target = t
		current[t.ID] = known
	}
	d.targets = current
	return d.record(d.health.Configure(now, healthConfig(cfg)))
}

func healthConfig(cfg Config) health.Config {
	hc := health.Config{Service: cfg.Service, Balance: cfg.Balance, ProbeInterval: cfg.ProbeInterval}
	for _, t := range cfg.Targets {
		hc.Targets = append(hc.Targets, health.Target{ID: t.ID, Location: t.Location, Slots: t.Slots})
	}
	for _, c := range cfg.Classes {
		hc.Floors = append(hc.Floors, health.ClassFloor{Class: c.Name, Floor: c.Floor})
		hc.IdempotentTrials = hc.IdempotentTrials || (c.Idempotent && !c.Upload)
	}
	return hc
}

func (d *Dispatcher) record(changes []health.Change) []Action {
	var actions []Action
	for _, c := range changes {
		fields := append([]event.Field{event.F("service", d.cfg.Service), event.F("target", c.Target)}, c.Fields...)
		actions = append(actions, Record{Kind: c.Kind, Fields: fields})
	}
	return actions
}

// Arrive admits a request or refuses it.
func (d *Dispatcher) Arrive(now time.Time, r Request) []Action {
	class, ok := d.classes[r.Class]
	if !ok {
		return []Action{Refuse{Request: r.ID, Reason: UnknownClass}}
	}
	req := &request{Request: r, class: class, tried: map[ident.TargetID]bool{}}
	start, ok := d.start(now, req)
	if !ok {
		return []Action{Refuse{Request: r.ID, Reason: NoTarget, RetryAfter: time.Second}}
	}
	d.requests[r.ID] = req
	return []Action{start}
}

// Finish reports the end of an attempt.
func (d *Dispatcher) Finish(now time.Time, id ident.AttemptID, res Result) []Action {
	a := d.attempts[id]
	if a == nil {
		return nil
	}
	delete(d.attempts, id)
	a.target.inFlight--
	actions := d.record(d.health.Finished(now, id, res))
	if res.Kind == attempt.Answered {
		delete(d.requests, a.request.ID)
		return append(actions, Complete{Request: a.request.ID, Attempt: id})
	}
	again := a.request.class.Idempotent || res.NotSent || res.NotRun
	if again && res.Kind != attempt.Canceled && a.request.attempts < a.request.class.MaxAttempts && now.Before(a.request.Deadline) {
		if start, ok := d.start(now, a.request); ok {
			return append(actions, start)
		}
	}
	delete(d.requests, a.request.ID)
	return append(actions, Fail{Request: a.request.ID, Attempt: id, Result: res, NotRun: res.NotSent || res.NotRun})
}

// Commit reports that the response of an attempt is being passed on: its
// request is not tried again.
func (d *Dispatcher) Commit(_ time.Time, id ident.AttemptID) []Action {
	if a := d.attempts[id]; a != nil {
		a.request.attempts = a.request.class.MaxAttempts
	}
	return nil
}

// Cancel reports that the caller is gone.
func (d *Dispatcher) Cancel(_ time.Time, id ident.RequestID) []Action {
	delete(d.requests, id)
	return nil
}

// ProbeResult reports the end of a probe.
func (d *Dispatcher) ProbeResult(time.Time, ident.TargetID, bool, time.Duration) []Action { return nil }

// LoadReport reports a target's load.
func (d *Dispatcher) LoadReport(time.Time, LoadReport) []Action { return nil }

// Evidence returns the report for the other serving hosts.
func (d *Dispatcher) Evidence(now time.Time) health.Evidence { return d.health.Evidence(now) }

// Merge takes the report of another serving host.
func (d *Dispatcher) Merge(now time.Time, e health.Evidence) []Action {
	return d.record(d.health.Merge(now, e))
}

// Tick advances timers.
func (d *Dispatcher) Tick(now time.Time) []Action { return d.record(d.health.Tick(now)) }

// NextTick returns the time of the next Tick that can have an effect.
func (d *Dispatcher) NextTick(now time.Time) time.Time { return now.Add(time.Second) }

// Status returns the state of every target in document order.
func (d *Dispatcher) Status() []TargetStatus {
	var list []TargetStatus
	for _, s := range d.health.Status() {
		list = append(list, TargetStatus{Status: s, InFlight: d.targets[s.Target].inFlight})
	}
	return list
}

func (d *Dispatcher) start(now time.Time, r *request) (Start, bool) {
	t := d.pick(r)
	if t == nil {
		return Start{}, false
	}
	d.lastID++
	r.attempts++
	r.tried[t.ID] = true
	t.inFlight++
	d.attempts[d.lastID] = &openAttempt{request: r, target: t}
	d.health.Started(now, health.Attempt{ID: d.lastID, Target: t.ID, Class: r.class.Name})
	timeout := min(r.class.AttemptTimeout, r.Deadline.Sub(now))
	return Start{Request: r.ID, Attempt: d.lastID, Target: t.ID, Timeout: timeout}, true
}

// pick takes the less loaded of two random candidates in the nearest location
// that has a free slot.
func (d *Dispatcher) pick(r *request) *target {
	var best []*target
	bestDistance := 4
	rotation, _ := d.health.Rotation(r.class.Name)
	for _, m := range rotation {
		t := d.targets[m.Target]
		if t.inFlight >= t.Slots || r.tried[t.ID] {
			continue
		}
		distance := d.distance(t)
		if distance < bestDistance {
			best, bestDistance = best[:0], distance
		}
		if distance == bestDistance {
			best = append(best, t)
		}
	}
	if len(best) == 0 {
		return nil
	}
	a, b := best[d.rng.IntN(len(best))], best[d.rng.IntN(len(best))]
	if b.inFlight < a.inFlight {
		return b
	}
	return a
}

func (d *Dispatcher) distance(t *target) int {
	switch {
	case t.Location.Zone == d.self.Location.Zone:
		return 0
	case t.Location.Region == d.self.Location.Region:
		return 1
	default:
		return 2
	}
}
