package dispatch

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
)

// request is an admitted request. It is in exactly one of three states: in the
// queue (item is set), waiting for a retry (backoff is true) or running
// (running is set).
type request struct {
	Request
	class *class
	// idempotent is the class's property when the request was accepted, so that
	// a new revision cannot make a request repeatable that was not.
	idempotent bool
	attempts   int
	// tried holds the targets of earlier attempts, the latest last. They are
	// kept by name, since a later revision may remove and add a target again.
	tried      []ident.TargetID
	mayHaveRun bool
	committed  bool
	canceled   bool

	item    *limit.Item[*request]
	backoff bool
	timer   *timer
	running ident.AttemptID
	// last and result describe the latest attempt that ended.
	last   ident.AttemptID
	result Result
}

type openAttempt struct {
	id      ident.AttemptID
	request *request
	target  *target
	started time.Time
	upload  bool
	trial   bool
}

// Arrive admits a request or refuses it. A request whose ID is in use is
// ignored.
func (d *Dispatcher) Arrive(now time.Time, r Request) []Action {
	if d.requests[r.ID] != nil {
		return nil
	}
	c := d.classes[r.Class]
	if c == nil {
		return []Action{Refuse{Request: r.ID, Reason: UnknownClass}}
	}
	d.syncAll(now)
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(c.Deadline)
	}
	d.admit(now, &request{Request: r, class: c, idempotent: c.Idempotent && !r.NonIdempotent})
	return d.settle(now)
}

// Commit reports that the driver passes the response of a running attempt on
// to the caller. The request gets no further attempt.
func (d *Dispatcher) Commit(_ time.Time, id ident.AttemptID) {
	if a := d.attempts[id]; a != nil {
		a.request.committed = true
	}
}

// Cancel reports that the caller is gone. The request ends without Complete,
// Fail or Refuse; a running attempt is canceled and still reported by Finish.
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
	return d.settle(now)
}

// Finish reports the end of an attempt.
func (d *Dispatcher) Finish(now time.Time, id ident.AttemptID, res Result) []Action {
	a := d.attempts[id]
	if a == nil {
		return nil
	}
	delete(d.attempts, id)
	d.learn(now, a, res)
	d.release(now, a)
	if changes := d.health.AttemptFinished(now, id, res); len(changes) > 0 {
		d.record(changes)
		d.refreshTrials(now)
	}
	d.syncAll(now)
	d.conclude(now, a, res)
	return d.settle(now)
}

// learn takes what a result says about the target's load.
func (d *Dispatcher) learn(now time.Time, a *openAttempt, res Result) {
	switch res.Kind {
	case attempt.Answered:
		a.request.class.service.Add(now, now.Sub(a.started))
		a.target.limit.Answered()
	case attempt.Shed:
		a.target.limit.Shed(now, res.RetryAfter)
	case attempt.Draining:
		d.announceDraining(now, a.target, true)
	}
}

func (d *Dispatcher) release(now time.Time, a *openAttempt) {
	t := a.target
	t.inFlight--
	if a.trial {
		t.trial = false
	}
	if a.upload {
		d.uploads--
	}
	if t.removed && t.inFlight == 0 {
		delete(d.leaving, t.ID)
	}
	d.refresh(now, t)
}

func (d *Dispatcher) conclude(now time.Time, a *openAttempt, res Result) {
	r := a.request
	r.running, r.last, r.result = 0, a.id, res
	r.mayHaveRun = r.mayHaveRun || !didNotRun(res)
	switch {
	case r.canceled:
		d.returnToken(now, a)
	case res.Kind == attempt.Answered:
		d.returnToken(now, a)
		delete(d.requests, r.ID)
		d.emit(Complete{Request: r.ID, Attempt: a.id})
	case !d.retry(now, a, res):
		d.fail(r)
	}
}

func (d *Dispatcher) fail(r *request) {
	delete(d.requests, r.ID)
	d.emit(Fail{Request: r.ID, Attempt: r.last, Result: r.result, NotRun: !r.mayHaveRun})
}

func (d *Dispatcher) start(now time.Time, r *request, t *target, isTrial bool) {
	c := r.class
	d.stopTimer(r)
	r.item = nil
	d.lastID++
	r.running = d.lastID
	r.attempts++
	r.addTried(t.ID)
	t.inFlight++
	t.lastStart = now
	t.trial = t.trial || isTrial
	if c.Upload {
		d.uploads++
	}
	c.countCrossing(t, r.BodyBytes)
	d.attempts[r.running] = &openAttempt{id: r.running, request: r, target: t, started: now, upload: c.Upload, trial: isTrial}
	fresh := isTrial || d.health.NeedsFreshConnection(now, t.ID)
	d.health.AttemptStarted(now, health.Attempt{ID: r.running, Target: t.ID, Class: c.Name, Fresh: fresh, Trial: isTrial})
	d.hastenHealth(now)
	d.refresh(now, t)
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

// Parameters of the time after which a reused connection without a first byte
// is given up. With service times that spread lognormally by a factor of e, 0.2%
// of the requests take longer than 10 times the mean.
const (
	silentServiceTimes = 10
	minSilentTimeout   = 200 * time.Millisecond
)

// silentTimeout is 0 when the request cannot be tried again or nothing is known
// about service times.
func (r *request) silentTimeout() time.Duration {
	typical := r.class.service.LastMean()
	if !r.idempotent || typical == 0 || r.attempts >= r.class.MaxAttempts {
		return 0
	}
	return max(minSilentTimeout, silentServiceTimes*typical)
}

// attemptTimeout leaves half of the remaining time for another attempt when
// the attempt is a trial.
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

// addTried moves the target to the end of the tried targets.
func (r *request) addTried(id ident.TargetID) {
	kept := r.tried[:0]
	for _, other := range r.tried {
		if other != id {
			kept = append(kept, other)
		}
	}
	r.tried = append(kept, id)
}
