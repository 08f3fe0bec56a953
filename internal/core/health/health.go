package health

import (
	"cmp"
	"math/rand/v2"
	"slices"
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

func (s State) inRotation() bool { return s == Healthy || s == Ramping }

func (s State) removed() bool { return s == Excluded || s == Ejected }

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
	cfg       Config
	self      ident.HostID
	rng       *rand.Rand
	threshold float64

	targets map[ident.TargetID]*target
	// order holds the targets in document order.
	order []*target
	// unsettled holds the targets that are not Healthy, in document order.
	unsettled []*target
	attempts  map[ident.AttemptID]*openAttempt
	open      openList
	// overdue holds the targets with pending evidence at the last tick.
	overdue []*target
	// late is scratch space of a tick.
	late []*openAttempt

	groups   map[ident.Location]*group
	profiles map[ident.ClassName]int
	total    sums
	recent   ring
	starts   startLog
	// landmark is the time of weight 1 of the forward-decayed sums.
	landmark int64
	// now is the time of the last tick, result, probe or report.
	now int64

	reporters map[ident.HostID]*reporter
	sequence  uint64

	// failingProbes is the number of targets whose last probe failed.
	failingProbes int

	dirty     bool
	version   uint64
	rotation  []Member
	rotations map[ident.ClassName][]Member
}

// target is the state of one target. Times are in nanoseconds since the Unix
// epoch.
type target struct {
	Target
	index int
	state State
	// weight is 1 when Healthy, the ramp's weight when Ramping, otherwise 0.
	weight float64
	group  *group
	sums   sums
	stat   statistic
	// probeScore is the bounded evidence of failing probes.
	probeScore float32
	pending    pending
	// open is the number of attempts in flight, answered the number of responses.
	open, answered uint32
	suspectTill    int64
	// answeredAt is the time of the last response.
	answeredAt int64
	// unansweredAt is the time of the last attempt that ended without one.
	unansweredAt int64
	claims       []claim

	probe probeState

	// Removal and return.
	level           float32
	removedScore    float32
	removedAttempts uint32
	removedAt       int64
	returnedAt      int64
	until           int64
	rampFrom        int64
	trialAt         int64
	trialExcess     float32
	successes       uint16
	trialOpen       bool
	// trialsNeeded is the number of trials in a row that return the target, and
	// maxExcess the mean log latency above the baseline at which they fail.
	trialsNeeded uint16
	maxExcess    float32
	// adopted tells that the target was removed on the evidence of other hosts.
	adopted bool
	// unseen tells that probes passed when the target was removed and that no
	// other trial tests its return.
	unseen bool

	// Draining. drainSeen: this host saw it; drainedRemoved: the target was removed before.
	drainSeen, drainedRemoved             bool
	drainTill, undrainedAt, drainResponse int64
}

// New returns a tracker for the targets of cfg. The seed fixes every random
// choice.
func New(now time.Time, cfg Config, self ident.HostID, seed uint64) *Tracker {
	t := &Tracker{
		self:      self,
		rng:       rand.New(rand.NewPCG(seed, 2)),
		targets:   map[ident.TargetID]*target{},
		attempts:  map[ident.AttemptID]*openAttempt{},
		groups:    map[ident.Location]*group{},
		profiles:  map[ident.ClassName]int{},
		recent:    newRing(recentOutcomes),
		landmark:  now.UnixNano(),
		reporters: map[ident.HostID]*reporter{},
	}
	t.Configure(now, cfg)
	return t
}

// Configure replaces the policy and the set of targets; state of targets that
// stay is kept. Targets that are added to others start with a ramp.
func (t *Tracker) Configure(now time.Time, cfg Config) []Change {
	at := now.UnixNano()
	t.cfg = cfg
	t.threshold = threshold(clampUnit(cfg.Balance))
	previous := t.targets
	first := !slices.ContainsFunc(cfg.Targets, func(c Target) bool { return previous[c.ID] != nil })
	t.targets = make(map[ident.TargetID]*target, len(cfg.Targets))
	t.order = make([]*target, 0, len(cfg.Targets))
	t.unsettled = nil
	for _, c := range cfg.Targets {
		if t.targets[c.ID] != nil {
			continue
		}
		known := previous[c.ID]
		if known == nil {
			known = &target{state: Healthy, weight: 1, returnedAt: at}
			if !first {
				known.state = Ramping
				known.weight = 1.0 / rampSteps
				known.rampFrom = at
			}
		}
		known.Target = c
		known.index = len(t.order)
		t.targets[c.ID] = known
		t.order = append(t.order, known)
		if known.state != Healthy {
			t.unsettled = append(t.unsettled, known)
		}
	}
	t.dropUnknown()
	t.regroup()
	t.dirty = true
	t.rebuildIfDirty()
	return nil
}

// dropUnknown forgets the open attempts, results and claims of targets that
// left the configuration.
func (t *Tracker) dropUnknown() {
	gone := func(target *target) bool { return t.targets[target.ID] != target }
	for a := t.open.first; a != nil; {
		next := a.next
		if gone(a.target) {
			t.open.remove(a)
			delete(t.attempts, a.id)
		}
		a = next
	}
	t.overdue = slices.DeleteFunc(t.overdue, gone)
	t.failingProbes = 0
	for _, target := range t.order {
		t.countFailing(false, target.probe.failing)
	}
	for _, r := range t.reporters {
		r.targets = slices.DeleteFunc(r.targets, gone)
	}
	dropSamples(&t.recent, gone)
	for _, g := range t.groups {
		dropSamples(&g.recent, gone)
	}
}

func dropSamples(r *ring, gone func(*target) bool) {
	for i := range r.samples {
		if s := &r.samples[i]; s.target != nil && gone(s.target) {
			*s = sample{ended: s.ended}
		}
	}
}

// Started records the start of an attempt.
func (t *Tracker) AttemptStarted(now time.Time, a Attempt) {
	target := t.targets[a.Target]
	if target == nil || t.attempts[a.ID] != nil {
		return
	}
	open := &openAttempt{
		id: a.ID, target: target, started: now.UnixNano(), answered: target.answered,
		profile: uint8(t.profile(a.Class, a.Fresh)), fresh: a.Fresh, trial: a.Trial,
	}
	t.attempts[a.ID] = open
	t.open.push(open)
	target.open++
	if a.Trial {
		target.trialOpen = true
		target.trialAt = open.started
	}
}

// Finished records the end of an attempt.
func (t *Tracker) AttemptFinished(now time.Time, id ident.AttemptID, res attempt.Result) []Change {
	a := t.attempts[id]
	if a == nil {
		return nil
	}
	t.now = now.UnixNano()
	delete(t.attempts, id)
	t.open.remove(a)
	a.target.open--
	// The result tells more than the request: a reused connection may have been
	// asked for and none found, and an attempt that could not connect had none.
	if res.FreshConnection || res.Kind == attempt.DialFailed {
		a.fresh = true
		a.profile |= 1
	}
	changes := t.finish(now.UnixNano(), a, res)
	t.rebuildIfDirty()
	return changes
}

// Tick advances ejections, ramps and the age of attempts in flight.
func (t *Tracker) Tick(now time.Time) []Change {
	at := now.UnixNano()
	t.now = at
	var changes []Change
	for _, target := range t.age(at) {
		changes = append(changes, t.evaluate(at, target)...)
	}
	for _, target := range t.probedOnClaim(at) {
		changes = append(changes, t.evaluate(at, target)...)
	}
	for _, target := range slices.Clone(t.unsettled) {
		changes = append(changes, t.advance(at, target)...)
	}
	t.rebuildIfDirty()
	return changes
}

// Intervals of Tick.
const (
	tickOpen  = 100 * time.Millisecond
	tickState = 250 * time.Millisecond
	tickIdle  = time.Second
)

// NextTick returns the time of the next Tick that can have an effect. With
// attempts in flight it is soon enough to see a target that stops responding.
func (t *Tracker) NextTick(now time.Time) time.Time {
	switch {
	case t.open.first != nil || t.claimed(now.UnixNano()):
		return now.Add(tickOpen)
	case len(t.unsettled) > 0:
		return now.Add(tickState)
	default:
		return now.Add(tickIdle)
	}
}

// Status returns the state of every target in document order.
func (t *Tracker) Status() []Status {

	list := make([]Status, 0, len(t.order))
	for _, target := range t.order {
		s := Status{Target: target.ID, State: target.state, Weight: target.weight, Score: t.rawScore(t.now, target)}
		if target.state.removed() {
			s.Score = max(s.Score, float64(target.removedScore))
		}
		list = append(list, s)
	}
	return list
}

func byIndex(a, b *target) int { return cmp.Compare(a.index, b.index) }

// setState changes the state of a target and marks the rotations for a rebuild.
func (t *Tracker) setState(target *target, state State) {
	if (target.state == Healthy) != (state == Healthy) {
		i, found := slices.BinarySearchFunc(t.unsettled, target, byIndex)
		if found {
			t.unsettled = slices.Delete(t.unsettled, i, i+1)
		} else {
			t.unsettled = slices.Insert(t.unsettled, i, target)
		}
	}
	target.state = state
	target.weight = 0
	if state == Healthy {
		target.weight = 1
	}
	t.dirty = true
}
