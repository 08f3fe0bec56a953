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
	// Floor is the fraction of the declared slots, 0 to 1, below which ejections
	// never reduce the capacity in rotation.
	Floor float64
}

// Config is the health policy of one service.
type Config struct {
	Service ident.ServiceName
	Targets []Target
	Floors  []ClassFloor
	// Balance is the trade-off between false ejections and detection time: from 0,
	// which minimizes false ejections, to 1, which minimizes detection time.
	Balance float64
	// ProbeInterval is the time between two probes of one target; 0 disables
	// probes.
	ProbeInterval time.Duration
	// IdempotentTrials reports whether the service has an idempotent class whose
	// requests can test an ejected target; otherwise only probes test it.
	IdempotentTrials bool
}

// Attempt is the start of an attempt.
type Attempt struct {
	ID     ident.AttemptID
	Target ident.TargetID
	Class  ident.ClassName
	// Fresh reports whether the attempt uses a new connection.
	Fresh bool
	// Trial reports whether the attempt tests a target that is out of rotation.
	Trial bool
}

// Member is a target in the rotation of a class.
type Member struct {
	Target ident.TargetID
	// Weight is the share of the target's slots that may be used, greater than 0
	// and at most 1. It is below 1 during a ramp.
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
	// Excluded targets were removed from rotation by this host alone.
	Excluded
	// Ejected targets were removed by agreement of several serving hosts.
	Ejected
	// Ramping targets are back in rotation with an increasing weight.
	Ramping
	// Draining targets announced that they drain.
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
	// Score is the test statistic, 0 without evidence against the target.
	Score float64
}

// Tracker tracks the health of a service's targets on one host. It is not safe for
// concurrent use.
type Tracker struct {
	cfg       Config
	self      ident.HostID
	rng       *rand.Rand
	threshold float64

	targets map[ident.TargetID]*target
	// order holds the targets in document order.
	order []*target
	// notHealthy holds the targets that are not Healthy, in document order.
	notHealthy []*target
	attempts   map[ident.AttemptID]*openAttempt
	open       openList
	// overdue holds the targets that had overdue attempts at the last tick.
	overdue []*target
	// lateAttempts is a buffer that is reused between ticks.
	lateAttempts []*openAttempt

	groups         map[ident.Location]*group
	latencyClasses map[ident.ClassName]int
	total          decayedSums
	recent         ring
	starts         startHistogram
	// landmark is the reference time of the forward decay, at which the weight is 1.
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
	// weight is 1 when Healthy, the weight of the ramp when Ramping, otherwise 0.
	weight      float64
	group       *group
	decayedSums decayedSums
	cusum       cusumState
	// probeScore is the bounded evidence of failing probes.
	probeScore      float32
	pendingEvidence pendingEvidence
	// open is the number of attempts in flight, responses the number of responses.
	open, responses uint32
	suspectUntil    int64
	// answeredAt is the time of the last response.
	answeredAt int64
	// unansweredAt is the end of the last attempt without a response.
	unansweredAt int64
	claims       []claim

	probe probeState

	// Removal and return.
	penaltyLevel    float32
	removedScore    float32
	removedAttempts uint32
	removedAt       int64
	returnedAt      int64
	penaltyUntil    int64
	rampStart       int64
	trialStart      int64
	trialExcessSum  float32
	trialSuccesses  uint16
	trialInFlight   bool
	// trialsNeeded is the number of consecutive successful trials that return the
	// target, and maxExcess the mean log latency above the baseline from which they
	// fail.
	trialsNeeded uint16
	maxExcess    float32
	// removedByPeers reports whether the target was removed on the evidence of other
	// hosts alone.
	removedByPeers bool
	// undetectedByProbes reports whether probes passed when the target was removed
	// and only probes test its return.
	undetectedByProbes bool

	// Draining. drainObserved reports whether this host itself observed it, and
	// removedBeforeDrain whether the target had been removed before it drained.
	drainObserved, removedBeforeDrain        bool
	drainUntil, undrainedAt, drainResponseAt int64
}

// New returns a tracker for the targets of cfg. Random choices are determined by
// seed.
func New(now time.Time, cfg Config, self ident.HostID, seed uint64) *Tracker {
	t := &Tracker{
		self:           self,
		rng:            rand.New(rand.NewPCG(seed, 2)),
		targets:        map[ident.TargetID]*target{},
		attempts:       map[ident.AttemptID]*openAttempt{},
		groups:         map[ident.Location]*group{},
		latencyClasses: map[ident.ClassName]int{},
		recent:         newRing(recentOutcomes),
		landmark:       now.UnixNano(),
		reporters:      map[ident.HostID]*reporter{},
	}
	t.Configure(now, cfg)
	return t
}

// Configure replaces the policy and the set of targets. The state of remaining
// targets is kept. Added targets start with a ramp, unless no target remains. The
// result is always nil: Configure reports no changes.
func (t *Tracker) Configure(now time.Time, cfg Config) []Change {
	at := now.UnixNano()
	t.cfg = cfg
	t.threshold = threshold(clampUnit(cfg.Balance))
	previous := t.targets
	first := !slices.ContainsFunc(cfg.Targets, func(c Target) bool { return previous[c.ID] != nil })
	t.targets = make(map[ident.TargetID]*target, len(cfg.Targets))
	t.order = make([]*target, 0, len(cfg.Targets))
	t.notHealthy = nil
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
				known.rampStart = at
			}
		}
		known.Target = c
		known.index = len(t.order)
		t.targets[c.ID] = known
		t.order = append(t.order, known)
		if known.state != Healthy {
			t.notHealthy = append(t.notHealthy, known)
		}
	}
	t.dropRemovedTargets()
	t.regroup()
	t.dirty = true
	t.rebuildIfDirty()
	return nil
}

// dropRemovedTargets deletes the attempts in flight, recent results and claims of
// targets that are no longer configured.
func (t *Tracker) dropRemovedTargets() {
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
		t.updateFailingProbes(false, target.probe.failing)
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

// AttemptStarted records the start of an attempt.
func (t *Tracker) AttemptStarted(now time.Time, a Attempt) {
	target := t.targets[a.Target]
	if target == nil || t.attempts[a.ID] != nil {
		return
	}
	open := &openAttempt{
		id: a.ID, target: target, started: now.UnixNano(), responses: target.responses,
		latencyClass: uint8(t.latencyClass(a.Class, a.Fresh)), fresh: a.Fresh, trial: a.Trial,
	}
	t.attempts[a.ID] = open
	t.open.push(open)
	target.open++
	if a.Trial {
		target.trialInFlight = true
		target.trialStart = open.started
	}
}

// AttemptFinished records the end of an attempt.
func (t *Tracker) AttemptFinished(now time.Time, id ident.AttemptID, res attempt.Result) []Change {
	a := t.attempts[id]
	if a == nil {
		return nil
	}
	t.now = now.UnixNano()
	delete(t.attempts, id)
	t.open.remove(a)
	a.target.open--
	// The result overrides the request: an attempt may have used a new connection
	// because no idle one was available, and a failed dial used none.
	if res.FreshConnection || res.Kind == attempt.DialFailed {
		a.fresh = true
		a.latencyClass |= 1
	}
	changes := t.finishAttempt(now.UnixNano(), a, res)
	t.rebuildIfDirty()
	return changes
}

// Tick updates the evidence of attempts in flight and advances ejections and ramps.
func (t *Tracker) Tick(now time.Time) []Change {
	at := now.UnixNano()
	t.now = at
	var changes []Change
	for _, target := range t.updatePending(at) {
		changes = append(changes, t.evaluate(at, target)...)
	}
	for _, target := range t.silentClaimed(at) {
		changes = append(changes, t.evaluate(at, target)...)
	}
	for _, target := range slices.Clone(t.notHealthy) {
		changes = append(changes, t.advanceState(at, target)...)
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

// NextTick returns the time of the next Tick that can have an effect. With attempts
// in flight it is early enough to detect a target that stops responding.
func (t *Tracker) NextTick(now time.Time) time.Time {
	switch {
	case t.open.first != nil || t.hasRecentClaims(now.UnixNano()):
		return now.Add(tickOpen)
	case len(t.notHealthy) > 0:
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
		i, found := slices.BinarySearchFunc(t.notHealthy, target, byIndex)
		if found {
			t.notHealthy = slices.Delete(t.notHealthy, i, i+1)
		} else {
			t.notHealthy = slices.Insert(t.notHealthy, i, target)
		}
	}
	target.state = state
	target.weight = 0
	if state == Healthy {
		target.weight = 1
	}
	t.dirty = true
}
