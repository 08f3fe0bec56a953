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

const (
	leavingFleetTargets = 8
	// leavingFleetActive is the number of hosts that exchange observations.
	leavingFleetActive = 16
	// leavingFleetEventInterval is the mean time between two events of the targets, the
	// registry and the hosts.
	leavingFleetEventInterval = 100 * time.Millisecond
)

// leavingProcess is a process of a target in the model.
type leavingProcess struct {
	leaving, exited bool
	// heard holds, for each host, when the first answer that stated the leaving arrived.
	heard map[*leavingHost]time.Duration
}

// leavingHost is a host with the scheduler of one service.
type leavingHost struct {
	index     int
	scheduler *Scheduler
	// starts is the start time of each target's process in the configuration of the host,
	// 0 for a target that is not in it.
	starts      [leavingFleetTargets]int64
	frozenUntil time.Duration
	// cut is set while no messages reach the host or leave it.
	cut  bool
	next ident.RequestID
}

// leavingFleet is a fleet in which targets leave and start again under their IDs, while
// hosts freeze, restart and are cut off, and learn of registrations at different times.
type leavingFleet struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	events fleetEvents
	hosts  []*leavingHost
	// end is the time at which the model ends.
	end     time.Duration
	started [leavingFleetTargets]int64
	// processes holds the processes of each target by start time.
	processes [leavingFleetTargets]map[int64]*leavingProcess
	// registered is set for the targets that the registry contains.
	registered [leavingFleetTargets]bool
	violations map[string]int
	toLeaving  int
	served     int
}

func newLeavingFleet(t *testing.T, seed uint64, hosts int, duration time.Duration) *leavingFleet {
	f := &leavingFleet{t: t, end: duration, rng: rand.New(rand.NewPCG(seed, 31)), violations: map[string]int{}}
	for i := range leavingFleetTargets {
		f.processes[i] = map[int64]*leavingProcess{}
		f.startProcess(i)
	}
	for i := range hosts {
		h := &leavingHost{index: i}
		f.hosts = append(f.hosts, h)
		f.restart(h)
		f.every(h, 25*time.Millisecond, func() { f.apply(h, h.scheduler.Tick(f.clock())) })
		f.every(h, 150*time.Millisecond, func() { f.share(h) })
		f.arriveLater(h)
	}
	return f
}

func (f *leavingFleet) clock() time.Time { return epoch.Add(f.now) }

func (f *leavingFleet) after(d time.Duration, run func()) {
	heap.Push(&f.events, fleetEvent{f.now + d, run})
}

// at runs a step of a host after a time, or when it is no longer frozen.
func (f *leavingFleet) at(h *leavingHost, d time.Duration, run func()) {
	f.after(d, func() {
		if h.frozenUntil > f.now {
			f.at(h, h.frozenUntil-f.now, run)
			return
		}
		run()
	})
}

func (f *leavingFleet) every(h *leavingHost, interval time.Duration, run func()) {
	f.at(h, time.Duration(f.rng.Int64N(int64(interval))), func() {
		run()
		f.every(h, interval, run)
	})
}

func (f *leavingFleet) run() {
	f.after(time.Second, f.disturb)
	for f.now < f.end && f.events.Len() > 0 {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		e.run()
	}
}

func (f *leavingFleet) startProcess(target int) {
	f.started[target] = f.now.Milliseconds() + 1
	f.processes[target][f.started[target]] = &leavingProcess{heard: map[*leavingHost]time.Duration{}}
	f.registered[target] = true
}

// restart gives a host a new process. What its earlier one had heard binds it no more.
func (f *leavingFleet) restart(h *leavingHost) {
	h.starts = f.known()
	h.scheduler = New(f.clock(), f.config(h), dispatch.Self{Host: ident.HostID(fmt.Sprint("h", h.index)), Location: hostZone})
	for i := range leavingFleetTargets {
		for _, p := range f.processes[i] {
			delete(p.heard, h)
		}
	}
}

// known returns the registrations.
func (f *leavingFleet) known() [leavingFleetTargets]int64 {
	known := f.started
	for i := range known {
		if !f.registered[i] {
			known[i] = 0
		}
	}
	return known
}

func (f *leavingFleet) config(h *leavingHost) dispatch.Config {
	cfg := leavingConfig()
	for i, start := range h.starts {
		if start != 0 {
			cfg.Targets = append(cfg.Targets, dispatch.Target{ID: id(i), Location: hostZone, Slots: 3, StartUnixMilli: start})
		}
	}
	return cfg
}

// disturb changes a target, the registry or a host at random. All targets may leave or be
// missing from a host's configuration at a time.
func (f *leavingFleet) disturb() {
	target, h := f.rng.IntN(leavingFleetTargets), f.hosts[f.rng.IntN(len(f.hosts))]
	p := f.processes[target][f.started[target]]
	switch f.rng.IntN(7) {
	case 0, 1:
		p.leaving = true
	case 2:
		if p.leaving {
			p.exited = f.rng.IntN(2) == 0
			f.startProcess(target)
		}
		f.publish()
	case 3:
		f.registered[target] = !f.registered[target]
		f.publish()
	case 4:
		h.frozenUntil = f.now + time.Duration(f.rng.IntN(3000))*time.Millisecond
	case 5:
		h.cut = !h.cut
	case 6:
		if f.rng.IntN(4) == 0 {
			f.restart(h)
		}
	}
	f.after(time.Duration(f.rng.ExpFloat64()*float64(leavingFleetEventInterval)), f.disturb)
}

// publish brings the registrations to the hosts that are not cut off.
func (f *leavingFleet) publish() {
	known := f.known()
	for _, h := range f.hosts {
		if h.cut {
			continue
		}
		f.at(h, time.Duration(f.rng.IntN(1000))*time.Millisecond, func() {
			h.starts = known
			f.apply(h, h.scheduler.Configure(f.clock(), f.config(h)))
		})
	}
}

func (f *leavingFleet) share(h *leavingHost) {
	seen := h.scheduler.TakeObservations(f.clock())
	if h.cut || h.index >= leavingFleetActive {
		return
	}
	for _, o := range f.hosts[:min(len(f.hosts), leavingFleetActive)] {
		if o != h && !o.cut && f.rng.IntN(20) > 0 {
			f.at(o, time.Millisecond, func() { f.apply(o, o.scheduler.Observe(f.clock(), h.scheduler.self.Host, seen)) })
		}
	}
}

func (f *leavingFleet) arriveLater(h *leavingHost) {
	rate := 6.0
	if h.index < leavingFleetActive {
		rate = 20
	}
	f.at(h, time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		class := ident.ClassName("order")
		if f.rng.IntN(2) == 0 {
			class = "lookup"
		}
		h.next++
		f.apply(h, h.scheduler.Arrive(f.clock(), dispatch.Request{ID: h.next, Class: class}))
		f.arriveLater(h)
	})
}

func (f *leavingFleet) apply(h *leavingHost, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Start:
			f.serve(h, a)
		case dispatch.Complete:
			f.served++
		}
	}
}

// serve lets a target answer an attempt: the head of the answer arrives first, and the end
// up to 4 s later. A host may be restarted before that.
func (f *leavingFleet) serve(h *leavingHost, start dispatch.Start) {
	scheduler := h.scheduler
	p, path := f.reached(h, start), f.path(h, start)
	finish := func(after time.Duration, res dispatch.Result) {
		f.at(h, after, func() {
			if h.scheduler == scheduler {
				f.apply(h, scheduler.Finish(f.clock(), start.Attempt, res))
			}
		})
	}
	if p.exited {
		finish(time.Millisecond, dispatch.Result{Kind: attempt.DialFailed, NotSent: true})
		return
	}
	if heard, ok := p.heard[h]; ok {
		f.toLeaving++
		if f.now > heard+leavingGrace {
			f.violations[path]++
		}
	}
	f.at(h, time.Duration(10+f.rng.IntN(100))*time.Millisecond, func() {
		if h.scheduler != scheduler {
			return
		}
		if p.leaving {
			if _, ok := p.heard[h]; !ok {
				p.heard[h] = f.now
			}
			f.apply(h, scheduler.ReportLeaving(f.clock(), start.Attempt, attempt.LeavingStatement{Leaving: true}))
		}
		finish(f.bodyTime(), leavingFleetResults[f.rng.IntN(len(leavingFleetResults))])
	})
}

// leavingFleetResults are the results of attempts that reach a target, one chosen at random.
var leavingFleetResults = []dispatch.Result{answered, answered, answered, answered, serverError, shed, connectionLost}

// bodyTime returns the time between the head of an answer and its end.
func (f *leavingFleet) bodyTime() time.Duration {
	if f.rng.IntN(10) == 0 {
		return time.Duration(f.rng.IntN(4000)) * time.Millisecond
	}
	return 0
}

// reached returns the process that an attempt reaches: the one in the host's configuration.
func (f *leavingFleet) reached(h *leavingHost, start dispatch.Start) *leavingProcess {
	for i := range h.starts {
		if id(i) == start.Target {
			return f.processes[i][h.starts[i]]
		}
	}
	f.t.Fatalf("an attempt at %s, which is not in the configuration", start.Target)
	return nil
}

// path names the way by which an attempt was started.
func (f *leavingFleet) path(h *leavingHost, start dispatch.Start) string {
	a := h.scheduler.attempts[start.Attempt]
	switch {
	case a == nil:
		return "ended"
	case a.request.attempts > 1:
		return "retry"
	case a.request.forFloor:
		return "floor"
	case start.Selection.WaitTime > 0:
		return "queue"
	}
	return "first attempt"
}

// wronglyLeaving returns the number of processes that hosts take for leaving although they
// are not.
func (f *leavingFleet) wronglyLeaving() int {
	n := 0
	for _, h := range f.hosts {
		for p, st := range h.scheduler.processes.states {
			for i := range leavingFleetTargets {
				if real := f.processes[i][p.StartUnixMilli]; id(i) == p.Target && st.leaving.known && (real == nil || !real.leaving) {
					n++
				}
			}
		}
	}
	return n
}

// TestFleetSendsNothingToLeavingTargets guards against requests to a target later than the
// grace after the host has read in an answer that the target is leaving, by whatever way
// they take, and against processes that are taken for leaving because of others.
func TestFleetSendsNothingToLeavingTargets(t *testing.T) {
	for _, c := range []struct {
		hosts    int
		seeds    uint64
		duration time.Duration
	}{{5, 4, 12 * time.Second}, {36, 1, 10 * time.Second}, {293, 1, 5 * time.Second}} {
		t.Run(fmt.Sprint(c.hosts, " hosts"), func(t *testing.T) {
			t.Parallel()
			for seed := range c.seeds {
				f := newLeavingFleet(t, seed, c.hosts, c.duration)
				f.run()
				if len(f.violations) > 0 {
					t.Errorf("seed %d: requests that reached leaving targets: %v", seed, f.violations)
				}
				if n := f.wronglyLeaving(); n > 0 {
					t.Errorf("seed %d: %d processes are wrongly taken for leaving", seed, n)
				}
				if f.served == 0 {
					t.Errorf("seed %d: no request was served", seed)
				}
				t.Logf("seed %d: %d served, %d within the grace", seed, f.served, f.toLeaving)
			}
		})
	}
}
