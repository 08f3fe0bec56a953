package replay

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// conn is one connection between a host and a target.
type conn struct {
	// silenced is set once the connection no longer delivers any data.
	silenced bool
}

// connPool holds the idle connections from a host to a target. It is a stack: the
// most recently used connection is reused first.
type connPool struct{ idle []*conn }

// attemptPhase is the stage of an attempt as the target sees it.
type attemptPhase int

const (
	phaseInTransit attemptPhase = iota
	phaseQueued
	phaseServing
	phaseDone
)

// attemptState is the simulated state of one attempt.
type attemptState struct {
	id           ident.AttemptID
	host         *host
	request      *request
	target       *target
	conn         *conn
	freshConn    bool
	ended        bool
	phase        attemptPhase
	generation   int
	started      time.Duration
	networkDelay time.Duration
	// result is delivered when the response arrives.
	result dispatch.Result
	// responseLost drops the response on its way to the host.
	responseLost bool
	// timeoutNotSent makes a timeout a failed dial: no connection was opened, so
	// nothing was sent.
	timeoutNotSent bool
}

// startAttempt takes a connection from the pool or dials one, and schedules the
// arrival of the attempt at the target and its timeout.
func (sim *simulation) startAttempt(h *host, start dispatch.Start) {
	index, known := sim.targetIndex[start.Target]
	r := h.requests[start.Request]
	if !known || r == nil {
		sim.fail("attempt %d started for target %q and request %d: unknown target or no open request", start.Attempt, start.Target, start.Request)
		return
	}
	t := sim.targets[index]
	att := &attemptState{id: start.Attempt, host: h, request: r, target: t, started: sim.now, networkDelay: sim.delay(h.declared.Location, t.declared.Location)}
	arrivalDelay := att.networkDelay
	att.conn = h.pools[index].get(start.Fresh)
	if att.conn == nil {
		att.conn = &conn{}
		att.freshConn = true
		arrivalDelay += sim.trace.Network.DialTime + 2*att.networkDelay
	}
	h.attempts[start.Attempt] = att
	sim.recordStart(att, start.Trial)
	sim.queue.push(sim.now+arrivalDelay, attemptArrivalEvent{att})
	sim.queue.push(sim.now+max(start.Timeout, 1), timeoutEvent{att})
}

func (sim *simulation) recordStart(att *attemptState, trial bool) {
	sim.metrics.recordAttempt(sim, att, trial)
	for _, c := range sim.checks {
		c.attemptStarted(sim.now, att, trial)
	}
	att.request.attemptCount++
	att.request.openAttempts++
}

func (pool *connPool) get(fresh bool) *conn {
	if fresh || len(pool.idle) == 0 {
		return nil
	}
	last := len(pool.idle) - 1
	c := pool.idle[last]
	pool.idle = pool.idle[:last]
	return c
}

type responseEvent struct{ attempt *attemptState }

func (e responseEvent) apply(sim *simulation) {
	if e.attempt.ended || e.attempt.conn.silenced {
		return
	}
	e.attempt.result.FreshConnection = e.attempt.freshConn
	if hasResponse(e.attempt.result.Kind) {
		e.attempt.result.FirstByte = sim.now - e.attempt.started
	}
	sim.finishAttempt(e.attempt, e.attempt.result)
}

type timeoutEvent struct{ attempt *attemptState }

func (e timeoutEvent) apply(sim *simulation) {
	if e.attempt.ended {
		return
	}
	res := dispatch.Result{Kind: attempt.TimedOut, FreshConnection: e.attempt.freshConn}
	if e.attempt.timeoutNotSent {
		res.Kind, res.NotSent = attempt.DialFailed, true
	}
	sim.finishAttempt(e.attempt, res)
}

// hasResponse reports whether a result of this kind includes a complete response,
// after which the connection can be reused.
func hasResponse(k attempt.Kind) bool {
	return k == attempt.Answered || k == attempt.ServerError || k == attempt.Shed || k == attempt.Draining
}

// finishAttempt ends an attempt at its host and passes the result to the decider.
func (sim *simulation) finishAttempt(att *attemptState, res dispatch.Result) {
	att.ended = true
	delete(att.host.attempts, att.id)
	att.request.openAttempts--
	if !res.NotSent && !res.NotRun {
		att.request.mayHaveRun = true
	}
	sim.releaseConnection(att, res.Kind)
	sim.cancelAtTarget(att)
	sim.applyActions(att.host, att.host.decider.Finish(sim.clock(), att.id, res))
}

// releaseConnection returns the connection to the pool if it can be reused. A
// timeout on a reused connection also closes the idle connections to the target,
// because they may have stopped delivering data too.
func (sim *simulation) releaseConnection(att *attemptState, kind attempt.Kind) {
	pool := &att.host.pools[att.target.index]
	if kind == attempt.TimedOut && !att.freshConn {
		pool.idle = nil
	}
	if hasResponse(kind) && len(pool.idle) < sim.trace.Network.MaxIdle {
		pool.idle = append(pool.idle, att.conn)
	}
}

// abandonAttempt ends an attempt whose host was killed.
func (sim *simulation) abandonAttempt(att *attemptState) {
	att.ended = true
	sim.cancelAtTarget(att)
}

// cancelAtTarget schedules the cancellation of the attempt at the target if the
// target still queues or serves it.
func (sim *simulation) cancelAtTarget(att *attemptState) {
	if att.phase == phaseQueued || att.phase == phaseServing {
		sim.queue.push(sim.now+att.networkDelay, targetCancelEvent{att})
	}
}
