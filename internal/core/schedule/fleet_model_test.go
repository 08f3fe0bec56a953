package schedule

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// fleetScenario describes one service of a deployment: hosts in one or more regions
// that exchange observations, and targets that fail independently. Each target
// fails a share of its requests in some periods, without delay, and 1.2% of the
// others. It runs as many requests as it has slots and queues up to
// fleetTargetQueue more.
type fleetScenario struct {
	regions, hosts, targets, slots int
	// perSecond is the arrival rate of each class in each region.
	perSecond map[ident.ClassName]float64
	// burst is the factor applied to the rates from burstFrom to burstTo.
	burst                     float64
	burstFrom, burstTo        time.Duration
	serviceTime               time.Duration
	period                    time.Duration
	failingShare, failureRate float64
	// randomFailures is the share of other requests that fail, default 0.012.
	randomFailures float64
	// unimpaired is the number of targets that the floor includes, default all. Hosts do
	// not know which these are.
	unimpaired int
	duration   time.Duration
	configure  func(*dispatch.Config)
}

// fleetResult summarizes the results seen by callers.
type fleetResult struct {
	requests, unserved, late, refused int
	// failedByTarget counts the requests that failed at a target in a failing
	// period.
	failedByTarget int
	// floorViolations is the number of checks at which the floor was violated over
	// the last 2 s.
	floorViolations int
	// minUsedShare is the lowest share of the healthy targets that received a
	// request in a span of 2 s, whether the floor was active or not.
	minUsedShare float64
}

// fleetEvent is a scheduled event of the simulation.
type fleetEvent struct {
	at  time.Duration
	run func()
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int           { return len(e) }
func (e fleetEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e fleetEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)        { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type fleetTarget struct {
	failing     []bool
	phase       time.Duration
	running     int
	queue       []func()
	impaired    bool
	lastRequest time.Duration
	failedAt    time.Duration
}

type fleetHost struct {
	*Scheduler
	region       int
	openRequests map[ident.RequestID]fleetRequest
}

type fleetRequest struct {
	class   ident.ClassName
	arrived time.Duration
}

type fleetSim struct {
	scenario fleetScenario
	rng      *rand.Rand
	now      time.Duration
	events   fleetEvents
	hosts    []*fleetHost
	targets  map[ident.TargetID]*fleetTarget
	next     ident.RequestID
	result   fleetResult
	// ended holds the requests that ended within the last fleetFloorSpan.
	ended []fleetEnd
}

type fleetEnd struct {
	at     time.Duration
	served bool
}

const (
	fleetTargetQueue    = 8
	fleetShareInterval  = 150 * time.Millisecond
	fleetUrgentInterval = 20 * time.Millisecond
	fleetRemoteInterval = 600 * time.Millisecond
	fleetFloorSpan      = 2 * time.Second
)

// simulateFleet runs a scenario with a random seed.
func simulateFleet(scenario fleetScenario, seed uint64) fleetResult {
	s := &fleetSim{scenario: scenario, rng: rand.New(rand.NewPCG(seed, 1)), targets: map[ident.TargetID]*fleetTarget{}, result: fleetResult{minUsedShare: 1}}
	zones := []ident.Location{{Region: "r0", Zone: "z0"}, {Region: "r1", Zone: "z2"}, {Region: "r0", Zone: "z1"}, {Region: "r1", Zone: "z3"}}
	zoneOf := func(region, i int) ident.Location {
		return zones[(region+2*(i%2))%len(zones)]
	}
	var targets []dispatch.Target
	for region := range scenario.regions {
		for i := range scenario.targets {
			id := ident.TargetID(fmt.Sprintf("t%d-%d", region, i))
			targets = append(targets, dispatch.Target{ID: id, Location: zoneOf(region, i), Slots: scenario.slots, MaxConnections: 100})
			t := &fleetTarget{lastRequest: -time.Hour, failedAt: -time.Hour, phase: time.Duration(s.rng.Float64() * float64(scenario.period))}
			t.impaired = scenario.unimpaired > 0 && len(s.targets) >= scenario.unimpaired
			for range 2 + scenario.duration/scenario.period {
				t.failing = append(t.failing, s.rng.Float64() < scenario.failingShare)
			}
			s.targets[id] = t
		}
	}
	for region := range scenario.regions {
		for i := range scenario.hosts {
			cfg := config()
			cfg.Targets = targets
			// The gateway divides its retry slack, here 56 retries for all hosts,
			// in the same way: the active hosts of all regions share a fraction
			// of 0.6 (app.activeBudgetShare).
			cfg.RetryAllowance = 56 * 0.6 / float64(scenario.regions*scenario.hosts)
			if scenario.configure != nil {
				scenario.configure(&cfg)
			}
			self := dispatch.Self{Host: ident.HostID(fmt.Sprintf("h%d-%d", region, i)), Location: zoneOf(region, i)}
			h := &fleetHost{New(epoch, cfg, self), region, map[ident.RequestID]fleetRequest{}}
			s.hosts = append(s.hosts, h)
			for _, class := range []ident.ClassName{"order", "lookup", "scan"} {
				if scenario.perSecond[class] > 0 {
					s.arrivals(h, class)
				}
			}
			s.every(25*time.Millisecond, func() { s.apply(h, h.Tick(s.clock())) })
			s.shareObservations(h)
		}
	}
	s.every(100*time.Millisecond, s.checkFloor)
	for len(s.events) > 0 && s.events[0].at < scenario.duration {
		e := heap.Pop(&s.events).(fleetEvent)
		s.now = e.at
		e.run()
	}
	return s.result
}

func (s *fleetSim) clock() time.Time { return epoch.Add(s.now) }

func (s *fleetSim) after(d time.Duration, run func()) {
	heap.Push(&s.events, fleetEvent{s.now + d, run})
}

func (s *fleetSim) every(d time.Duration, run func()) {
	var again func()
	again = func() {
		run()
		s.after(d, again)
	}
	s.after(time.Duration(s.rng.Float64()*float64(d)), again)
}

func (s *fleetSim) arrivals(h *fleetHost, class ident.ClassName) {
	rate := s.scenario.perSecond[class] / float64(s.scenario.hosts)
	var arrive func()
	arrive = func() {
		currentRate := rate
		if s.now >= s.scenario.burstFrom && s.now < s.scenario.burstTo {
			currentRate *= s.scenario.burst
		}
		s.after(time.Duration(s.rng.ExpFloat64()/currentRate*float64(time.Second)), arrive)
		s.next++
		s.result.requests++
		h.openRequests[s.next] = fleetRequest{class, s.now}
		s.apply(h, h.Arrive(s.clock(), dispatch.Request{ID: s.next, Class: class}))
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
}

// shareObservations periodically sends a host's observations to the other hosts of
// its region, and less often the number of its outcomes to those of other regions.
func (s *fleetSim) shareObservations(h *fleetHost) {
	var last, lastRemote time.Duration
	var remote Observations
	s.every(fleetUrgentInterval, func() {
		if s.now-last < fleetShareInterval && !h.Urgent() {
			return
		}
		last = s.now
		seen := h.TakeObservations(s.clock())
		for _, o := range s.hosts {
			if o != h && o.region == h.region {
				s.after(time.Millisecond, func() { s.apply(o, o.Observe(s.clock(), h.self.Host, seen)) })
			}
		}
		remote.Ended += seen.Ended
		remote.Unserved += seen.Unserved
		remote.FloorUnserved += seen.FloorUnserved
		if s.now-lastRemote < fleetRemoteInterval {
			return
		}
		counts := remote
		lastRemote, remote = s.now, Observations{}
		for _, o := range s.hosts {
			if o.region != h.region {
				s.after(30*time.Millisecond, func() { s.apply(o, o.Observe(s.clock(), h.self.Host, counts)) })
			}
		}
	})
}

func (s *fleetSim) apply(h *fleetHost, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Start:
			s.send(h, a)
		case dispatch.Complete:
			r := h.openRequests[a.Request]
			if s.now-r.arrived > h.classes[r.class].Objective {
				s.result.late++
			}
			s.end(h, a.Request, true)
		case dispatch.Refuse:
			s.result.refused++
			s.end(h, a.Request, false)
		case dispatch.Fail:
			s.end(h, a.Request, false)
		}
	}
}

func (s *fleetSim) end(h *fleetHost, id ident.RequestID, served bool) {
	delete(h.openRequests, id)
	if !served {
		s.result.unserved++
	}
	s.ended = append(s.ended, fleetEnd{s.now, served})
}

// send simulates an attempt at its target.
func (s *fleetSim) send(h *fleetHost, a dispatch.Start) {
	t := s.targets[a.Target]
	oneWayLatency := 250 * time.Microsecond
	if a.Target[1] != byte('0'+h.region) {
		oneWayLatency = 30 * time.Millisecond
	}
	answer := func(res dispatch.Result) {
		load := dispatch.LoadReport{Target: a.Target, InFlight: t.running + len(t.queue), Slots: s.scenario.slots}
		s.after(oneWayLatency, func() {
			s.apply(h, h.LoadReport(s.clock(), load))
			s.apply(h, h.Finish(s.clock(), a.Attempt, res))
		})
	}
	s.after(oneWayLatency, func() {
		t.lastRequest = s.now
		run := func() {
			t.running++
			done := func(res dispatch.Result) {
				t.running--
				if len(t.queue) > 0 {
					next := t.queue[0]
					t.queue = t.queue[1:]
					next()
				}
				answer(res)
			}
			took := time.Duration(math.Exp(s.rng.NormFloat64()*0.7-0.245) * float64(s.scenario.serviceTime))
			switch failing := t.failing[int((s.now+t.phase)/s.scenario.period)]; {
			case failing && s.rng.Float64() < s.scenario.failureRate:
				t.failedAt = s.now
				s.result.failedByTarget++
				s.after(time.Millisecond, func() { done(serverError) })
			case s.rng.Float64() < cmp.Or(s.scenario.randomFailures, 0.012):
				t.failedAt = s.now
				s.after(took, func() { done(serverError) })
			default:
				s.after(took, func() { done(answered) })
			}
		}
		switch {
		case t.running < s.scenario.slots:
			run()
		case len(t.queue) < fleetTargetQueue:
			t.queue = append(t.queue, run)
		default:
			answer(shed)
		}
	})
}

// checkFloor counts the spans in which a tenth to a half of the requests were not
// served while fewer than seven tenths of the healthy targets received one.
func (s *fleetSim) checkFloor() {
	for len(s.ended) > 0 && s.ended[0].at < s.now-fleetFloorSpan {
		s.ended = s.ended[1:]
	}
	unserved := 0
	for _, e := range s.ended {
		if !e.served {
			unserved++
		}
	}
	if s.now < fleetFloorSpan {
		return
	}
	if used, healthy := s.usedShare(2 * fleetFloorSpan); s.now > fleetWarmUp && healthy > 0 {
		s.result.minUsedShare = min(s.result.minUsedShare, used)
	}
	share := float64(unserved) / float64(max(1, len(s.ended)))
	if share <= 0.1 || share >= 0.5 || unserved < 5 {
		return
	}
	if used, _ := s.usedShare(fleetFloorSpan); used > 0 && used < 0.7 {
		s.result.floorViolations++
	}
}

// usedShare returns the share of the healthy targets that received a request in the
// last span, and their number. A target is healthy if it has not failed for
// healthyAfter.
func (s *fleetSim) usedShare(healthyAfter time.Duration) (share float64, healthy int) {
	used := 0
	for _, t := range s.targets {
		if t.impaired || s.now-t.failedAt < healthyAfter {
			continue
		}
		healthy++
		if s.now-t.lastRequest < fleetFloorSpan {
			used++
		}
	}
	return float64(used) / float64(max(1, healthy)), healthy
}

// fleetWarmUp is the time after which the shares of used targets are checked.
const fleetWarmUp = 5 * time.Second
