package replay

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// shedRetryAfter is the wait that a shedding target asks for.
const shedRetryAfter = time.Second

// target is the model of one target: slots, a bounded queue, and faults.
type target struct {
	index     int
	decl      *Target
	behaviour Behaviour
	faults    []*Fault
	present   bool
	draining  bool
	refuses   bool
	busy      int
	waiting   []*try
	// life counts restarts; work of an earlier life holds no slot.
	life int
}

func newTarget(t *Trace, i int) *target {
	decl := &t.Targets[i]
	x := &target{index: i, decl: decl, behaviour: decl.Behaviour, present: !decl.Absent}
	for k := range t.Faults {
		if t.Faults[k].Target == i {
			x.faults = append(x.faults, &t.Faults[k])
		}
	}
	return x
}

// meets returns the first active fault that an attempt of a host meets.
func (p *player) meets(t *target, h *host, kind func(FaultKind) bool) *Fault {
	for _, f := range t.faults {
		if !f.active(p.now) || !f.marks(h.index) || !kind(f.Kind) {
			continue
		}
		if f.Share >= 1 || p.rng.Float64() < f.Share {
			return f
		}
	}
	return nil
}

func isSlow(k FaultKind) bool { return k == FaultSlow }

func isFailure(k FaultKind) bool { return k != FaultSlow }

// reachEvent is the arrival of an attempt at its target.
type reachEvent struct{ y *try }

func (e reachEvent) happen(p *player) {
	y := e.y
	if y.ended || y.conn.silent {
		return
	}
	y.result = dispatch.Result{Kind: attempt.Answered}
	if f := p.meets(y.target, y.host, isFailure); f != nil && !p.fault(y, f) {
		return
	}
	p.admit(y)
}

// fault applies a fault to an attempt and tells whether the target still
// serves it.
func (p *player) fault(y *try, f *Fault) bool {
	switch f.Kind {
	case FaultStatus:
		y.result.Kind = attempt.ServerError
	case FaultConnectionLost:
		y.result.Kind = attempt.ConnectionLost
	case FaultBadResponse:
		y.result.Kind = attempt.BadAnswer
	case FaultOneWay:
		y.lost = true
	case FaultTimeout:
		p.execute(y)
		return false
	case FaultBlackout:
		y.notSent = y.fresh
		return false
	case FaultDial, FaultDown:
		return p.refuseConnection(y, f.Kind)
	}
	return true
}

func (p *player) refuseConnection(y *try, kind FaultKind) bool {
	switch {
	case y.fresh:
		p.respond(y, dispatch.Result{Kind: attempt.DialFailed, NotSent: true})
	case kind == FaultDown:
		p.respond(y, dispatch.Result{Kind: attempt.ConnectionLost})
	default:
		return true
	}
	return false
}

// admit refuses an attempt, lets it wait or serves it.
func (p *player) admit(y *try) {
	t := y.target
	shed := dispatch.Result{Kind: attempt.Shed, NotRun: !t.behaviour.ShedOmitsNotRun, RetryAfter: shedRetryAfter}
	switch {
	case t.draining && t.refuses:
		p.respond(y, dispatch.Result{Kind: attempt.Draining, NotRun: true})
	case t.behaviour.ShedShare > 0 && p.rng.Float64() < t.behaviour.ShedShare:
		p.respond(y, shed)
	case t.busy < t.decl.Slots:
		p.serve(y)
	case len(t.waiting) < t.behaviour.QueueLength:
		y.place = waiting
		t.waiting = append(t.waiting, y)
	default:
		p.respond(y, shed)
	}
}

func (p *player) respond(y *try, res dispatch.Result) {
	y.result = res
	p.send(y)
}

func (p *player) send(y *try) {
	if !y.lost {
		p.queue.push(p.now+y.delay, answerEvent{y})
	}
}

func (p *player) serve(y *try) {
	y.place = serving
	y.life = y.target.life
	y.target.busy++
	p.execute(y)
	p.queue.push(p.now+p.latency(y), doneEvent{y})
}

func (p *player) execute(y *try) {
	y.req.executions++
	p.measure.executed(y.req)
}

// latency draws the service time of an attempt.
func (p *player) latency(y *try) time.Duration {
	v := y.target.behaviour.Latency.sample(p.rng)
	if f := p.meets(y.target, y.host, isSlow); f != nil {
		v *= f.SlowFactor
	}
	for _, f := range y.target.faults {
		v *= coldFactor(f, p.now)
	}
	return time.Duration(min(v, float64(maxLatency)))
}

// doneEvent is the end of the service of an attempt.
type doneEvent struct{ y *try }

func (e doneEvent) happen(p *player) {
	if e.y.place != serving || e.y.life != e.y.target.life {
		return
	}
	e.y.place = gone
	p.free(e.y.target)
	if !e.y.ended && !p.returnCut(e.y) {
		p.send(e.y)
	}
}

// returnCut tells whether a fault that began after the attempt reached the
// target keeps the response from the host. Faults with a share below 1 apply
// to attempts that reach the target during the fault only.
func (p *player) returnCut(y *try) bool {
	for _, f := range y.target.faults {
		silent := f.Kind == FaultBlackout || f.Kind == FaultOneWay
		if silent && f.Share >= 1 && f.active(p.now) && f.marks(y.host.index) {
			return true
		}
	}
	return false
}

// free ends the use of a slot and serves the next waiting attempt.
func (p *player) free(t *target) {
	t.busy--
	for len(t.waiting) > 0 && t.busy < t.decl.Slots {
		next := t.waiting[0]
		t.waiting = t.waiting[1:]
		if next.place == waiting {
			p.serve(next)
		}
	}
}

// releaseEvent is the news at the target that the host gave up.
type releaseEvent struct{ y *try }

func (e releaseEvent) happen(p *player) {
	t := e.y.target
	if t.behaviour.IgnoreCancel || (e.y.place == serving && e.y.life != t.life) {
		return
	}
	switch e.y.place {
	case serving:
		e.y.place = gone
		p.free(t)
	case waiting:
		e.y.place = gone
		p.forget(e.y)
	}
}

// forget removes an attempt from the target's queue.
func (p *player) forget(y *try) {
	for i, w := range y.target.waiting {
		if w == y {
			y.target.waiting = append(y.target.waiting[:i], y.target.waiting[i+1:]...)
			return
		}
	}
}

// downEvent is the moment at which a target's process ends.
type downEvent struct{ f *Fault }

func (e downEvent) happen(p *player) { p.breakConnections(p.targets[e.f.Target]) }

// breakConnections ends all work at a target and closes its connections.
func (p *player) breakConnections(t *target) {
	t.waiting = nil
	t.life++
	t.busy = 0
	for _, h := range p.hosts {
		if h == nil || h.dead {
			continue
		}
		h.pools[t.index].idle = nil
		for _, id := range sortedKeys(h.tries) {
			y := h.tries[id]
			if y.target != t || (y.place != waiting && y.place != serving) {
				continue
			}
			y.place = gone
			y.lost = false
			p.respond(y, dispatch.Result{Kind: attempt.ConnectionLost})
		}
	}
}
