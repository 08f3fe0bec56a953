// Package health decides which targets of one service are in rotation on one
// host.
package health

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Target is a target whose health is tracked.
type Target struct {
	ID       ident.TargetID
	Location ident.Location
	Slots    int
}

// ClassFloor is the floor of one request class.
type ClassFloor struct {
	Class ident.ClassName
	// Floor is the fraction of the declared slots, 0 to 1, below which ejection
	// never takes the capacity in rotation.
	Floor float64
}

// Config is the health policy of one service.
type Config struct {
	Service ident.ServiceName
	Targets []Target
	Floors  []ClassFloor
	// Balance weighs detection time against false ejections: 0 to 1, where 1
	// weighs only detection time.
	Balance float64
	// ProbeInterval is the time between two probes of one target; 0 disables
	// probes.
	ProbeInterval time.Duration
	// IdempotentTrials tells that the service has an idempotent class whose
	// requests can test an ejected target; otherwise only probes do.
	IdempotentTrials bool
}

// Attempt is the start of an attempt.
type Attempt struct {
	ID     ident.AttemptID
	Target ident.TargetID
	Class  ident.ClassName
	// Fresh tells that the attempt uses a new connection.
	Fresh bool
	// Trial tells that the target is ejected and the attempt tests its return.
	Trial bool
}

// Member is a target in the rotation of a class.
type Member struct {
	Target ident.TargetID
	// Weight is the share of the target's slots that is in use during a ramp,
	// above 0 and up to 1.
	Weight float64
}

// Change is a state change of a target for the timeline.
type Change struct {
	Kind   event.Kind
	Target ident.TargetID
	Fields []event.Field
}

// State is the rotation state of a target.
type State int

// States of a target.
const (
	Healthy State = iota
	// Excluded: left out by this host alone.
	Excluded
	// Ejected: left out by agreement of the serving hosts' evidence.
	Ejected
	// Ramping: back in rotation with a growing weight.
	Ramping
	// Draining: the target announced that it drains.
	Draining
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"healthy", "excluded", "ejected", "ramping", "draining"}[s]
}

// Status is the state of one target.
type Status struct {
	Target ident.TargetID
	State  State
	Weight float64
	// Score is the sequential test's statistic, 0 when nothing speaks against
	// the target.
	Score float64
}

// Tracker holds the health of a service's targets on one host. It is not safe
// for concurrent use.
type Tracker struct {
	cfg      Config
	targets  map[ident.TargetID]*target
	attempts map[ident.AttemptID]*target
	version  uint64
	rotation []Member
}

type target struct {
	Target
	consecutive int
	ejectedTill time.Time
}

const (
	ejectAfter = 5
	ejectFor   = 10 * time.Second
)

// New returns a tracker for the targets of cfg. The seed fixes every random
// choice.
func New(now time.Time, cfg Config, self ident.HostID, seed uint64) *Tracker {
	t := &Tracker{targets: map[ident.TargetID]*target{}, attempts: map[ident.AttemptID]*target{}}
	t.Configure(now, cfg)
	return t
}

// Configure replaces the policy and the set of targets; state of targets that
// stay is kept.
func (t *Tracker) Configure(now time.Time, cfg Config) []Change {
	t.cfg = cfg
	current := map[ident.TargetID]*target{}
	for _, c := range cfg.Targets {
		known := t.targets[c.ID]
		if known == nil {
			known = &target{}
		}
		known.Target = c
		current[c.ID] = known
	}
	t.targets = current
	t.rebuild(now)
	return nil
}

// Started records the start of an attempt.
func (t *Tracker) Started(_ time.Time, a Attempt) {
	if target := t.targets[a.Target]; target != nil {
		t.attempts[a.ID] = target
	}
}

// Finished records the end of an attempt.
func (t *Tracker) Finished(now time.Time, id ident.AttemptID, res attempt.Result) []Change {
	target := t.attempts[id]
	if target == nil {
		return nil
	}
	delete(t.attempts, id)
	switch res.Kind {
	case attempt.Answered:
		target.consecutive = 0
	case attempt.ServerError, attempt.DialFailed, attempt.TimedOut, attempt.ConnectionLost, attempt.BadAnswer:
		target.consecutive++
	}
	if target.consecutive < ejectAfter {
		return nil
	}
	target.consecutive = 0
	target.ejectedTill = now.Add(ejectFor)
	t.rebuild(now)
	return []Change{{Kind: event.TargetEjected, Target: target.ID, Fields: []event.Field{event.F("evidence", "consecutive failures")}}}
}

// Probed records the end of a probe.
func (t *Tracker) Probed(time.Time, ident.TargetID, bool, time.Duration) []Change { return nil }

// Drain records that a target announced draining, or with draining false that
// it stopped doing so.
func (t *Tracker) Drain(time.Time, ident.TargetID, bool) []Change { return nil }

// Tick advances ejections, ramps and the age of attempts in flight.
func (t *Tracker) Tick(now time.Time) []Change {
	var changes []Change
	for _, target := range t.targets {
		if !target.ejectedTill.IsZero() && !now.Before(target.ejectedTill) {
			target.ejectedTill = time.Time{}
			changes = append(changes, Change{Kind: event.TargetReturned, Target: target.ID})
		}
	}
	if changes != nil {
		t.rebuild(now)
	}
	return changes
}

// Rotation returns the targets that may get requests of a class, and a version
// that changes whenever a rotation changes. The slice is shared: callers must
// not modify it.
func (t *Tracker) Rotation(ident.ClassName) ([]Member, uint64) { return t.rotation, t.version }

// Trials returns the ejected targets that a trial request or probe may test now.
func (t *Tracker) Trials(time.Time) []ident.TargetID { return nil }

// Status returns the state of every target in document order.
func (t *Tracker) Status() []Status {
	var list []Status
	for _, c := range t.cfg.Targets {
		target := t.targets[c.ID]
		s := Status{Target: c.ID, Weight: 1, Score: float64(target.consecutive)}
		if !target.ejectedTill.IsZero() {
			s.State, s.Weight = Ejected, 0
		}
		list = append(list, s)
	}
	return list
}

func (t *Tracker) rebuild(time.Time) {
	t.version++
	t.rotation = make([]Member, 0, len(t.cfg.Targets))
	for _, c := range t.cfg.Targets {
		if t.targets[c.ID].ejectedTill.IsZero() {
			t.rotation = append(t.rotation, Member{Target: c.ID, Weight: 1})
		}
	}
}
