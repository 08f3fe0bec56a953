package schedule

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/admission"
	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/gray"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/locality"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
)

// Observation contains the outcomes of a host's requests at a target since its last
// message, and the number of its requests in flight there.
type Observation struct {
	Target ident.TargetID
	// Started is the number of attempts that were started.
	Started   int
	Successes int
	Failures  int
	InFlight  int
}

// Observations contains everything that a host observed since its last message.
type Observations struct {
	Targets []Observation
	// Ended is the number of requests that ended, and Unserved the number of those
	// that were not served. FloorUnserved is the number of requests that were sent to
	// maintain the floor and not served; the other two do not include them.
	Ended, Unserved, FloorUnserved int
	// Retries is the report on the retry budget.
	Retries retry.Report
	// Leaving lists the processes that the host heard to be leaving.
	Leaving []LeavingReport
	// CrossRegion counts the bytes exchanged with targets of other regions. It is only part
	// of the observations that TakeObservations returns.
	CrossRegion locality.Bytes
	// Demand is the report for the admission levels.
	Demand admission.Report
}

// Scheduler schedules the requests of one service on one host.
type Scheduler struct {
	cfg  dispatch.Config
	self dispatch.Self
	now  time.Time

	targets map[ident.TargetID]*target
	order   []*target
	// zones holds the locations of the targets, zonesVersion counts the configurations. A
	// request that runs keeps the class of an earlier one.
	zones        []ident.Location
	zonesVersion int
	// processes holds what the processes of targets said of themselves.
	processes processMemory
	// anyLeaving is set once a target has been leaving. leavingToReport are the processes
	// whose statement should be sent to the other hosts.
	anyLeaving      bool
	leavingToReport []*processState
	classes         map[ident.ClassName]*class
	// removedClasses holds the classes that are no longer configured, for requests that a
	// host accepted under the configuration before.
	removedClasses map[ident.ClassName]*class
	budget         *retry.SharedBudget
	model          *gray.Model

	requests map[ident.RequestID]*request
	attempts map[ident.AttemptID]*runningAttempt
	lastID   ident.AttemptID
	// pauses holds the processes whose pause has not been recorded as ended.
	pauses []*processState
	// waiting is the queue of requests without a slot, ordered by priority, then
	// retries before first attempts, then by arrival.
	waiting []*request
	// urgent is set if an observation should be sent to the other hosts at once.
	urgent bool
	// limitNews is set if a change of a limit should be reported to the allocator at once.
	limitNews bool
	// outcomes counts the requests that ended, including those of other hosts.
	outcomes outcomeCounter
	// hostLossPending is set by ReportHostLoss until the next request arrives;
	// hostLossFloorUntil is the end of the following period in which the floor is
	// active.
	hostLossPending    bool
	hostLossFloorUntil time.Time
	// ended, unserved and floorUnserved count the requests that ended on this host since
	// the last message to the other hosts, see Observations.
	ended, unserved, floorUnserved int
	// anyResponse is set once any target has answered a request.
	anyResponse bool
	// shares limits the traffic that leaves the zone, zoneShort is set while the zone is
	// known to be short of capacity. linkUtilization is that of the link between regions as of
	// linkUtilizationAt. crossRegion counts the bytes exchanged with other regions since the last
	// message to the other hosts.
	shares            locality.Shares
	zoneShort         bool
	linkUtilization   float64
	linkUtilizationAt time.Time
	crossRegion       locality.Bytes
	// admission decides which requests are admitted while capacity is short.
	admission *admission.Controller
	// healthyTargets is the number of healthy targets as of the last selection,
	// usedTargets the number of those that are in use; belowFloor is set if these
	// are too few, floorEnforced if the floor was active.
	healthyTargets, usedTargets int
	belowFloor, floorEnforced   bool
	actions                     []dispatch.Action
}

// class is a request class with its estimated response times.
type class struct {
	dispatch.Class
	serviceTime limit.ServiceTime
	traffic     locality.Traffic
	// distanceCosts are the costs of distance to each of Scheduler.zones in the given version,
	// as of distanceCostsAt.
	distanceCosts        []float64
	distanceCostsVersion int
	distanceCostsAt      time.Time
	// removedAt is the time at which the class was removed from the configuration.
	removedAt time.Time
}

// removedClassTime is the time for which a removed class still admits requests. It is longer
// than callers take to send the body of a request.
const removedClassTime = time.Minute

// target is a target with the state that this host keeps for it.
type target struct {
	dispatch.Target
	// process holds what the target's process said of itself.
	process  *processState
	distance balance.Distance
	// zone is the index of the target's location in Scheduler.zones.
	zone         int
	inFlight     int
	belief       gray.Belief
	latencyRatio gray.LatencyRatio
	// rejections is the share of the attempts that the target rejects.
	rejections rejectionShare
	limit      limit.Adaptive
	// rate holds the limit that the target states and this host's permits for it.
	// rateReportsLeft is the number of messages that still report it to the allocator,
	// rateReportedAt the time of the latest one. malformedRate is set if the latest
	// statement was malformed.
	rate            ratelimit.Holder
	rateReportsLeft int
	rateReportedAt  time.Time
	malformedRate   bool
	// malformedPauseAt is the time of the latest event for a malformed Retry-After.
	malformedPauseAt time.Time
	otherLoad        balance.OtherLoad
	// responded is set once the target has answered a request of any host.
	responded bool
	// affinity, 0 to 1, orders targets of equal cost differently on each host.
	affinity float64
	// joined is set if the target was added after others had been in use.
	joined bool
	// addedAt is the time at which the target was added.
	addedAt time.Time
	// lastUsed is the time of the latest known request to the target.
	lastUsed time.Time
	// failedAt is the time of the latest known failure of the target.
	failedAt time.Time
	// unavailableUntil is the time until which the target receives no requests
	// because it announced draining, its address belongs to another target, or it
	// could not be reached.
	unavailableUntil time.Time
	// dialFailures counts the failed dials since the last response.
	dialFailures int
	// avoided is set while the target is believed to be failing.
	avoided bool
	// idleSince holds the times at which connections to the target became idle, as
	// far as this host can tell, the latest last.
	idleSince []time.Time
	// started, successes and failures are the counts since the last message to the
	// other hosts; inFlightChanged is set if inFlight changed since then.
	started, successes, failures int
	inFlightChanged              bool
}

type request struct {
	dispatch.Request
	class      *class
	idempotent bool
	attempts   int
	// unsentAttempts is the number of attempts for which no byte was sent.
	unsentAttempts int
	// withdrawnAttempts is the number of those that were withdrawn because their target
	// asked for a pause.
	withdrawnAttempts int
	// askedPause is set if the target of the last attempt asked for a pause, before or after
	// the attempt was sent.
	askedPause bool
	tried      []ident.TargetID
	mayHaveRun bool
	committed  bool
	canceled   bool
	// forFloor is set if the request was sent to its target to maintain the floor.
	forFloor bool
	// deniedCounted is set once the request counted as demand for permits.
	deniedCounted bool
	queued        bool
	arrived       time.Time
	running       ident.AttemptID
	last          ident.AttemptID
	result        dispatch.Result
}

type runningAttempt struct {
	id      ident.AttemptID
	request *request
	target  *target
	started time.Time
	// overdue is set once the age of the attempt was counted as a failure.
	overdue bool
	// askedPause is set if a response that arrived during the attempt asked for a pause.
	askedPause bool
	// usedBefore is the time of the latest known request to the target before this one.
	usedBefore time.Time
	// requestBytes and responseBytes are the bytes exchanged with the target, see
	// ReportTraffic.
	requestBytes, responseBytes int64
}

// New returns a scheduler.
func New(now time.Time, cfg dispatch.Config, self dispatch.Self) *Scheduler {
	if self.Distance == (locality.Config{}) {
		self.Distance = locality.DefaultConfig()
	}
	s := &Scheduler{
		self:           self,
		shares:         locality.NewShares(self.Location),
		admission:      admission.New(),
		now:            now,
		targets:        map[ident.TargetID]*target{},
		processes:      newProcessMemory(),
		classes:        map[ident.ClassName]*class{},
		removedClasses: map[ident.ClassName]*class{},
		budget:         retry.NewSharedBudget(),
		model:          gray.NewModel(),
		requests:       map[ident.RequestID]*request{},
		attempts:       map[ident.AttemptID]*runningAttempt{},
	}
	s.Configure(now, cfg)
	return s
}

// Configure applies a configuration. The state of remaining targets and classes is
// kept, and running requests finish.
func (s *Scheduler) Configure(now time.Time, cfg dispatch.Config) []dispatch.Action {
	s.cfg = cfg
	if s.cfg.QueueLength == 0 {
		s.cfg.QueueLength = dispatch.DefaultQueueLength
	}
	s.budget.Configure(retry.SharedLimits{
		Span:           cfg.RetryWindow,
		Ratio:          max(0, cfg.RetryRatio),
		Allowance:      cfg.RetryAllowance,
		FleetRatio:     cfg.FleetRetryRatio,
		FleetAllowance: cfg.FleetRetryAllowance,
	})
	s.configureClasses(now)
	s.configureTargets(now)
	for _, r := range slices.Clone(s.waiting) {
		if c := s.classes[r.class.Name]; c != nil {
			r.class = c
		}
	}
	return s.flush(now)
}

func (s *Scheduler) configureClasses(now time.Time) {
	old := s.classes
	s.classes = map[ident.ClassName]*class{}
	for _, cc := range s.cfg.Classes {
		if cc.Deadline <= 0 {
			cc.Deadline = dispatch.DefaultDeadline
		}
		if cc.MaxAttempts <= 0 {
			cc.MaxAttempts = dispatch.DefaultMaxAttempts
		}
		c := &class{Class: cc, traffic: locality.NewTraffic(cc.LargeBodies, cc.LargeResponses)}
		known := old[cc.Name]
		if known == nil {
			known = similarClass(old, cc)
		}
		if known != nil {
			c.serviceTime, c.traffic = known.serviceTime, known.traffic
		}
		s.classes[cc.Name] = c
	}
	s.retainRemovedClasses(now, old)
}

// retainRemovedClasses keeps the classes that are no longer configured for
// removedClassTime.
func (s *Scheduler) retainRemovedClasses(now time.Time, old map[ident.ClassName]*class) {
	for name, c := range old {
		if s.classes[name] == nil {
			c.removedAt = now
			s.removedClasses[name] = c
		}
	}
	for name, c := range s.removedClasses {
		if s.classes[name] != nil || now.Sub(c.removedAt) >= removedClassTime {
			delete(s.removedClasses, name)
		}
	}
}

// classOf returns the class of a new request, or nil if it has never been configured or was
// removed too long ago.
func (s *Scheduler) classOf(name ident.ClassName) *class {
	if c := s.classes[name]; c != nil {
		return c
	}
	return s.removedClasses[name]
}

// similarClass returns a class with the same kind of requests, or nil, whose estimates a new
// class takes over. The platform adapter derives the name of a class from its
// timeout and other parameters, so a class whose timeout changes gets a new name.
func similarClass(old map[ident.ClassName]*class, cc dispatch.Class) *class {
	for _, c := range old {
		if c.Idempotent == cc.Idempotent && c.LargeBodies == cc.LargeBodies && c.LargeResponses == cc.LargeResponses {
			return c
		}
	}
	return nil
}

func (s *Scheduler) configureTargets(now time.Time) {
	old := s.targets
	s.targets = map[ident.TargetID]*target{}
	s.order, s.zones = s.order[:0], nil
	s.zonesVersion++
	states := s.processes.configure(now, configuredProcesses(s.cfg.Targets))
	for i, tc := range s.cfg.Targets {
		t := old[tc.ID]
		isNew := t == nil || t.StartUnixMilli != tc.StartUnixMilli
		if isNew {
			t = &target{belief: gray.NewBelief(now, s.model), limit: limit.NewAdaptive(now, tc.Slots), addedAt: now, joined: s.anyResponse, affinity: affinity(s.self.Host, tc.ID)}
		}
		t.Target = tc
		t.process = states[i]
		t.distance = balance.DistanceBetween(s.self.Location, tc.Location)
		if t.zone = slices.Index(s.zones, tc.Location); t.zone < 0 {
			t.zone = len(s.zones)
			s.zones = append(s.zones, tc.Location)
		}
		t.limit.SetSlots(now, tc.Slots)
		s.targets[tc.ID] = t
		s.order = append(s.order, t)
		if isNew {
			s.inheritPause(now, t)
		}
	}
}

func configuredProcesses(targets []dispatch.Target) []Process {
	list := make([]Process, len(targets))
	for i, t := range targets {
		list[i] = Process{Target: t.ID, StartUnixMilli: t.StartUnixMilli}
	}
	return list
}

// affinity is a hash of a host and a target, 0 to 1.
func affinity(host ident.HostID, target ident.TargetID) float64 {
	h := fnv.New64a()
	h.Write([]byte(host))
	h.Write([]byte{0})
	h.Write([]byte(target))
	// The low bits of FNV-1a are better distributed than the high bits.
	return float64(h.Sum64()%affinitySteps) / affinitySteps
}

const affinitySteps = 1 << 16

func (s *Scheduler) emit(a dispatch.Action) { s.actions = append(s.actions, a) }

// flush starts waiting requests that can be started after an event and returns the
// pending actions.
func (s *Scheduler) flush(now time.Time) []dispatch.Action {
	s.now = now
	s.updateLastResort(now)
	s.updateShares(now)
	s.startQueued(now)
	actions := s.actions
	s.actions = nil
	return actions
}

// Observe applies the observations of another host.
func (s *Scheduler) Observe(now time.Time, from ident.HostID, observed Observations) []dispatch.Action {
	s.observeLeaving(now, observed.Leaving)
	s.admission.Observe(now, from, observed.Demand)
	s.budget.Observe(now, from, observed.Retries)
	s.outcomes.add(now, observed.Ended, min(observed.Unserved, observed.Ended), observed.FloorUnserved)
	for _, o := range observed.Targets {
		t := s.targets[o.Target]
		if t == nil {
			continue
		}
		for range min(o.Failures, maxOutcomesPerMessage) {
			t.belief.Observe(now, true)
			t.failedAt = now
		}
		for range min(o.Successes, maxOutcomesPerMessage) {
			t.belief.Observe(now, false)
		}
		t.responded = t.responded || o.Successes > 0
		s.anyResponse = s.anyResponse || o.Successes > 0
		if o.Started > 0 {
			t.lastUsed = now
		}
		t.otherLoad.SetPeerReport(now, from, float64(min(o.InFlight, t.Slots)))
		s.updateAvoided(now, t, "another host")
	}
	return s.flush(now)
}

// maxOutcomesPerMessage bounds the outcomes per target that are counted from one
// message.
const maxOutcomesPerMessage = 8

// Urgent reports whether an observation should be sent to the other hosts at once.
func (s *Scheduler) Urgent() bool { return s.urgent }

// TakeObservations returns the observations since the last call and resets them.
func (s *Scheduler) TakeObservations(now time.Time) Observations {
	out := Observations{Ended: s.ended, Unserved: s.unserved, FloorUnserved: s.floorUnserved, Retries: s.budget.TakeReport(now)}
	s.ended, s.unserved, s.floorUnserved = 0, 0, 0
	if s.cfg.AdmissionLevels {
		out.Demand = s.admission.TakeReport(now, len(s.waiting))
	}
	out.CrossRegion, s.crossRegion = s.crossRegion, locality.Bytes{}
	out.Leaving = s.takeLeavingReports(now)
	for _, t := range s.order {
		if t.successes == 0 && t.failures == 0 && !t.inFlightChanged {
			continue
		}
		out.Targets = append(out.Targets, Observation{Target: t.ID, Started: t.started, Successes: t.successes, Failures: t.failures, InFlight: t.inFlight})
		t.started, t.successes, t.failures, t.inFlightChanged = 0, 0, 0, false
	}
	s.urgent = false
	return out
}

// LoadReport applies the load that a target reports in a response.
func (s *Scheduler) LoadReport(now time.Time, r dispatch.LoadReport) []dispatch.Action {
	t := s.targets[r.Target]
	if t == nil {
		return nil
	}
	if r.Slots > 0 {
		t.otherLoad.SetTargetReport(now, float64(min(r.InFlight-t.inFlight, t.Slots)))
	}
	if r.Draining && r.FromResponse {
		t.unavailableUntil = now.Add(refusalHold)
	}
	return s.flush(now)
}

// updateAvoided emits an event when the failing probability of a target crosses a
// threshold. The thresholds differ for hysteresis. They are separate from those of
// package gray, which only classify targets to learn the rates of its model.
func (s *Scheduler) updateAvoided(now time.Time, t *target, source string) {
	failing := t.belief.FailingProbability(now)
	switch {
	case !t.avoided && failing > 0.5:
		t.avoided = true
		s.record(event.TargetAvoided, t, event.F("failing", roundToPercent(failing)), event.F("source", source))
	case t.avoided && failing < 0.25:
		t.avoided = false
		s.record(event.TargetTrusted, t, event.F("failing", roundToPercent(failing)), event.F("source", source))
	}
}

func (s *Scheduler) record(kind event.Kind, t *target, fields ...event.Field) {
	s.emit(dispatch.Record{Kind: kind, Fields: append([]event.Field{event.F("service", s.cfg.Service), event.F("target", t.ID)}, fields...)})
}

func roundToPercent(x float64) float64 { return float64(int(x*100+0.5)) / 100 }
