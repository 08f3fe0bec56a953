package replay

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// shedRetryAfter is the Retry-After time in the response to a shed request.
const shedRetryAfter = time.Second

// target is the simulated state of one target: slots, a bounded queue and faults.
type target struct {
	index     int
	declared  *Target
	behaviour Behaviour
	faults    []*Fault
	present   bool
	draining  bool
	refusing  bool
	busySlots int
	queue     []*attemptState
	// generation counts restarts; attempts of an earlier generation hold no slot.
	generation int
}

func newTarget(t *Trace, i int) *target {
	decl := &t.Targets[i]
	state := &target{index: i, declared: decl, behaviour: decl.Behaviour, present: !decl.Absent}
	for k := range t.Faults {
		if t.Faults[k].Target == i {
			state.faults = append(state.faults, &t.Faults[k])
		}
	}
	return state
}

// matchingFault returns the first active fault of the given kinds that applies to an
// attempt from a host. Faults with a share below 1 apply at random.
func (sim *simulation) matchingFault(t *target, h *host, kind func(FaultKind) bool) *Fault {
	for _, f := range t.faults {
		if !f.activeAt(sim.now) || !f.affectsHost(h.index) || !kind(f.Kind) {
			continue
		}
		if f.Share >= 1 || sim.rng.Float64() < f.Share {
			return f
		}
	}
	return nil
}

func isSlow(k FaultKind) bool { return k == FaultSlow }

func isFailure(k FaultKind) bool { return k != FaultSlow }

// attemptArrivalEvent is the arrival of an attempt at its target.
type attemptArrivalEvent struct{ attempt *attemptState }

func (e attemptArrivalEvent) apply(sim *simulation) {
	att := e.attempt
	if att.ended || att.conn.silenced {
		return
	}
	att.result = dispatch.Result{Kind: attempt.Answered}
	if f := sim.matchingFault(att.target, att.host, isFailure); f != nil && !sim.applyFault(att, f) {
		return
	}
	sim.admit(att)
}

// applyFault applies a fault to an attempt and reports whether the target still
// serves it.
func (sim *simulation) applyFault(att *attemptState, f *Fault) bool {
	switch f.Kind {
	case FaultStatus:
		att.result.Kind = attempt.ServerError
	case FaultConnectionLost:
		att.result.Kind = attempt.ConnectionLost
	case FaultBadResponse:
		att.result.Kind = attempt.BadAnswer
	case FaultOneWay:
		att.responseLost = true
	case FaultTimeout:
		sim.recordExecution(att)
		return false
	case FaultBlackout:
		att.timeoutNotSent = att.freshConn
		return false
	case FaultDial, FaultDown:
		return sim.refuseConnection(att, f.Kind)
	}
	return true
}

// refuseConnection fails an attempt on a new connection and, for FaultDown, also one on
// an existing connection. It returns true if the attempt is not affected.
func (sim *simulation) refuseConnection(att *attemptState, kind FaultKind) bool {
	switch {
	case att.freshConn:
		sim.respond(att, dispatch.Result{Kind: attempt.DialFailed, NotSent: true})
	case kind == FaultDown:
		sim.respond(att, dispatch.Result{Kind: attempt.ConnectionLost})
	default:
		return true
	}
	return false
}

// admit serves, queues or rejects an attempt.
func (sim *simulation) admit(att *attemptState) {
	t := att.target
	shed := dispatch.Result{Kind: attempt.Shed, NotRun: !t.behaviour.ShedOmitsNotRun, RetryAfter: shedRetryAfter}
	switch {
	case t.draining && t.refusing:
		sim.respond(att, dispatch.Result{Kind: attempt.Draining, NotRun: true})
	case t.behaviour.ShedShare > 0 && sim.rng.Float64() < t.behaviour.ShedShare:
		sim.respond(att, shed)
	case t.busySlots < t.declared.Slots:
		sim.serve(att)
	case len(t.queue) < t.behaviour.QueueLength:
		att.phase = phaseQueued
		t.queue = append(t.queue, att)
	default:
		sim.respond(att, shed)
	}
}

func (sim *simulation) respond(att *attemptState, res dispatch.Result) {
	att.result = res
	sim.sendResponse(att)
}

func (sim *simulation) sendResponse(att *attemptState) {
	if !att.responseLost {
		sim.queue.push(sim.now+att.networkDelay, responseEvent{att})
	}
}

func (sim *simulation) serve(att *attemptState) {
	att.phase = phaseServing
	att.generation = att.target.generation
	att.target.busySlots++
	sim.recordExecution(att)
	sim.queue.push(sim.now+sim.serviceTime(att), serviceEndEvent{att})
}

func (sim *simulation) recordExecution(att *attemptState) {
	att.request.executions++
	sim.metrics.recordExecution(att.request)
}

// serviceTime draws the service time of an attempt.
func (sim *simulation) serviceTime(att *attemptState) time.Duration {
	v := att.target.behaviour.Latency.sample(sim.rng)
	if f := sim.matchingFault(att.target, att.host, isSlow); f != nil {
		v *= f.SlowFactor
	}
	for _, f := range att.target.faults {
		v *= coldFactor(f, sim.now)
	}
	return time.Duration(min(v, float64(maxLatency)))
}

// serviceEndEvent is the end of the service of an attempt.
type serviceEndEvent struct{ attempt *attemptState }

func (e serviceEndEvent) apply(sim *simulation) {
	if e.attempt.phase != phaseServing || e.attempt.generation != e.attempt.target.generation {
		return
	}
	e.attempt.phase = phaseDone
	sim.releaseSlot(e.attempt.target)
	if !e.attempt.ended && !sim.responseBlocked(e.attempt) {
		sim.sendResponse(e.attempt)
	}
}

// responseBlocked reports whether a fault that began after the attempt reached the
// target blocks the response. Faults with a share below 1 apply only to attempts
// that reach the target during the fault.
func (sim *simulation) responseBlocked(att *attemptState) bool {
	for _, f := range att.target.faults {
		silent := f.Kind == FaultBlackout || f.Kind == FaultOneWay
		if silent && f.Share >= 1 && f.activeAt(sim.now) && f.affectsHost(att.host.index) {
			return true
		}
	}
	return false
}

// releaseSlot frees a slot and serves the next queued attempt.
func (sim *simulation) releaseSlot(t *target) {
	t.busySlots--
	for len(t.queue) > 0 && t.busySlots < t.declared.Slots {
		att := t.queue[0]
		t.queue = t.queue[1:]
		if att.phase == phaseQueued {
			sim.serve(att)
		}
	}
}

// targetCancelEvent is the arrival of a cancellation at the target.
type targetCancelEvent struct{ attempt *attemptState }

func (e targetCancelEvent) apply(sim *simulation) {
	t := e.attempt.target
	if t.behaviour.IgnoreCancel || (e.attempt.phase == phaseServing && e.attempt.generation != t.generation) {
		return
	}
	switch e.attempt.phase {
	case phaseServing:
		e.attempt.phase = phaseDone
		sim.releaseSlot(t)
	case phaseQueued:
		e.attempt.phase = phaseDone
		sim.dequeue(e.attempt)
	}
}

// dequeue removes an attempt from the target's queue.
func (sim *simulation) dequeue(att *attemptState) {
	for i, queued := range att.target.queue {
		if queued == att {
			att.target.queue = append(att.target.queue[:i], att.target.queue[i+1:]...)
			return
		}
	}
}

// targetDownEvent is the end of a target's process.
type targetDownEvent struct{ fault *Fault }

func (e targetDownEvent) apply(sim *simulation) { sim.breakConnections(sim.targets[e.fault.Target]) }

// breakConnections ends all attempts at a target and closes its connections.
func (sim *simulation) breakConnections(t *target) {
	t.queue = nil
	t.generation++
	t.busySlots = 0
	for _, h := range sim.hosts {
		if h == nil || h.killed {
			continue
		}
		h.pools[t.index].idle = nil
		for _, id := range sortedKeys(h.attempts) {
			att := h.attempts[id]
			if att.target != t || (att.phase != phaseQueued && att.phase != phaseServing) {
				continue
			}
			att.phase = phaseDone
			att.responseLost = false
			sim.respond(att, dispatch.Result{Kind: attempt.ConnectionLost})
		}
	}
}
