package schedule

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
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

// fleetScenarios are modeled on recorded request traces of two deployments; see
// docs/decisions/011-platform.md. In the awea scenarios targets have 2 slots, and
// failing ones fail nine of ten requests for 12 s; in the errata scenario they have 6
// slots, and failing ones fail three of four requests for 9 s. The
// grown scenarios are those of awea with more hosts, more targets and a higher
// request rate.
var fleetScenarios = map[string]fleetScenario{
	"awea orders": {
		regions: 2, hosts: 2, targets: 6, slots: 2, perSecond: map[ident.ClassName]float64{"order": 25},
		serviceTime: 160 * time.Millisecond, period: 12 * time.Second, failingShare: 0.3, failureRate: 0.9, duration: 40 * time.Second,
	},
	"awea burst": {
		regions: 2, hosts: 2, targets: 6, slots: 2, perSecond: map[ident.ClassName]float64{"order": 35},
		burst: 2, burstFrom: 10 * time.Second, burstTo: 14 * time.Second,
		serviceTime: 160 * time.Millisecond, period: 12 * time.Second, failingShare: 0.3, failureRate: 0.9, duration: 40 * time.Second,
	},
	"awea lookups": {
		regions: 2, hosts: 2, targets: 5, slots: 2, perSecond: map[ident.ClassName]float64{"lookup": 14},
		serviceTime: 210 * time.Millisecond, period: 12 * time.Second, failingShare: 0.3, failureRate: 0.9, duration: 40 * time.Second,
	},
	"awea scans": {
		regions: 2, hosts: 2, targets: 4, slots: 2, perSecond: map[ident.ClassName]float64{"scan": 4.3},
		serviceTime: 190 * time.Millisecond, period: 12 * time.Second, failingShare: 0.3, failureRate: 0.9, duration: 40 * time.Second,
	},
	"errata notices": {
		regions: 2, hosts: 2, targets: 7, slots: 6, perSecond: map[ident.ClassName]float64{"order": 30},
		serviceTime: 460 * time.Millisecond, period: 9 * time.Second, failingShare: 0.3, failureRate: 0.75, duration: 40 * time.Second,
		configure: func(c *dispatch.Config) {
			for i := range c.Classes {
				c.Classes[i].Deadline, c.Classes[i].Objective = 6*time.Second, 3*time.Second
			}
		},
	},
	"grown orders": {
		regions: 2, hosts: 8, targets: 71, slots: 2, perSecond: map[ident.ClassName]float64{"order": 280},
		serviceTime: 160 * time.Millisecond, period: 12 * time.Second, failingShare: 0.3, failureRate: 0.9, duration: 30 * time.Second,
	},
	"grown scans": {
		regions: 2, hosts: 8, targets: 15, slots: 2, perSecond: map[ident.ClassName]float64{"scan": 30},
		serviceTime: 190 * time.Millisecond, period: 12 * time.Second, failingShare: 0.3, failureRate: 0.9, duration: 30 * time.Second,
	},
}

// erraticScenarios are services, and requests lost at random, for which the share of
// unserved requests stays just above a tenth, where the floor must be kept. The large
// scenarios are those of errata with hundreds of hosts and targets.
func erraticScenarios() map[string]fleetScenario {
	notices := fleetScenarios["errata notices"]
	notices.hosts, notices.targets, notices.duration = 12, 130, 10*time.Second
	notices.perSecond = map[ident.ClassName]float64{"order": 410}
	proofs := notices
	proofs.targets, proofs.duration = 24, 20*time.Second
	proofs.perSecond = map[ident.ClassName]float64{"scan": 63}
	orders := fleetScenarios["grown orders"]
	orders.duration = 15 * time.Second
	scenarios := map[string]fleetScenario{"large notices": notices, "large proofs": proofs, "grown orders": orders}
	for name, s := range scenarios {
		s.randomFailures = 0.065
		scenarios[name] = s
	}
	return scenarios
}

func BenchmarkFleet(b *testing.B) {
	for name, scenario := range fleetScenarios {
		b.Run(name, func(b *testing.B) {
			var sum fleetResult
			for i := range b.N {
				r := simulateFleet(scenario, uint64(i))
				sum.requests += r.requests
				sum.unserved += r.unserved
				sum.late += r.late
				sum.refused += r.refused
				sum.failedByTarget += r.failedByTarget
				sum.floorViolations += r.floorViolations
				sum.minUsedShare += r.minUsedShare
			}
			n := float64(sum.requests)
			b.ReportMetric(float64(sum.unserved)/n, "unserved")
			b.ReportMetric(float64(sum.late)/n, "late")
			b.ReportMetric(float64(sum.refused)/n, "refused")
			b.ReportMetric(float64(sum.failedByTarget)/n, "failing")
			b.ReportMetric(float64(sum.floorViolations)/float64(b.N), "floor")
			b.ReportMetric(sum.minUsedShare/float64(b.N), "used")
		})
	}
}

// unservedShare runs a scenario with several seeds and returns the share of
// requests that were not served.
func unservedShare(name string, seeds uint64) float64 {
	requests, unserved := 0, 0
	for seed := range seeds {
		r := simulateFleet(fleetScenarios[name], seed)
		requests += r.requests
		unserved += r.unserved
	}
	return float64(unserved) / float64(requests)
}

// TestOrdersInTwoRegions guards against sending orders to targets known to be
// failing, with hosts in both regions and the failure pattern of
// TestOrdersAmongFailingTargets. Besides the 0.012 that fail at random, two orders
// are lost for each of 0.21 onsets a second, and one per 4 s for each of 3.6 failing
// targets, out of 50 orders a second.
func TestOrdersInTwoRegions(t *testing.T) {
	if share := unservedShare("awea orders", 10); share > 0.012+(2*0.21+3.6/4)/50 {
		t.Errorf("%.4f of the orders were not served, want at most 0.038", share)
	}
}

// TestScansInTwoRegions is the same test with a low request rate, where each
// outcome is a large part of the evidence: two scans are lost for each of 0.14
// onsets a second, and initially one for each of 2.4 failing targets, out of 344
// scans.
func TestScansInTwoRegions(t *testing.T) {
	if share := unservedShare("awea scans", 10); share > 0.012+2*0.14/8.6+2.4/344 {
		t.Errorf("%.4f of the scans were not served, want at most 0.052", share)
	}
}

// TestLookupsInTwoRegions guards against retries at failing targets: lookups may be
// sent twice, so only those that fail twice are lost.
func TestLookupsInTwoRegions(t *testing.T) {
	if share := unservedShare("awea lookups", 10); share > 0.012 {
		t.Errorf("%.4f of the lookups were not served, want at most 0.012", share)
	}
}

// TestHealthyTargetsStayInUse guards against hosts that send all requests to a
// quarter of the targets, and against testing failing targets more often than
// needed. When connections break or hosts lose power without earlier failures, seven
// tenths of the healthy targets must have received a request in the preceding two
// seconds. As in TestOrdersInTwoRegions, two requests are lost for each onset, and
// one per 4 s for each failing target.
func TestHealthyTargetsStayInUse(t *testing.T) {
	for _, tt := range []struct {
		name string
		// onsets is the number of targets that start to fail per second, failing
		// the number of failing targets, and rate the number of requests per
		// second.
		onsets, failing, rate float64
	}{{"grown orders", 2.5, 43, 560}, {"grown scans", 0.53, 9, 60}} {
		requests, unserved := 0, 0
		for seed := range uint64(3) {
			r := simulateFleet(fleetScenarios[tt.name], seed)
			requests, unserved = requests+r.requests, unserved+r.unserved
			if r.minUsedShare < 0.7 {
				t.Errorf("%s, seed %d: %.2f of the healthy targets received a request in some span of 2 s, want 0.7", tt.name, seed, r.minUsedShare)
			}
		}
		if share, most := float64(unserved)/float64(requests), 0.012+(2*tt.onsets+tt.failing/4)/tt.rate; share > most {
			t.Errorf("%s: %.4f of the requests were not served, want at most %.4f", tt.name, share, most)
		}
	}
}

// TestFloorWhileRequestsFailAtRandom guards against fewer than seven tenths of the
// healthy targets in use while a tenth to a half of the requests of 2 s fail, part of
// them because they maintain the floor. A target that failed counts as healthy again
// after 2 s, so several become healthy within the time in which hosts react.
func TestFloorWhileRequestsFailAtRandom(t *testing.T) {
	for name, scenario := range erraticScenarios() {
		for seed := range uint64(2) {
			r := simulateFleet(scenario, seed)
			if r.floorViolations > 0 {
				t.Errorf("%s, seed %d: the floor was not kept at %d checks", name, seed, r.floorViolations)
			}
		}
	}
}

// TestFloorOfFewUnimpairedTargets guards against fewer than seven tenths of a few targets
// in use while a tenth to a half of the requests fail, where most targets are impaired
// and only these few count. Hosts keep a share of all targets in use that seem healthy to
// them, and by chance fewer of the few that count.
func TestFloorOfFewUnimpairedTargets(t *testing.T) {
	scenario := erraticScenarios()["grown orders"]
	scenario.unimpaired = 14
	for seed := range uint64(4) {
		if r := simulateFleet(scenario, seed); r.floorViolations > 0 {
			t.Errorf("seed %d: the floor was not kept at %d checks", seed, r.floorViolations)
		}
	}
}
