package replay

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// statusInterval bounds the delay with which the metrics observe a state change
// that has no Record action. minTick is the shortest time to the next tick: without
// it, a decider whose next tick is not after the current time would keep the
// simulated clock from advancing. never marks a time that is not set.
const (
	statusInterval = 100 * time.Millisecond
	minTick        = time.Millisecond
	never          = time.Duration(-1)
)

// host is one incarnation of a host. A host that is killed or leaves and joins
// again gets a new value.
type host struct {
	index       int
	declared    *Host
	decider     Decider
	incarnation ident.Incarnation
	// configuredTargets maps the position of a target in the host's configuration to
	// its index in the trace.
	configuredTargets []int
	pools             []connPool
	requests          map[ident.RequestID]*request
	attempts          map[ident.AttemptID]*attemptState
	lastRequestID     ident.RequestID
	startedAt         time.Duration
	// leftAt is the time at which the host stopped accepting requests, or never.
	leftAt time.Duration
	// killed hosts process no further events.
	killed       bool
	nextTickAt   time.Duration
	nextStatusAt time.Duration
	// statusChanged is set when the decider may have changed the state of a target
	// since the metrics last observed it.
	statusChanged bool
	rotation      rotationState
}

// request is one request of a caller.
type request struct {
	id           ident.RequestID
	class        dispatch.Class
	arrivedAt    time.Duration
	deadline     time.Duration
	attemptCount int
	openAttempts int
	// executions is the number of times that targets ran the request.
	executions int
	// mayHaveRun is set when an attempt ended without proof that it did not run.
	mayHaveRun bool
	ended      bool
}

// startHost starts a new incarnation of a host unless it is already running.
func (sim *simulation) startHost(index int) {
	decl := &sim.trace.Hosts[index]
	if previous := sim.hosts[index]; previous != nil && previous.leftAt == never {
		return
	}
	h := &host{
		index:       index,
		declared:    decl,
		incarnation: ident.Incarnation(sim.clock().UnixMicro()),
		pools:       make([]connPool, len(sim.targets)),
		requests:    map[ident.RequestID]*request{},
		attempts:    map[ident.AttemptID]*attemptState{},
		startedAt:   sim.now,
		leftAt:      never,
		nextTickAt:  never,
		rotation:    newRotationState(len(sim.targets)),
	}
	// The odd constant spreads the seeds of consecutive hosts.
	seed := sim.trace.Seed + uint64(index)*0x9e3779b97f4a7c15 + streamDeciders + uint64(sim.now)
	h.decider = sim.newDecider(sim.clock(), sim.config, dispatch.Self{Host: decl.ID, Location: decl.Location}, seed)
	h.configuredTargets = sim.presentTargets()
	sim.hosts[index] = h
	sim.metrics.hosts = append(sim.metrics.hosts, h)
	sim.scheduleHostEvents(h)
	sim.afterActions(h)
}

// scheduleHostEvents schedules the first evidence report and load poll of a host.
// Hosts start at different offsets, because real hosts are not synchronized.
func (sim *simulation) scheduleHostEvents(h *host) {
	position := time.Duration(h.index + 1)
	intervals := time.Duration(len(sim.trace.Hosts) + 1)
	if every := sim.trace.Evidence.Interval; every > 0 {
		sim.queue.push(sim.now+every*position/intervals, evidenceEvent{h})
	}
	if every := sim.trace.Load.Interval; every > 0 {
		sim.queue.push(sim.now+every*position/intervals, loadPollEvent{h})
	}
}

func (sim *simulation) presentTargets() []int {
	var list []int
	for i, t := range sim.targets {
		if t.present {
			list = append(list, i)
		}
	}
	return list
}

// acceptsRequests reports whether the host accepts new requests.
func (h *host) acceptsRequests() bool { return h != nil && h.leftAt == never }

// drainHost stops new requests at a host; open requests continue.
func (sim *simulation) drainHost(h *host) {
	if !h.acceptsRequests() {
		return
	}
	h.leftAt = sim.now
	sim.metrics.closeHost(sim, h)
}

// killHost ends a host and interrupts all its requests.
func (sim *simulation) killHost(h *host) {
	sim.drainHost(h)
	if h == nil || h.killed {
		return
	}
	h.killed = true
	for _, id := range sortedKeys(h.attempts) {
		sim.abandonAttempt(h.attempts[id])
	}
	for _, id := range sortedKeys(h.requests) {
		sim.endRequest(h, h.requests[id], outcomeInterrupted)
	}
}

// reconfigure applies a configuration with the present targets to all hosts.
func (sim *simulation) reconfigure() {
	sim.configure()
	for _, h := range sim.hosts {
		if h == nil || h.killed {
			continue
		}
		h.configuredTargets = sim.presentTargets()
		h.statusChanged = true
		sim.applyActions(h, h.decider.Configure(sim.clock(), sim.config))
	}
}

// applyActions carries out the actions of a host's decider.
func (sim *simulation) applyActions(h *host, actions []dispatch.Action) {
	for _, a := range actions {
		sim.applyAction(h, a)
	}
	sim.afterActions(h)
}

func (sim *simulation) applyAction(h *host, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Start:
		sim.startAttempt(h, a)
	case dispatch.Refuse:
		sim.endRequest(h, h.requests[a.Request], outcomeRefused)
	case dispatch.Complete:
		sim.endRequest(h, h.requests[a.Request], outcomeSuccess)
	case dispatch.Fail:
		sim.endRequest(h, h.requests[a.Request], outcomeFailed)
	case dispatch.Probe:
		sim.startProbe(h, a.Target)
	case dispatch.Record:
		h.statusChanged = true
	case dispatch.CancelAttempt:
		sim.cancelAttempt(h.attempts[a.Attempt])
	default:
		sim.fail("unknown action %T", action)
	}
}

// afterActions updates the metrics with the decider's status if it may have
// changed, and schedules the decider's next tick.
func (sim *simulation) afterActions(h *host) {
	if h.statusChanged || sim.now >= h.nextStatusAt {
		h.statusChanged = false
		h.nextStatusAt = sim.now + statusInterval
		sim.metrics.recordStatus(sim, h)
	}
	next := h.decider.NextTick(sim.clock())
	if next.IsZero() {
		return
	}
	at := max(next.Sub(epoch), sim.now+minTick)
	if h.nextTickAt == never || at < h.nextTickAt {
		h.nextTickAt = at
		sim.queue.push(at, tickEvent{h})
	}
}

type tickEvent struct{ host *host }

func (e tickEvent) apply(sim *simulation) {
	// An earlier tick may have been scheduled since; this one is then obsolete.
	if e.host.killed || e.host.nextTickAt != sim.now {
		return
	}
	e.host.nextTickAt = never
	sim.applyActions(e.host, e.host.decider.Tick(sim.clock()))
}

// endRequest closes a request and records its outcome.
func (sim *simulation) endRequest(h *host, r *request, o outcome) {
	if r == nil || r.ended {
		sim.fail("decider ended a request that is not open")
		return
	}
	r.ended = true
	delete(h.requests, r.id)
	sim.metrics.recordOutcome(sim, r, o)
	for _, c := range sim.checks {
		c.requestEnded(r, o)
	}
}
