package schedule

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/gray"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
)

// Observation is the outcomes of a host's requests at a target since its last
// message, and the number of its requests that are running there.
type Observation struct {
	Target ident.TargetID
	// Started is the number of attempts that began.
	Started   int
	Successes int
	Failures  int
	InFlight  int
}

// Observations is what a host saw since its last message.
type Observations struct {
	Targets []Observation
	// Ended is the number of requests that ended, and Unserved of those that were
	// not served.
	Ended, Unserved int
}

// Scheduler decides for one service on one host.
type Scheduler struct {
	cfg  dispatch.Config
	self dispatch.Self
	now  time.Time

	targets map[ident.TargetID]*target
	order   []*target
	classes map[ident.ClassName]*class
	budget  *retry.Window
	model   *gray.Model

	requests map[ident.RequestID]*request
	attempts map[ident.AttemptID]*openAttempt
	lastID   ident.AttemptID
	// waiting holds the requests that wait for a slot: by priority, then those
	// that wait for another attempt, then by arrival.
	waiting []*request
	// urgent tells that an observation should reach the other hosts at once.
	urgent bool
	// outcomes counts the requests that ended, those of other hosts included.
	outcomes tally
	// unsettled tells that the outcomes that are known say too little, until some
	// time after the next request, which is unsettledUntil.
	unsettled      bool
	unsettledUntil time.Time
	// ended and unserved are not yet reported to the other hosts: the requests that
	// ended here, and those of them that were not served.
	ended, unserved int
	// proven tells that some target answered a request.
	proven bool
	// sound is the number of sound targets as of the last selection, inUse that of
	// those that are used, and short tells that these are too few.
	sound, inUse int
	short        bool
	actions      []dispatch.Action
}

// class is a request class with what is known of its response times.
type class struct {
	dispatch.Class
	service limit.ServiceTime
}

// target is a target with what this host knows about it.
type target struct {
	dispatch.Target
	distance balance.Distance
	inFlight int
	belief   gray.Belief
	pace     gray.LatencyRatio
	limit    limit.Adaptive
	reported balance.OtherLoad
	// seen tells that some host had a response of the target.
	seen bool
	// affinity orders targets that are alike, differently on each host: 0 to 1.
	affinity float64
	// joined tells that the target was added while others were in use.
	joined bool
	// knownAt is the time at which the target was added.
	knownAt time.Time
	// lastUsed is the time of the latest request there that is known of.
	lastUsed time.Time
	// failedAt is the time of the latest failure there that is known of.
	failedAt time.Time
	// refusedUntil is the end of a hold after the target said that it drains or
	// that its address belongs to another one, or could not be reached.
	refusedUntil time.Time
	// dialFailures counts the failed connections since the last response.
	dialFailures int
	// avoided tells that the target is taken to be failing.
	avoided bool
	// idle holds the times since which connections to the target are idle, as far
	// as this host can tell, the latest last.
	idle []time.Time
	// successes and failures are not yet reported to the other hosts; changed
	// tells that the number in flight is not.
	started, successes, failures int
	changed                      bool
}

type request struct {
	dispatch.Request
	class      *class
	idempotent bool
	attempts   int
	// unsent is the number of attempts of which no byte was sent.
	unsent     int
	tried      []ident.TargetID
	mayHaveRun bool
	committed  bool
	canceled   bool
	// covers tells that it was sent to a target to keep the floor.
	covers  bool
	queued  bool
	arrived time.Time
	running ident.AttemptID
	last    ident.AttemptID
	result  dispatch.Result
}

type openAttempt struct {
	id      ident.AttemptID
	request *request
	target  *target
	started time.Time
	// overdue tells that its age was counted as a failure.
	overdue bool
}

// New returns a scheduler.
func New(now time.Time, cfg dispatch.Config, self dispatch.Self) *Scheduler {
	s := &Scheduler{
		self:     self,
		now:      now,
		targets:  map[ident.TargetID]*target{},
		classes:  map[ident.ClassName]*class{},
		budget:   retry.NewWindow(),
		model:    gray.NewModel(),
		requests: map[ident.RequestID]*request{},
		attempts: map[ident.AttemptID]*openAttempt{},
	}
	s.Configure(now, cfg)
	return s
}

// Configure puts a configuration in force. State of targets and classes that
// stay is kept; requests that run finish.
func (s *Scheduler) Configure(now time.Time, cfg dispatch.Config) []dispatch.Action {
	s.cfg = cfg
	if s.cfg.QueueLength == 0 {
		s.cfg.QueueLength = dispatch.DefaultQueueLength
	}
	s.budget.Configure(cfg.RetryWindow, max(0, cfg.RetryBudget), cfg.RetryAllowance)
	s.configureClasses()
	s.configureTargets(now)
	for _, r := range slices.Clone(s.waiting) {
		if c := s.classes[r.class.Name]; c != nil {
			r.class = c
		}
	}
	return s.settle(now)
}

func (s *Scheduler) configureClasses() {
	old := s.classes
	s.classes = map[ident.ClassName]*class{}
	for _, cc := range s.cfg.Classes {
		if cc.Deadline <= 0 {
			cc.Deadline = dispatch.DefaultDeadline
		}
		if cc.MaxAttempts <= 0 {
			cc.MaxAttempts = dispatch.DefaultMaxAttempts
		}
		c := &class{Class: cc}
		if known := old[cc.Name]; known != nil {
			c.service = known.service
		} else {
			c.service = similar(old, cc)
		}
		s.classes[cc.Name] = c
	}
}

// similar returns what is known of the response times of a class with the same
// kind of requests: a new version of the configuration renames a class when it
// changes its timeout.
func similar(old map[ident.ClassName]*class, cc dispatch.Class) limit.ServiceTime {
	for _, c := range old {
		if c.Idempotent == cc.Idempotent && c.LargeBodies == cc.LargeBodies {
			return c.service
		}
	}
	return limit.ServiceTime{}
}

func (s *Scheduler) configureTargets(now time.Time) {
	old := s.targets
	s.targets = map[ident.TargetID]*target{}
	s.order = s.order[:0]
	for _, tc := range s.cfg.Targets {
		t := old[tc.ID]
		if t == nil || t.StartUnixMilli != tc.StartUnixMilli {
			t = &target{belief: gray.NewBelief(now, s.model), limit: limit.NewAdaptive(now, tc.Slots), knownAt: now, joined: s.proven, affinity: affinity(s.self.Host, tc.ID)}
		}
		t.Target = tc
		t.distance = balance.DistanceBetween(s.self.Location, tc.Location)
		t.limit.SetSlots(now, tc.Slots)
		s.targets[tc.ID] = t
		s.order = append(s.order, t)
	}
}

// affinity is a hash of a host and a target, 0 to 1.
func affinity(host ident.HostID, target ident.TargetID) float64 {
	h := fnv.New64a()
	h.Write([]byte(host))
	h.Write([]byte{0})
	h.Write([]byte(target))
	// The low bits of this hash mix better than the high ones.
	return float64(h.Sum64()%affinitySteps) / affinitySteps
}

const affinitySteps = 1 << 16

func (s *Scheduler) emit(a dispatch.Action) { s.actions = append(s.actions, a) }

// settle starts what can be started after an event and returns the actions.
func (s *Scheduler) settle(now time.Time) []dispatch.Action {
	s.now = now
	s.serve(now)
	actions := s.actions
	s.actions = nil
	return actions
}

// Observe takes what another host saw at the service's targets.
func (s *Scheduler) Observe(now time.Time, from ident.HostID, seen Observations) []dispatch.Action {
	s.outcomes.add(now, seen.Ended, min(seen.Unserved, seen.Ended))
	for _, o := range seen.Targets {
		t := s.targets[o.Target]
		if t == nil {
			continue
		}
		for range min(o.Failures, maxReported) {
			t.belief.Observe(now, true)
			t.failedAt = now
		}
		for range min(o.Successes, maxReported) {
			t.belief.Observe(now, false)
		}
		t.seen = t.seen || o.Successes > 0
		s.proven = s.proven || o.Successes > 0
		if o.Started > 0 {
			t.lastUsed = now
		}
		t.reported.FromPeer(now, from, float64(min(o.InFlight, t.Slots)))
		s.noteAvoided(now, t, "another host")
	}
	return s.settle(now)
}

// maxReported bounds the outcomes of one message that are counted.
const maxReported = 8

// Urgent reports whether an observation should reach the other hosts at once.
func (s *Scheduler) Urgent() bool { return s.urgent }

// TakeObservations returns what the other hosts do not know yet.
func (s *Scheduler) TakeObservations() Observations {
	out := Observations{Ended: s.ended, Unserved: s.unserved}
	s.ended, s.unserved = 0, 0
	for _, t := range s.order {
		if t.successes == 0 && t.failures == 0 && !t.changed {
			continue
		}
		out.Targets = append(out.Targets, Observation{Target: t.ID, Started: t.started, Successes: t.successes, Failures: t.failures, InFlight: t.inFlight})
		t.started, t.successes, t.failures, t.changed = 0, 0, 0, false
	}
	s.urgent = false
	return out
}

// LoadReport takes the load that a target states in a response.
func (s *Scheduler) LoadReport(now time.Time, r dispatch.LoadReport) []dispatch.Action {
	t := s.targets[r.Target]
	if t == nil {
		return nil
	}
	if r.Slots > 0 {
		t.reported.FromTarget(now, float64(min(r.InFlight-t.inFlight, t.Slots)))
	}
	if r.Draining && r.FromResponse {
		t.refusedUntil = now.Add(refusedHold)
	}
	return s.settle(now)
}

// noteAvoided records when the belief about a target crosses the line between
// well and failing.
func (s *Scheduler) noteAvoided(now time.Time, t *target, source string) {
	failing := t.belief.FailingProbability(now)
	switch {
	case !t.avoided && failing > 0.5:
		t.avoided = true
		s.record(event.TargetAvoided, t, event.F("failing", round(failing)), event.F("source", source))
	case t.avoided && failing < 0.25:
		t.avoided = false
		s.record(event.TargetTrusted, t, event.F("failing", round(failing)), event.F("source", source))
	}
}

func (s *Scheduler) record(kind event.Kind, t *target, fields ...event.Field) {
	s.emit(dispatch.Record{Kind: kind, Fields: append([]event.Field{event.F("service", s.cfg.Service), event.F("target", t.ID)}, fields...)})
}

func round(x float64) float64 { return float64(int(x*100+0.5)) / 100 }
