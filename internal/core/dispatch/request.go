package dispatch

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
)

// request is an admitted request. It is in exactly one of three states: queued
// (item is set), waiting for a retry (inBackoff is true) or running (running is
// set).
type request struct {
	Request
	class *class
	// idempotent is the property of the class at the time the request was
	// accepted, so that a new revision cannot make the request retryable.
	idempotent bool
	attempts   int
	// tried holds the targets of earlier attempts, the latest last. They are
	// stored by ID, since later revisions may remove and re-add a target.
	tried      []ident.TargetID
	mayHaveRun bool
	committed  bool
	canceled   bool

	item      *limit.Item[*request]
	inBackoff bool
	timer     *timer
	running   ident.AttemptID
	// lastAttempt and lastResult describe the latest attempt that ended.
	lastAttempt ident.AttemptID
	lastResult  Result
}

type runningAttempt struct {
	id      ident.AttemptID
	request *request
	target  *target
	started time.Time
	upload  bool
	trial   bool
}

// Arrive starts, queues or refuses a request. A request whose ID is already in
// use is ignored.
func (d *Dispatcher) Arrive(now time.Time, r Request) []Action {
	if d.requests[r.ID] != nil {
		return nil
	}
	c := d.classes[r.Class]
	if c == nil {
		return []Action{Refuse{Request: r.ID, Reason: UnknownClass}}
	}
	d.syncRotations(now)
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(c.Deadline)
	}
	d.admit(now, &request{Request: r, class: c, idempotent: c.Idempotent && !r.NonIdempotent})
	return d.finishEvent(now)
}

// Commit reports that the driver has started to forward the response of a running
// attempt to the caller. The request is not retried afterwards.
func (d *Dispatcher) Commit(_ time.Time, id ident.AttemptID) {
	if a := d.attempts[id]; a != nil {
		a.request.committed = true
	}
}

// Cancel reports that the caller has disconnected. The request ends without
// Complete, Fail or Refuse. A running attempt is canceled; the driver still calls
// Finish when it ends.
func (d *Dispatcher) Cancel(now time.Time, id ident.RequestID) []Action {
	r := d.requests[id]
	if r == nil {
		return nil
	}
	delete(d.requests, id)
	r.canceled = true
	d.stopWaiting(r)
	if r.running != 0 {
		d.emit(CancelAttempt{Attempt: r.running})
	}
	return d.finishEvent(now)
}

// Finish reports the end of an attempt.
func (d *Dispatcher) Finish(now time.Time, id ident.AttemptID, res Result) []Action {
	a := d.attempts[id]
	if a == nil {
		return nil
	}
	delete(d.attempts, id)
	d.observeResult(now, a, res)
	d.release(now, a)
	if changes := d.health.AttemptFinished(now, id, res); len(changes) > 0 {
		d.recordChanges(changes)
		d.refreshTrials(now)
	}
	d.syncRotations(now)
	d.completeOrRetry(now, a, res)
	return d.finishEvent(now)
}

// observeResult updates the service time estimate, the adaptive limit and the
// draining state from a result.
func (d *Dispatcher) observeResult(now time.Time, a *runningAttempt, res Result) {
	switch res.Kind {
	case attempt.Answered:
		a.request.class.serviceTime.Add(now, now.Sub(a.started))
		a.target.limit.Answered()
	case attempt.Shed:
		a.target.limit.Shed(now, res.RetryAfter)
	case attempt.Draining:
		d.startDraining(now, a.target, true)
	}
}

func (d *Dispatcher) release(now time.Time, a *runningAttempt) {
	t := a.target
	t.inFlight--
	if a.trial {
		t.trial = false
	}
	if a.upload {
		d.uploadsInFlight--
	}
	if t.removed && t.inFlight == 0 {
		delete(d.removedTargets, t.ID)
	}
	d.refreshTarget(now, t)
}

func (d *Dispatcher) completeOrRetry(now time.Time, a *runningAttempt, res Result) {
	r := a.request
	r.running, r.lastAttempt, r.lastResult = 0, a.id, res
	r.mayHaveRun = r.mayHaveRun || !didNotRun(res)
	switch {
	case r.canceled:
		d.returnTrialToken(now, a)
	case res.Kind == attempt.Answered:
		d.returnTrialToken(now, a)
		delete(d.requests, r.ID)
		d.emit(Complete{Request: r.ID, Attempt: a.id})
	case !d.retry(now, a, res):
		d.fail(r)
	}
}

func (d *Dispatcher) fail(r *request) {
	delete(d.requests, r.ID)
	d.emit(Fail{Request: r.ID, Attempt: r.lastAttempt, Result: r.lastResult, NotRun: !r.mayHaveRun})
}

func (d *Dispatcher) start(now time.Time, r *request, t *target, isTrial bool) {
	c := r.class
	d.stopTimer(r)
	r.item = nil
	d.lastAttemptID++
	r.running = d.lastAttemptID
	r.attempts++
	r.addTried(t.ID)
	t.inFlight++
	t.lastStart = now
	t.trial = t.trial || isTrial
	if c.Upload {
		d.uploadsInFlight++
	}
	c.countCrossRegion(t, r.BodyBytes)
	d.attempts[r.running] = &runningAttempt{id: r.running, request: r, target: t, started: now, upload: c.Upload, trial: isTrial}
	fresh := isTrial || d.health.NeedsFreshConnection(now, t.ID)
	d.health.AttemptStarted(now, health.Attempt{ID: r.running, Target: t.ID, Class: c.Name, Fresh: fresh, Trial: isTrial})
	d.advanceHealthTick(now)
	d.refreshTarget(now, t)
	d.emit(Start{
		Request: r.ID,
		Attempt: r.running,
		Target:  t.ID,
		Timeout: attemptTimeout(now, r, isTrial),
		Fresh:   fresh,
		Trial:   isTrial,

		SilentTimeout: r.silentTimeout(),
	})
}

// Parameters of the time after which an attempt on a reused connection without a
// first byte is aborted. If service times are lognormal with a spread of a factor
// of e, 0.2% of the requests take longer than 10 times the mean.
const (
	silentTimeoutFactor = 10
	minSilentTimeout    = 200 * time.Millisecond
)

// silentTimeout returns 0 if the request cannot be retried or no service time has
// been measured.
func (r *request) silentTimeout() time.Duration {
	typical := r.class.serviceTime.LastMean()
	if !r.idempotent || typical == 0 || r.attempts >= r.class.MaxAttempts {
		return 0
	}
	return max(minSilentTimeout, silentTimeoutFactor*typical)
}

// attemptTimeout returns the timeout of the next attempt. A trial gets half of
// the remaining time, so that another attempt is possible after it.
func attemptTimeout(now time.Time, r *request, isTrial bool) time.Duration {
	timeout := r.Deadline.Sub(now)
	if isTrial {
		timeout /= 2
	}
	if r.class.AttemptTimeout > 0 {
		timeout = min(timeout, r.class.AttemptTimeout)
	}
	return timeout
}

// addTried adds the target to the tried targets, or moves it to the end.
func (r *request) addTried(id ident.TargetID) {
	kept := r.tried[:0]
	for _, other := range r.tried {
		if other != id {
			kept = append(kept, other)
		}
	}
	r.tried = append(kept, id)
}
