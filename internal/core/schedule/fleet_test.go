package schedule

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// fleetDay describes one service of a deployment on a day: hosts of some regions
// that tell each other what they see, and targets that fail by themselves. Each
// target fails a share of its requests in some periods, at once, and 1.2% of the
// others; it runs as many requests as it has slots and queues a few more.
type fleetDay struct {
	regions, hosts, targets, slots int
	// perSecond is the rate of each class in each region.
	perSecond map[ident.ClassName]float64
	// burst is the factor of the rates from burstFrom to burstTo.
	burst              float64
	burstFrom, burstTo time.Duration
	work               time.Duration
	period             time.Duration
	share, fails       float64
	length             time.Duration
	configure          func(*dispatch.Config)
}

// fleetResult is what callers saw on a day.
type fleetResult struct {
	requests, unserved, late, refused int
	// tried counts the requests that a failing target failed.
	tried int
	// belowFloor is the number of spans of 2 s in which the floor was broken.
	belowFloor int
	// leastUsed is the least share of the sound targets that got a request in a span of
	// 2 s, whether the floor bound or not.
	leastUsed float64
}

// fleetEvent is something that happens at a time.
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
	failing  []bool
	phase    time.Duration
	running  int
	queue    []func()
	gotAt    time.Duration
	failedAt time.Duration
}

type fleetHost struct {
	*Scheduler
	region int
	open   map[ident.RequestID]fleetRequest
}

type fleetRequest struct {
	class   ident.ClassName
	arrived time.Duration
}

type fleetSim struct {
	day     fleetDay
	rng     *rand.Rand
	now     time.Duration
	events  fleetEvents
	hosts   []*fleetHost
	targets map[ident.TargetID]*fleetTarget
	next    ident.RequestID
	result  fleetResult
	// ended holds the requests that ended lately, for the floor.
	ended []fleetEnd
}

type fleetEnd struct {
	at     time.Duration
	served bool
}

const (
	fleetTargetQueue = 8
	fleetShareEvery  = 150 * time.Millisecond
	fleetUrgentEvery = 20 * time.Millisecond
	fleetFloorSpan   = 2 * time.Second
)

// playFleet plays a day with a seed.
func playFleet(day fleetDay, seed uint64) fleetResult {
	s := &fleetSim{day: day, rng: rand.New(rand.NewPCG(seed, 1)), targets: map[ident.TargetID]*fleetTarget{}, result: fleetResult{leastUsed: 1}}
	zones := []ident.Location{{Region: "r0", Zone: "z0"}, {Region: "r1", Zone: "z2"}, {Region: "r0", Zone: "z1"}, {Region: "r1", Zone: "z3"}}
	place := func(region, i int) ident.Location {
		return zones[(region+2*(i%2))%len(zones)]
	}
	var targets []dispatch.Target
	for region := range day.regions {
		for i := range day.targets {
			id := ident.TargetID(fmt.Sprintf("t%d-%d", region, i))
			targets = append(targets, dispatch.Target{ID: id, Location: place(region, i), Slots: day.slots, MaxConnections: 100})
			t := &fleetTarget{gotAt: -time.Hour, failedAt: -time.Hour, phase: time.Duration(s.rng.Float64() * float64(day.period))}
			for range 2 + day.length/day.period {
				t.failing = append(t.failing, s.rng.Float64() < day.share)
			}
			s.targets[id] = t
		}
	}
	for region := range day.regions {
		for i := range day.hosts {
			cfg := config()
			cfg.Targets = targets
			cfg.RetryAllowance = 56 * 0.6 / float64(day.regions*day.hosts)
			if day.configure != nil {
				day.configure(&cfg)
			}
			self := dispatch.Self{Host: ident.HostID(fmt.Sprintf("h%d-%d", region, i)), Location: place(region, i)}
			h := &fleetHost{New(epoch, cfg, self), region, map[ident.RequestID]fleetRequest{}}
			s.hosts = append(s.hosts, h)
			for _, class := range []ident.ClassName{"order", "lookup", "scan"} {
				if day.perSecond[class] > 0 {
					s.arrivals(h, class)
				}
			}
			s.every(25*time.Millisecond, func() { s.take(h, h.Tick(s.clock())) })
			s.shareOf(h)
		}
	}
	s.every(100*time.Millisecond, s.checkFloor)
	for len(s.events) > 0 && s.events[0].at < day.length {
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
	rate := s.day.perSecond[class] / float64(s.day.hosts)
	var arrive func()
	arrive = func() {
		now := rate
		if s.now >= s.day.burstFrom && s.now < s.day.burstTo {
			now *= s.day.burst
		}
		s.after(time.Duration(s.rng.ExpFloat64()/now*float64(time.Second)), arrive)
		s.next++
		s.result.requests++
		h.open[s.next] = fleetRequest{class, s.now}
		s.take(h, h.Arrive(s.clock(), dispatch.Request{ID: s.next, Class: class}))
	}
	s.after(time.Duration(s.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
}

// shareOf tells the other hosts of the region what a host sees.
func (s *fleetSim) shareOf(h *fleetHost) {
	last := time.Duration(0)
	s.every(fleetUrgentEvery, func() {
		if s.now-last < fleetShareEvery && !h.Urgent() {
			return
		}
		last = s.now
		seen := h.TakeObservations()
		for _, o := range s.hosts {
			if o != h && o.region == h.region {
				s.after(time.Millisecond, func() { s.take(o, o.Observe(s.clock(), h.self.Host, seen)) })
			}
		}
	})
}

func (s *fleetSim) take(h *fleetHost, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Start:
			s.send(h, a)
		case dispatch.Complete:
			r := h.open[a.Request]
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
	delete(h.open, id)
	if !served {
		s.result.unserved++
	}
	s.ended = append(s.ended, fleetEnd{s.now, served})
}

// send runs an attempt at its target.
func (s *fleetSim) send(h *fleetHost, a dispatch.Start) {
	t := s.targets[a.Target]
	way := 250 * time.Microsecond
	if a.Target[1] != byte('0'+h.region) {
		way = 30 * time.Millisecond
	}
	answer := func(res dispatch.Result) {
		load := dispatch.LoadReport{Target: a.Target, InFlight: t.running + len(t.queue), Slots: s.day.slots}
		s.after(way, func() {
			s.take(h, h.LoadReport(s.clock(), load))
			s.take(h, h.Finish(s.clock(), a.Attempt, res))
		})
	}
	s.after(way, func() {
		t.gotAt = s.now
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
			took := time.Duration(math.Exp(s.rng.NormFloat64()*0.7-0.245) * float64(s.day.work))
			switch failing := t.failing[int((s.now+t.phase)/s.day.period)]; {
			case failing && s.rng.Float64() < s.day.fails:
				t.failedAt = s.now
				s.result.tried++
				s.after(time.Millisecond, func() { done(serverError) })
			case s.rng.Float64() < 0.012:
				t.failedAt = s.now
				s.after(took, func() { done(serverError) })
			default:
				s.after(took, func() { done(answered) })
			}
		}
		switch {
		case t.running < s.day.slots:
			run()
		case len(t.queue) < fleetTargetQueue:
			t.queue = append(t.queue, run)
		default:
			answer(shed)
		}
	})
}

// checkFloor counts the spans in which a tenth to a half of the requests were not
// served while fewer than seven tenths of the sound targets got one.
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
	if used, sound := s.usedShare(2 * fleetFloorSpan); s.now > fleetSettled && sound > 0 {
		s.result.leastUsed = min(s.result.leastUsed, used)
	}
	share := float64(unserved) / float64(max(1, len(s.ended)))
	if share <= 0.1 || share >= 0.5 || unserved < 5 {
		return
	}
	if used, _ := s.usedShare(fleetFloorSpan); used > 0 && used < 0.7 {
		s.result.belowFloor++
	}
}

// usedShare is the share of the sound targets that got a request in the last span, and
// their number: those that have not failed for some time.
func (s *fleetSim) usedShare(soundAfter time.Duration) (share float64, sound int) {
	got := 0
	for _, t := range s.targets {
		if s.now-t.failedAt < soundAfter {
			continue
		}
		sound++
		if s.now-t.gotAt < fleetFloorSpan {
			got++
		}
	}
	return float64(got) / float64(max(1, sound)), sound
}

// fleetSettled is the time after which the shares of used targets count.
const fleetSettled = 5 * time.Second

// fleetDays are the patterns of the users' days that the tests play.
var fleetDays = map[string]fleetDay{
	"awea orders": {
		regions: 2, hosts: 2, targets: 6, slots: 2, perSecond: map[ident.ClassName]float64{"order": 25},
		work: 160 * time.Millisecond, period: 12 * time.Second, share: 0.3, fails: 0.9, length: 40 * time.Second,
	},
	"awea burst": {
		regions: 2, hosts: 2, targets: 6, slots: 2, perSecond: map[ident.ClassName]float64{"order": 35},
		burst: 2, burstFrom: 10 * time.Second, burstTo: 14 * time.Second,
		work: 160 * time.Millisecond, period: 12 * time.Second, share: 0.3, fails: 0.9, length: 40 * time.Second,
	},
	"awea lookups": {
		regions: 2, hosts: 2, targets: 5, slots: 2, perSecond: map[ident.ClassName]float64{"lookup": 14},
		work: 210 * time.Millisecond, period: 12 * time.Second, share: 0.3, fails: 0.9, length: 40 * time.Second,
	},
	"awea scans": {
		regions: 2, hosts: 2, targets: 4, slots: 2, perSecond: map[ident.ClassName]float64{"scan": 4.3},
		work: 190 * time.Millisecond, period: 12 * time.Second, share: 0.3, fails: 0.9, length: 40 * time.Second,
	},
	"errata notices": {
		regions: 2, hosts: 2, targets: 7, slots: 6, perSecond: map[ident.ClassName]float64{"order": 30},
		work: 460 * time.Millisecond, period: 9 * time.Second, share: 0.3, fails: 0.75, length: 40 * time.Second,
		configure: func(c *dispatch.Config) {
			for i := range c.Classes {
				c.Classes[i].Deadline, c.Classes[i].Objective = 6*time.Second, 3*time.Second
			}
		},
	},
	"grown orders": {
		regions: 2, hosts: 8, targets: 71, slots: 2, perSecond: map[ident.ClassName]float64{"order": 280},
		work: 160 * time.Millisecond, period: 12 * time.Second, share: 0.3, fails: 0.9, length: 30 * time.Second,
	},
	"grown scans": {
		regions: 2, hosts: 8, targets: 15, slots: 2, perSecond: map[ident.ClassName]float64{"scan": 30},
		work: 190 * time.Millisecond, period: 12 * time.Second, share: 0.3, fails: 0.9, length: 30 * time.Second,
	},
}

func BenchmarkFleet(b *testing.B) {
	for name, day := range fleetDays {
		b.Run(name, func(b *testing.B) {
			var sum fleetResult
			for i := range b.N {
				r := playFleet(day, uint64(i))
				sum.requests += r.requests
				sum.unserved += r.unserved
				sum.late += r.late
				sum.refused += r.refused
				sum.tried += r.tried
				sum.belowFloor += r.belowFloor
				sum.leastUsed += r.leastUsed
			}
			n := float64(sum.requests)
			b.ReportMetric(float64(sum.unserved)/n, "unserved")
			b.ReportMetric(float64(sum.late)/n, "late")
			b.ReportMetric(float64(sum.refused)/n, "refused")
			b.ReportMetric(float64(sum.tried)/n, "failing")
			b.ReportMetric(float64(sum.belowFloor)/float64(b.N), "floor")
			b.ReportMetric(sum.leastUsed/float64(b.N), "used")
		})
	}
}

// fleetMean plays a day with some seeds and returns the share of requests that were
// not served.
func fleetMean(name string, seeds uint64) float64 {
	requests, unserved := 0, 0
	for seed := range seeds {
		r := playFleet(fleetDays[name], seed)
		requests += r.requests
		unserved += r.unserved
	}
	return float64(unserved) / float64(requests)
}

// TestOrdersOfTwoRegions answers the pattern of every day on awea-gateway, with the
// hosts of both regions: it guards against orders that are sent to targets that are
// known to fail. Besides the 0.012 that fail at random, two orders are lost with each
// of 0.21 onsets a second, and one for each of 3.6 failing targets in 4 s, of 50
// orders a second.
func TestOrdersOfTwoRegions(t *testing.T) {
	if share := fleetMean("awea orders", 10); share > 0.012+(2*0.21+3.6/4)/50 {
		t.Errorf("%.4f of the orders were not served, want at most 0.038", share)
	}
}

// TestScansOfTwoRegions is the same for few requests, where each is much of what is
// known: two are lost with each of 0.14 onsets a second, and one at first for each of
// 2.4 failing targets, of 344 uploads.
func TestScansOfTwoRegions(t *testing.T) {
	if share := fleetMean("awea scans", 10); share > 0.012+2*0.14/8.6+2.4/344 {
		t.Errorf("%.4f of the uploads were not served, want at most 0.052", share)
	}
}

// TestLookupsOfTwoRegions guards against requests that are repeated in vain: they may
// be sent twice, so only those fail that meet two failures.
func TestLookupsOfTwoRegions(t *testing.T) {
	if share := fleetMean("awea lookups", 10); share > 0.012 {
		t.Errorf("%.4f of the lookups were not served, want at most 0.012", share)
	}
}

// TestSoundTargetsStayInUse answers connections that break, or hosts that lose power,
// while nothing failed before (errata-desk-grown, reload-freeze-reset; awea-gateway-grown,
// scans): what is lost then counts for the two seconds before, in which seven tenths of
// the sound targets must have got a request. It guards against hosts that send all
// requests to a quarter of the targets, and against ones that test failing targets for it
// more often than needed: as in TestOrdersOfTwoRegions, two requests are lost with each
// onset, and one for each failing target in 4 s.
func TestSoundTargetsStayInUse(t *testing.T) {
	for _, tt := range []struct {
		name string
		// onsets is the number of targets that start to fail in a second, failing that of
		// those that do, and rate that of requests in a second.
		onsets, failing, rate float64
	}{{"grown orders", 2.5, 43, 560}, {"grown scans", 0.53, 9, 60}} {
		requests, unserved := 0, 0
		for seed := range uint64(3) {
			r := playFleet(fleetDays[tt.name], seed)
			requests, unserved = requests+r.requests, unserved+r.unserved
			if r.leastUsed < 0.7 {
				t.Errorf("%s, seed %d: %.2f of the sound targets got a request in some 2 s, want 0.7", tt.name, seed, r.leastUsed)
			}
		}
		if share, most := float64(unserved)/float64(requests), 0.012+(2*tt.onsets+tt.failing/4)/tt.rate; share > most {
			t.Errorf("%s: %.4f of the requests were not served, want at most %.4f", tt.name, share, most)
		}
	}
}
