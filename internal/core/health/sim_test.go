package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// targetBehaviour is the behaviour of a simulated target. errors, shed and hang are shares
// of the attempts; slow is a latency factor.
type targetBehaviour struct {
	errors   float64
	slow     float64
	silent   bool
	reused   bool // only reused connections are silent
	lost     bool // attempts on reused connections lose the connection
	shed     float64
	draining bool
	hang     float64
}

// sim drives a Tracker with simulated traffic on a simulated clock.
type sim struct {
	t       *Tracker
	rng     *rand.Rand
	now     time.Time
	start   time.Time
	events  simEvents
	targets map[ident.TargetID]*targetBehaviour
	rps     float64
	median  float64
	sigma   float64
	errors  float64
	// misses is the share of answers that take missFactor times longer.
	misses float64
	// regular makes arrivals evenly spaced instead of Poisson-distributed.
	regular     bool
	lastID      ident.AttemptID
	changes     []Change
	changeTimes []time.Duration
}

// simEvent is an arrival at a target, the end of an attempt or a tick.
type simEvent struct {
	at     int64
	target ident.TargetID
	id     ident.AttemptID
	result attempt.Result
}

// simEvents is a binary min-heap by time. container/heap would allocate for each event.
type simEvents []simEvent

func (e *simEvents) push(x simEvent) {
	h := append(*e, x)
	i := len(h) - 1
	for ; i > 0 && h[(i-1)/2].at > x.at; i = (i - 1) / 2 {
		h[i] = h[(i-1)/2]
	}
	h[i] = x
	*e = h
}

func (e *simEvents) pop() simEvent {
	h := *e
	first, x := h[0], h[len(h)-1]
	h = h[:len(h)-1]
	*e = h
	i := 0
	for child := 1; child < len(h); child = 2*i + 1 {
		if child+1 < len(h) && h[child+1].at < h[child].at {
			child++
		}
		if x.at <= h[child].at {
			break
		}
		h[i] = h[child]
		i = child
	}
	if len(h) > 0 {
		h[i] = x
	}
	return first
}

const (
	simTimeout = 5 * time.Second
	missFactor = 25
)

func simConfig(balance float64, targets, zones int) Config {
	cfg := Config{Service: "s", Balance: balance, IdempotentTrials: true, Floors: []ClassFloor{{Class: "lookup", Floor: 0.5}}}
	for i := range targets {
		zone := ident.Zone(fmt.Sprintf("z%d", i%zones))
		cfg.Targets = append(cfg.Targets, Target{ID: ident.TargetID(fmt.Sprintf("t%d", i)), Location: ident.Location{Region: "r", Zone: zone}, Slots: 6})
	}
	return cfg
}

func newSim(cfg Config, seed uint64) *sim {
	start := time.Unix(1_000_000, 0)
	s := &sim{
		t: New(start, cfg, "self", seed), rng: rand.New(rand.NewPCG(seed, 9)), now: start, start: start,
		targets: map[ident.TargetID]*targetBehaviour{}, rps: 5, median: 0.02, sigma: 1, errors: 0.001,
	}
	for _, target := range cfg.Targets {
		s.targets[target.ID] = &targetBehaviour{slow: 1}
		s.scheduleArrival(target.ID)
	}
	s.tick()
	return s
}

func (s *sim) schedule(d time.Duration, e simEvent) {
	e.at = s.now.Add(d).UnixNano()
	s.events.push(e)
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for s.events[0].at <= end.UnixNano() {
		e := s.events.pop()
		s.now = time.Unix(0, e.at)
		switch {
		case e.id != 0:
			s.recordChanges(s.t.AttemptFinished(s.now, e.id, e.result))
		case e.target != "":
			s.handleArrival(e.target)
		default:
			s.tick()
		}
	}
	s.now = end
}

func (s *sim) recordChanges(changes []Change) {
	for _, c := range changes {
		s.changes = append(s.changes, c)
		s.changeTimes = append(s.changeTimes, s.now.Sub(s.start))
	}
}

func (s *sim) tick() {
	s.recordChanges(s.t.Tick(s.now))
	for _, id := range s.t.DueTrials(s.now) {
		if s.t.cfg.IdempotentTrials {
			s.send(id, true)
		}
	}
	s.schedule(100*time.Millisecond, simEvent{})
}

// scheduleArrival schedules the next arrival at a target.
func (s *sim) scheduleArrival(id ident.TargetID) {
	gap := 1.0
	if !s.regular {
		gap = s.rng.ExpFloat64()
	}
	s.schedule(seconds(gap/s.rps), simEvent{target: id})
}

// handleArrival sends an attempt to a target if it is in rotation.
func (s *sim) handleArrival(id ident.TargetID) {
	target := s.t.targets[id]
	if target == nil {
		return
	}
	if target.state.inRotation() && s.rng.Float64() < target.weight {
		s.send(id, false)
	}
	s.scheduleArrival(id)
}

func (s *sim) send(id ident.TargetID, trial bool) {
	s.lastID++
	a := Attempt{ID: s.lastID, Target: id, Class: "lookup", Trial: trial, Fresh: trial || s.t.NeedsFreshConnection(s.now, id)}
	s.t.AttemptStarted(s.now, a)
	res, d := s.result(s.targets[id], a)
	s.schedule(d, simEvent{id: a.ID, result: res})
}

func (s *sim) result(b *targetBehaviour, a Attempt) (attempt.Result, time.Duration) {
	res := attempt.Result{FreshConnection: a.Fresh || s.rng.Float64() < 0.1}
	d := seconds(s.median * b.slow * math.Exp(s.sigma*s.rng.NormFloat64()))
	if s.misses > 0 && s.rng.Float64() < s.misses {
		d *= missFactor
	}
	if b.silent && (!b.reused || !res.FreshConnection) || s.rng.Float64() < b.hang {
		d = simTimeout
	}
	switch x := s.rng.Float64(); {
	case b.draining:
		res.Kind = attempt.Draining
	case b.lost && !res.FreshConnection:
		res.Kind = attempt.ConnectionLost
	case x < b.shed:
		res.Kind = attempt.Shed
	case d >= simTimeout:
		res.Kind, d = attempt.TimedOut, simTimeout
	case s.rng.Float64() < s.errors+b.errors:
		res.Kind, res.FirstByte = attempt.ServerError, d
	default:
		res.FirstByte = d
	}
	return res, d
}

// firstEjection returns the time from since to the first ejection of a target after it.
func (s *sim) firstEjection(id ident.TargetID, since time.Duration) (time.Duration, bool) {
	for i, c := range s.changes {
		if c.Target == id && c.Kind == event.TargetEjected && s.changeTimes[i] >= since {
			return s.changeTimes[i] - since, true
		}
	}
	return 0, false
}

func (s *sim) ejections() int {
	n := 0
	for _, c := range s.changes {
		if c.Kind == event.TargetEjected {
			n++
		}
	}
	return n
}
