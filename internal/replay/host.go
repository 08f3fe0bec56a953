package replay

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Times of the driver. statusInterval bounds how late a state change that comes
// without a Record action is seen. minTick keeps a decider whose next tick is
// not after the current time from stopping the clock.
const (
	statusInterval = 100 * time.Millisecond
	minTick        = time.Millisecond
	never          = time.Duration(-1)
)

// host is one life of a host: a host that is killed and joins again gets a new
// value.
type host struct {
	index       int
	decl        *Host
	decider     Decider
	incarnation ident.Incarnation
	// order maps the position in the configuration to the target's index.
	order    []int
	pools    []pool
	requests map[ident.RequestID]*request
	tries    map[ident.AttemptID]*try
	lastID   ident.RequestID
	joined   time.Duration
	// left is the time at which the host stopped taking requests, or never.
	left time.Duration
	// dead hosts were killed and do nothing any more.
	dead     bool
	tickAt   time.Duration
	statusAt time.Duration
	// changed tells that the decider recorded an event since the last status.
	changed bool
	health  hostHealth
}

// request is one request of a caller.
type request struct {
	id       ident.RequestID
	class    dispatch.Class
	arrived  time.Duration
	deadline time.Duration
	attempts int
	open     int
	// executions counts how often targets ran the request.
	executions int
	// mayHaveRun tells that an attempt ended without proof that it did not run.
	mayHaveRun bool
	ended      bool
}

// join starts a host.
func (p *player) join(i int) {
	decl := &p.trace.Hosts[i]
	if old := p.hosts[i]; old != nil && old.left == never {
		return
	}
	h := &host{
		index:       i,
		decl:        decl,
		incarnation: ident.Incarnation(p.clock().UnixMicro()),
		pools:       make([]pool, len(p.targets)),
		requests:    map[ident.RequestID]*request{},
		tries:       map[ident.AttemptID]*try{},
		joined:      p.now,
		left:        never,
		tickAt:      never,
		health:      newHostHealth(len(p.targets)),
	}
	seed := p.trace.Seed + uint64(i)*0x9e3779b97f4a7c15 + streamDeciders + uint64(p.now)
	h.decider = p.build(p.clock(), p.config, dispatch.Self{Host: decl.ID, Location: decl.Location}, seed)
	h.order = p.order()
	p.hosts[i] = h
	p.measure.hosts = append(p.measure.hosts, h)
	p.startPeriodic(h)
	p.after(h)
}

// startPeriodic schedules evidence and load reports. Hosts start at different
// offsets, because real hosts are not synchronized.
func (p *player) startPeriodic(h *host) {
	part := time.Duration(h.index + 1)
	all := time.Duration(len(p.trace.Hosts) + 1)
	if every := p.trace.Evidence.Interval; every > 0 {
		p.queue.push(p.now+every*part/all, exchangeEvent{h})
	}
	if every := p.trace.Load.Interval; every > 0 {
		p.queue.push(p.now+every*part/all, loadEvent{h})
	}
}

func (p *player) order() []int {
	var list []int
	for i, t := range p.targets {
		if t.present {
			list = append(list, i)
		}
	}
	return list
}

// takes tells whether the host takes new requests.
func (h *host) takes() bool { return h != nil && h.left == never }

// leave stops new requests at a host; open ones continue.
func (p *player) leave(h *host) {
	if !h.takes() {
		return
	}
	h.left = p.now
	p.measure.closeHost(p, h)
}

// kill ends a host with all its requests.
func (p *player) kill(h *host) {
	p.leave(h)
	if h == nil || h.dead {
		return
	}
	h.dead = true
	for _, id := range sortedKeys(h.tries) {
		p.abandon(h.tries[id])
	}
	for _, id := range sortedKeys(h.requests) {
		p.endRequest(h, h.requests[id], outcomeInterrupted)
	}
}

// reconfigure puts the present targets in force on all hosts.
func (p *player) reconfigure() {
	p.configure()
	for _, h := range p.hosts {
		if h == nil || h.dead {
			continue
		}
		h.order = p.order()
		h.changed = true
		p.drive(h, h.decider.Configure(p.clock(), p.config))
	}
}

// drive carries out actions of a host's decider.
func (p *player) drive(h *host, actions []dispatch.Action) {
	for _, a := range actions {
		p.act(h, a)
	}
	p.after(h)
}

func (p *player) act(h *host, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Start:
		p.start(h, a)
	case dispatch.Refuse:
		p.endRequest(h, h.requests[a.Request], outcomeRefused)
	case dispatch.Complete:
		p.endRequest(h, h.requests[a.Request], outcomeSuccess)
	case dispatch.Fail:
		p.endRequest(h, h.requests[a.Request], outcomeFailed)
	case dispatch.Probe:
		p.probe(h, a.Target)
	case dispatch.Record:
		h.changed = true
	case dispatch.CancelAttempt:
		p.cancelTry(h.tries[a.Attempt])
	default:
		p.fail("unknown action %T", action)
	}
}

// after looks at the decider's state and schedules its next tick.
func (p *player) after(h *host) {
	if h.changed || p.now >= h.statusAt {
		h.changed = false
		h.statusAt = p.now + statusInterval
		p.measure.status(p, h)
	}
	next := h.decider.NextTick(p.clock())
	if next.IsZero() {
		return
	}
	at := max(next.Sub(epoch), p.now+minTick)
	if h.tickAt == never || at < h.tickAt {
		h.tickAt = at
		p.queue.push(at, tickEvent{h})
	}
}

type tickEvent struct{ h *host }

func (e tickEvent) happen(p *player) {
	// A tick that was scheduled before an earlier one replaced it has no effect.
	if e.h.dead || e.h.tickAt != p.now {
		return
	}
	e.h.tickAt = never
	p.drive(e.h, e.h.decider.Tick(p.clock()))
}

// endRequest counts the outcome of a request.
func (p *player) endRequest(h *host, r *request, o outcome) {
	if r == nil || r.ended {
		p.fail("a request ended that is not open")
		return
	}
	r.ended = true
	delete(h.requests, r.id)
	p.measure.ended(p, r, o)
	for _, c := range p.checks {
		c.ended(r, o)
	}
}
