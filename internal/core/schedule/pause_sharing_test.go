package schedule

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// sharingScenario describes hosts that share targets, some of which pause at times.
type sharingScenario struct {
	hosts, targets, slots int
	perSecond             float64
	serviceTime           time.Duration
	// pausedShare is the share of the time in which a target rejects requests with
	// Retry-After, in periods of pausePeriod.
	pausedShare float64
	// hostShare is the share of the hosts whose requests are rejected in such a period.
	hostShare float64
	// tell is set if hosts share pauses, which takes shareDelay.
	share    bool
	duration time.Duration
}

const (
	pausePeriod = 4 * time.Second
	shareDelay  = 300 * time.Millisecond
)

// sharingResult counts requests by their end and attempts that were rejected.
type sharingResult struct{ requests, served, inTime, refused, rejections int }

func (r sharingResult) String() string {
	return fmt.Sprintf("%d requests, %d served, %d of them in time, %d refused; %d attempts rejected", r.requests, r.served, r.inTime, r.refused, r.rejections)
}

// sharingSim plays a scenario with one scheduler for each host.
type sharingSim struct {
	scenario sharingScenario
	rng      *rand.Rand
	now      time.Duration
	events   fleetEvents
	hosts    []*Scheduler
	// running counts the requests at each target.
	running map[ident.TargetID]int
	arrived map[ident.RequestID]time.Duration
	next    ident.RequestID
	seed    uint64
	result  sharingResult
}

func (s *sharingSim) time() time.Time { return epoch.Add(s.now) }

func (s *sharingSim) after(d time.Duration, run func()) {
	heap.Push(&s.events, fleetEvent{s.now + d, run})
}

// rejects reports whether a target rejects the requests of a host, and the rest of the time
// for which it does.
func (s *sharingSim) rejects(target ident.TargetID, host int) (time.Duration, bool) {
	period := s.now / pausePeriod
	rng := rand.New(rand.NewPCG(s.seed+uint64(period), uint64(affinity("", target)*affinitySteps)))
	if rng.Float64() >= s.scenario.pausedShare {
		return 0, false
	}
	concerned := rand.New(rand.NewPCG(rng.Uint64(), uint64(host))).Float64() < s.scenario.hostShare
	return (period+1)*pausePeriod - s.now, concerned
}

func (s *sharingSim) apply(host int, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Start:
			s.after(time.Millisecond, func() { s.arriveAt(host, a) })
		case dispatch.Refuse:
			s.result.refused++
		case dispatch.Complete:
			s.result.served++
			if s.now-s.arrived[a.Request] <= 800*time.Millisecond {
				s.result.inTime++
			}
		}
	}
}

func (s *sharingSim) arriveAt(host int, a dispatch.Start) {
	scheduler := s.hosts[host]
	if left, rejected := s.rejects(a.Target, host); rejected {
		s.result.rejections++
		s.after(time.Millisecond, func() {
			s.apply(host, scheduler.ReportPause(s.time(), PauseReport{Attempt: a.Attempt, Wait: left}))
			s.apply(host, scheduler.Finish(s.time(), a.Attempt, dispatch.Result{Kind: attempt.Shed, NotRun: true, RetryAfter: left}))
		})
		if s.scenario.share {
			until := s.time().Add(left)
			s.after(shareDelay, func() { s.shareWithAll(a.Target, until) })
		}
		return
	}
	if s.running[a.Target] >= 2*s.scenario.slots {
		s.result.rejections++
		s.after(time.Millisecond, func() {
			s.apply(host, scheduler.Finish(s.time(), a.Attempt, dispatch.Result{Kind: attempt.Shed, NotRun: true}))
		})
		return
	}
	s.running[a.Target]++
	took := time.Duration(float64(s.scenario.serviceTime) * (0.5 + s.rng.Float64()) * max(1, float64(s.running[a.Target])/float64(s.scenario.slots)))
	s.after(took, func() {
		s.running[a.Target]--
		s.apply(host, scheduler.Finish(s.time(), a.Attempt, dispatch.Result{Kind: attempt.Answered, FirstByte: time.Millisecond}))
	})
}

// shareWithAll applies a pause on all hosts.
func (s *sharingSim) shareWithAll(id ident.TargetID, until time.Time) {
	for i, h := range s.hosts {
		if st := h.processes.recordStatement(s.time(), h.targets[id].processID()); until.After(st.pausedUntil) {
			h.pause(s.time(), st, until)
			s.apply(i, h.flush(s.time()))
		}
	}
}

func (s *sharingSim) arrivals() {
	s.next++
	s.result.requests++
	s.arrived[s.next] = s.now
	host := s.rng.IntN(len(s.hosts))
	class := []ident.ClassName{"order", "lookup"}[s.rng.IntN(2)]
	s.apply(host, s.hosts[host].Arrive(s.time(), dispatch.Request{ID: s.next, Class: class}))
	s.after(time.Duration(s.rng.ExpFloat64()/s.scenario.perSecond*float64(time.Second)), s.arrivals)
}

func (s *sharingSim) tick(host int) {
	h := s.hosts[host]
	s.apply(host, h.Tick(s.time()))
	s.after(max(5*time.Millisecond, h.NextTick(s.time()).Sub(s.time())), func() { s.tick(host) })
}

func simulateSharing(scenario sharingScenario, seed uint64) sharingResult {
	s := &sharingSim{scenario: scenario, rng: rand.New(rand.NewPCG(seed, 2)), seed: seed * 1000, running: map[ident.TargetID]int{}, arrived: map[ident.RequestID]time.Duration{}}
	places := make([]ident.Location, scenario.targets)
	for i := range places {
		places[i] = hostZone
	}
	cfg := config(places...)
	for i := range cfg.Targets {
		cfg.Targets[i].Slots, cfg.Targets[i].StartUnixMilli = scenario.slots, 1
	}
	for i := range scenario.hosts {
		s.hosts = append(s.hosts, New(epoch, cfg, dispatch.Self{Host: ident.HostID(fmt.Sprint("h", i)), Location: hostZone}))
		s.after(time.Duration(i)*time.Millisecond, func() { s.tick(i) })
	}
	s.after(0, s.arrivals)
	for s.now < scenario.duration {
		e := heap.Pop(&s.events).(fleetEvent)
		s.now = e.at
		e.run()
	}
	return s.result
}

// minServedInPartialPauses is the share of requests that is served where pauses concern a
// third of the hosts and the targets have capacity for the others.
const minServedInPartialPauses = 0.95

// TestSharingOfPauses compares hosts that share pauses with hosts that do not.
// Where a target pauses for some hosts only, the others must not lose it: callers would get
// fewer answers.
func TestSharingOfPauses(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{36, 293} {
		for _, hostShare := range []float64{1, 0.3} {
			for _, load := range []float64{0.4, 0.7} {
				scenario := sharingScenario{
					hosts: hosts, targets: 20, slots: 4, serviceTime: 100 * time.Millisecond, perSecond: load * 20 * 4 / 0.1,
					pausedShare: 0.3, hostShare: hostShare, duration: 16 * time.Second,
				}
				without := simulateSharing(scenario, 1)
				scenario.share = true
				with := simulateSharing(scenario, 1)
				t.Logf("%d hosts, pauses for %v of them, load %v: without sharing %v; with %v", hosts, hostShare, load, without, with)
				if served := float64(without.served) / float64(without.requests); hostShare < 1 && served < minServedInPartialPauses {
					t.Errorf("%d hosts, load %v: %.3f of the requests were served, want %v", hosts, load, served, minServedInPartialPauses)
				}
			}
		}
	}
}
