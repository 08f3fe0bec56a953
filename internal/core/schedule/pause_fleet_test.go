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
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
)

const (
	// pauseGrace is the time after a 503 in which requests that are on their way may still
	// arrive, and maxArrivalsInPause the number that may arrive between then and the end of
	// the pause.
	pauseGrace         = 500 * time.Millisecond
	maxArrivalsInPause = 2
	// pausePropertyTime is the simulated time of one schedule.
	pausePropertyTime = 20 * time.Second
)

// pausingTarget is a process of a target that asks for pauses at random.
type pausingTarget struct {
	process Process
	// busyUntil is the end of the time in which it answers every request with 503.
	busyUntil time.Duration
	pauses    []askedPause
}

// askedPause is a pause as the target counts it: it answered at the given time.
type askedPause struct {
	at, until time.Duration
	arrivals  int
}

// pauseProperty drives one scheduler with random arrivals, responses, pauses,
// reconfigurations and observations of other hosts.
type pauseProperty struct {
	*Scheduler
	rng    *rand.Rand
	now    time.Duration
	events fleetEvents
	next   ident.RequestID
	cfg    dispatch.Config
	// absent holds the targets whose entries are missing.
	absent    map[ident.TargetID]bool
	processes map[Process]*pausingTarget
	// heardUntil is the end of the pause of each process as far as responses arrived here.
	heardUntil map[Process]time.Duration
	// sent, withdrawn, rejected and served count attempts, refused the requests without one.
	sent, withdrawn, rejected, served, refused int
	failure                                    string
}

func (p *pauseProperty) time() time.Time { return epoch.Add(p.now) }

func (p *pauseProperty) after(d time.Duration, run func()) {
	heap.Push(&p.events, fleetEvent{p.now + d, run})
}

// between returns a random duration.
func (p *pauseProperty) between(from, to time.Duration) time.Duration {
	return from + time.Duration(p.rng.Int64N(int64(to-from)))
}

func (p *pauseProperty) fail(format string, args ...any) {
	if p.failure == "" {
		p.failure = fmt.Sprintf("at %s: ", p.now) + fmt.Sprintf(format, args...)
	}
}

func (p *pauseProperty) apply(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Start:
			p.start(a)
		case dispatch.Refuse:
			p.refused++
		}
	}
}

// start begins an attempt. It waits for a connection, at times for long, and is written if
// the scheduler still allows it.
func (p *pauseProperty) start(a dispatch.Start) {
	target := p.processes[p.targets[a.Target].processID()]
	if p.now < p.heardUntil[target.process] {
		p.fail("an attempt was started at %v, which pauses until %s (floor: %v)", target.process, p.heardUntil[target.process], a.Selection.KeepsFloor)
	}
	connect := p.between(0, 5*time.Millisecond)
	if p.rng.IntN(4) == 0 {
		connect = p.between(0, 2*time.Second)
	}
	p.after(connect, func() {
		if !p.MayWrite(p.time(), a.Attempt) {
			p.withdrawn++
			p.apply(p.Finish(p.time(), a.Attempt, dispatch.Result{Kind: attempt.Withdrawn, NotSent: true}))
			return
		}
		p.sent++
		p.after(p.between(time.Millisecond, 20*time.Millisecond), func() { p.arriveAt(target, a.Attempt) })
	})
}

// arriveAt lets a request arrive at a target and answers it.
func (p *pauseProperty) arriveAt(target *pausingTarget, id ident.AttemptID) {
	for i := range target.pauses {
		pause := &target.pauses[i]
		if p.now < pause.at+pauseGrace || p.now >= pause.until {
			continue
		}
		if pause.arrivals++; pause.arrivals > maxArrivalsInPause {
			p.fail("%d requests reached %v between %s and %s", pause.arrivals, target.process, pause.at+pauseGrace, pause.until)
		}
	}
	if p.now >= target.busyUntil {
		p.after(p.between(10*time.Millisecond, 300*time.Millisecond), func() { p.answer(id) })
		return
	}
	wait := p.between(0, 3*time.Second)
	if p.rng.IntN(3) > 0 {
		wait = target.busyUntil - p.now
	}
	target.pauses = append(target.pauses, askedPause{at: p.now, until: p.now + wait})
	p.after(p.between(time.Millisecond, 100*time.Millisecond), func() { p.reject(target, id, wait) })
}

func (p *pauseProperty) answer(id ident.AttemptID) {
	p.served++
	res := dispatch.Result{Kind: attempt.Answered, FirstByte: time.Millisecond}
	if p.rng.IntN(20) == 0 {
		res = dispatch.Result{Kind: attempt.ServerError, FirstByte: time.Millisecond}
	}
	p.apply(p.Finish(p.time(), id, res))
}

// reject delivers the head of a 503 and, at times much later, its end.
func (p *pauseProperty) reject(target *pausingTarget, id ident.AttemptID, wait time.Duration) {
	p.rejected++
	p.heardUntil[target.process] = max(p.heardUntil[target.process], p.now+wait)
	p.apply(p.ReportPause(p.time(), PauseReport{Attempt: id, Wait: wait}))
	body := time.Duration(1)
	if p.rng.IntN(5) == 0 {
		body = p.between(0, 2*time.Second)
	}
	res := dispatch.Result{Kind: attempt.Shed, NotRun: true, RetryAfter: wait, FirstByte: time.Millisecond}
	if p.rng.IntN(5) == 0 {
		res = dispatch.Result{Kind: attempt.BadAnswer}
	}
	p.after(body, func() { p.apply(p.Finish(p.time(), id, res)) })
}

// configure applies the configuration without the absent entries.
func (p *pauseProperty) configure() {
	cfg := p.cfg
	cfg.Targets = nil
	for _, t := range p.cfg.Targets {
		id := Process{Target: t.ID, StartUnixMilli: t.StartUnixMilli}
		if p.processes[id] == nil {
			p.processes[id] = &pausingTarget{process: id}
		}
		if !p.absent[t.ID] {
			cfg.Targets = append(cfg.Targets, t)
		}
	}
	p.apply(p.Configure(p.time(), cfg))
}

// disturb changes something at random.
func (p *pauseProperty) disturb() {
	t := &p.cfg.Targets[p.rng.IntN(len(p.cfg.Targets))]
	target := p.processes[Process{Target: t.ID, StartUnixMilli: t.StartUnixMilli}]
	switch p.rng.IntN(9) {
	case 0, 1, 2:
		target.busyUntil = p.now + p.between(0, 10*time.Second)
	case 3, 4:
		p.absent[t.ID] = true
		p.after(p.between(0, 3*time.Second), func() {
			delete(p.absent, t.ID)
			p.configure()
		})
		p.configure()
	case 5:
		t.StartUnixMilli++
		p.configure()
	case 6:
		p.ReportHostLoss()
		p.apply(p.Observe(p.time(), "other", Observations{Ended: 40, Unserved: 10, Targets: []Observation{{Target: t.ID, Failures: 1}}}))
	case 7:
		stated := p.rng.IntN(2) == 0
		p.apply(p.ReportLimit(p.time(), LimitReport{Process: Process{Target: t.ID, StartUnixMilli: t.StartUnixMilli}, Statement: ratelimit.Statement{Heard: true, Limited: stated, Rate: 5}, SentAt: p.time()}))
	case 8:
		var granted []ratelimit.Granted
		for _, w := range p.PermitWants(p.time()) {
			granted = append(granted, ratelimit.Granted{Entry: w.Entry, Permits: w.Permits, Hosts: 1})
		}
		p.apply(p.GrantPermits(p.time(), p.time(), granted))
	}
	p.after(p.between(0, 400*time.Millisecond), p.disturb)
}

func (p *pauseProperty) arrivals(mean time.Duration) {
	p.next++
	class := p.cfg.Classes[p.rng.IntN(len(p.cfg.Classes))].Name
	p.apply(p.Arrive(p.time(), dispatch.Request{ID: p.next, Class: class}))
	p.after(p.between(0, 2*mean), func() { p.arrivals(mean) })
}

func (p *pauseProperty) tick() {
	p.apply(p.Tick(p.time()))
	p.after(max(5*time.Millisecond, p.NextTick(p.time()).Sub(p.time())), p.tick)
}

// runPauseProperty plays one random schedule.
func runPauseProperty(seed uint64) *pauseProperty {
	rng := rand.New(rand.NewPCG(seed, 15))
	places := []ident.Location{hostZone, sameRegionZone, otherRegionZone}
	var at []ident.Location
	for range 1 + rng.IntN(12) {
		at = append(at, places[rng.IntN(len(places))])
	}
	cfg := config(at...)
	for i := range cfg.Targets {
		cfg.Targets[i].StartUnixMilli = 1
		// With two slots at most two requests wait for connections when a pause begins.
		cfg.Targets[i].Slots = 2 + rng.IntN(10)
	}
	p := &pauseProperty{
		Scheduler: New(epoch, cfg, dispatch.Self{Host: "h", Location: hostZone}),
		rng:       rng, cfg: cfg, absent: map[ident.TargetID]bool{}, processes: map[Process]*pausingTarget{},
		heardUntil: map[Process]time.Duration{},
	}
	p.configure()
	p.after(0, p.disturb)
	p.after(0, p.tick)
	p.after(0, func() { p.arrivals(p.between(5*time.Millisecond, 60*time.Millisecond)) })
	for p.now < pausePropertyTime && p.failure == "" {
		e := heap.Pop(&p.events).(fleetEvent)
		p.now = e.at
		e.run()
	}
	return p
}

// TestFewRequestsReachPausingTarget guards against requests that reach a target between half
// a second after it answered 503 with Retry-After and the end of that time, whatever way they
// take: first attempts, retries, queued requests, tests of targets and of the floor, requests
// that waited for a connection, with entries that lapse and return, processes that restart
// and rates that are stated meanwhile.
func TestFewRequestsReachPausingTarget(t *testing.T) {
	t.Parallel()
	var sent, withdrawn, rejected, served, refused int
	for seed := range uint64(30) {
		p := runPauseProperty(seed)
		if p.failure != "" {
			t.Errorf("seed %d: %s", seed, p.failure)
		}
		sent, withdrawn, rejected, served, refused = sent+p.sent, withdrawn+p.withdrawn, rejected+p.rejected, served+p.served, refused+p.refused
	}
	t.Logf("%d attempts sent, %d withdrawn, %d rejected, %d answered, %d requests refused", sent, withdrawn, rejected, served, refused)
	if withdrawn < 100 || rejected < 500 || served < rejected {
		t.Error("the schedules reach too few pauses to show anything")
	}
}
