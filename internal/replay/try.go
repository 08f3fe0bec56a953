package replay

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// conn is one connection between a host and a target.
type conn struct {
	// silent connections deliver nothing any more.
	silent bool
}

// pool holds the idle connections of a host to a target; the connection used
// last is used first.
type pool struct{ idle []*conn }

// place says where an attempt is.
type place int

const (
	travelling place = iota
	waiting
	serving
	gone
)

// try is one attempt in flight.
type try struct {
	id      ident.AttemptID
	host    *host
	req     *request
	target  *target
	conn    *conn
	fresh   bool
	ended   bool
	place   place
	life    int
	started time.Duration
	delay   time.Duration
	// result is delivered when the response arrives.
	result dispatch.Result
	// lost responses never arrive.
	lost bool
	// notSent tells that a timeout means that no connection was opened.
	notSent bool
}

// start sends an attempt on its way to the target.
func (p *player) start(h *host, a dispatch.Start) {
	i, known := p.index[a.Target]
	r := h.requests[a.Request]
	if !known || r == nil {
		p.fail("attempt %d started for target %q and request %d, which is not open or unknown", a.Attempt, a.Target, a.Request)
		return
	}
	t := p.targets[i]
	y := &try{id: a.Attempt, host: h, req: r, target: t, started: p.now, delay: p.delay(h.decl.Location, t.decl.Location)}
	travel := y.delay
	y.conn = h.pools[i].take(a.Fresh)
	if y.conn == nil {
		y.conn = &conn{}
		y.fresh = true
		travel += p.trace.Network.DialTime + 2*y.delay
	}
	h.tries[a.Attempt] = y
	p.observeStart(y, a.Trial)
	p.queue.push(p.now+travel, reachEvent{y})
	p.queue.push(p.now+max(a.Timeout, 1), expireEvent{y})
}

func (p *player) observeStart(y *try, trial bool) {
	p.measure.started(p, y, trial)
	for _, c := range p.checks {
		c.started(p.now, y, trial)
	}
	y.req.attempts++
	y.req.open++
}

func (l *pool) take(fresh bool) *conn {
	if fresh || len(l.idle) == 0 {
		return nil
	}
	last := len(l.idle) - 1
	c := l.idle[last]
	l.idle = l.idle[:last]
	return c
}

type answerEvent struct{ y *try }

func (e answerEvent) happen(p *player) {
	if e.y.ended || e.y.conn.silent {
		return
	}
	e.y.result.FreshConnection = e.y.fresh
	if hasResponse(e.y.result.Kind) {
		e.y.result.FirstByte = p.now - e.y.started
	}
	p.finish(e.y, e.y.result)
}

type expireEvent struct{ y *try }

func (e expireEvent) happen(p *player) {
	if e.y.ended {
		return
	}
	res := dispatch.Result{Kind: attempt.TimedOut, FreshConnection: e.y.fresh}
	if e.y.notSent {
		res.Kind, res.NotSent = attempt.DialFailed, true
	}
	p.finish(e.y, res)
}

// hasResponse tells whether a result of this kind came with a whole response,
// after which the connection can be used again.
func hasResponse(k attempt.Kind) bool {
	return k == attempt.Answered || k == attempt.ServerError || k == attempt.Shed || k == attempt.Draining
}

// finish ends an attempt at its host.
func (p *player) finish(y *try, res dispatch.Result) {
	y.ended = true
	delete(y.host.tries, y.id)
	y.req.open--
	if !res.NotSent && !res.NotRun {
		y.req.mayHaveRun = true
	}
	p.keepConnection(y, res.Kind)
	p.release(y)
	p.drive(y.host, y.host.decider.Finish(p.clock(), y.id, res))
}

// keepConnection returns the connection to the pool if it can be used again. A
// timeout on a reused connection also drops the idle ones, which are suspect.
func (p *player) keepConnection(y *try, kind attempt.Kind) {
	l := &y.host.pools[y.target.index]
	if kind == attempt.TimedOut && !y.fresh {
		l.idle = nil
	}
	if hasResponse(kind) && len(l.idle) < p.trace.Network.MaxIdle {
		l.idle = append(l.idle, y.conn)
	}
}

// abandon ends an attempt whose host was killed.
func (p *player) abandon(y *try) {
	y.ended = true
	p.release(y)
}

// release tells the target that the host gave up, if it is still working.
func (p *player) release(y *try) {
	if y.place == waiting || y.place == serving {
		p.queue.push(p.now+y.delay, releaseEvent{y})
	}
}
