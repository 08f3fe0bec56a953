package schedule

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
)

const (
	// refusedHold is how long a target gets no work after it refused a request
	// because it drains or its address belongs to another target.
	refusedHold = 5 * time.Second
	// dialHold is how long a target gets no work after a connection could not be
	// opened. It doubles with each further failure up to maxDialHold.
	dialHold    = 200 * time.Millisecond
	maxDialHold = 3 * time.Second
	// maxUnsent bounds the attempts of a request of which no byte was sent.
	maxUnsent = 3
	// noTargetRetryAfter is the wait suggested when no target is known.
	noTargetRetryAfter = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the wait suggested from the queue.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// overdueFactor is the multiple of the mean response time after which an open
	// attempt counts as a failure; few answers take as long.
	overdueFactor = 5
)

// Arrive admits a request or refuses it. A request whose ID is in use is ignored.
func (s *Scheduler) Arrive(now time.Time, in dispatch.Request) []dispatch.Action {
	if s.requests[in.ID] != nil {
		return nil
	}
	c := s.classes[in.Class]
	if c == nil {
		return []dispatch.Action{dispatch.Refuse{Request: in.ID, Reason: dispatch.UnknownClass}}
	}
	s.budget.Request(now)
	if in.Deadline.IsZero() {
		in.Deadline = now.Add(c.Deadline)
	}
	r := &request{Request: in, class: c, idempotent: c.Idempotent && !in.NonIdempotent, arrived: now}
	s.requests[r.ID] = r
	if r.idempotent {
		s.outcomes.at(now).idempotent++
	}
	if s.unsettled {
		s.unsettled, s.unsettledUntil = false, now.Add(unsettledTime)
	}
	switch {
	case r.tooShort(now, 0):
		s.refuse(now, r, dispatch.DeadlineTooShort)
	case len(s.order) == 0:
		s.refuse(now, r, dispatch.NoTarget)
	case s.ahead(r) == 0 && s.place(now, r, 0):
	case r.tooShort(now, s.waitEstimate(now, r)):
		s.refuse(now, r, dispatch.DeadlineTooShort)
	case len(s.waiting) >= s.cfg.QueueLength:
		s.refuse(now, r, dispatch.QueueFull)
	default:
		s.enqueue(r)
	}
	return s.settle(now)
}

// tooShort reports whether the deadline leaves no time for an attempt after a
// wait.
func (r *request) tooShort(now time.Time, wait time.Duration) bool {
	left := r.Deadline.Sub(now) - wait
	return left <= 0 || left < r.class.service.LowQuantile(now)
}

func (s *Scheduler) refuse(now time.Time, r *request, reason dispatch.RefuseReason) {
	s.count(now, r, false)
	delete(s.requests, r.ID)
	wait := noTargetRetryAfter
	if reason != dispatch.NoTarget {
		wait = min(maxRetryAfter, max(minRetryAfter, s.waitEstimate(now, r)))
	}
	s.emit(dispatch.Refuse{Request: r.ID, Reason: reason, RetryAfter: wait})
}

// ahead is the number of waiting requests that are served before a new one.
func (s *Scheduler) ahead(r *request) int {
	if at := slices.IndexFunc(s.waiting, r.before); at >= 0 {
		return at
	}
	return len(s.waiting)
}

func (r *request) before(o *request) bool {
	if r.class.Priority != o.class.Priority {
		return r.class.Priority < o.class.Priority
	}
	if (r.attempts > 0) != (o.attempts > 0) {
		return r.attempts > 0
	}
	return r.arrived.Before(o.arrived)
}

// waitEstimate is the expected time in the queue of a new request.
func (s *Scheduler) waitEstimate(now time.Time, r *request) time.Duration {
	return limit.QueueWait(r.class.service.Mean(now), s.ahead(r), s.capacity(now))
}

func (s *Scheduler) enqueue(r *request) {
	r.queued = true
	s.waiting = slices.Insert(s.waiting, s.ahead(r), r)
}

func (s *Scheduler) dequeue(r *request) {
	if r.queued {
		r.queued = false
		s.waiting = slices.DeleteFunc(s.waiting, func(o *request) bool { return o == r })
	}
}

// serve starts waiting requests as far as slots are free and ends those that have
// no time left.
func (s *Scheduler) serve(now time.Time) {
	ahead := 0
	for _, r := range slices.Clone(s.waiting) {
		switch {
		case r.tooShort(now, 0):
			s.dequeue(r)
			s.giveUp(now, r, dispatch.DeadlineTooShort)
		case len(s.order) == 0:
			s.dequeue(r)
			s.giveUp(now, r, dispatch.NoTarget)
		case s.place(now, r, ahead):
			s.dequeue(r)
		default:
			ahead++
		}
	}
}

// giveUp ends a waiting request: a refusal if it had no attempt, else the
// failure of its last attempt.
func (s *Scheduler) giveUp(now time.Time, r *request, reason dispatch.RefuseReason) {
	if r.attempts == 0 {
		s.refuse(now, r, reason)
		return
	}
	s.fail(now, r)
}

func (s *Scheduler) start(now time.Time, r *request, c choice) {
	t := c.target
	why := dispatch.Selection{
		Cost:     c.cost,
		FailureProbability:  t.belief.FailureProbability(now),
		SinceOutcome:   t.belief.SinceObservation(now),
		InFlight: t.inFlight,
		OtherLoad:   t.reported.Load(now),
		Slots:    t.Slots,
		WaitTime:   now.Sub(r.arrived),
		KeepsFloor:   r.covers && r.attempts == 0,
	}
	s.lastID++
	r.running = s.lastID
	r.attempts++
	r.tried = append(r.tried, t.ID)
	t.inFlight++
	t.started++
	t.lastUsed = now
	t.takeIdle(now)
	t.changed = true
	s.attempts[r.running] = &openAttempt{id: r.running, request: r, target: t, started: now}
	s.emit(dispatch.Start{Request: r.ID, Attempt: r.running, Target: t.ID, Timeout: r.Deadline.Sub(now), Selection: why})
}

// Commit reports that the driver passes the response of a running attempt on to
// the caller. The request gets no further attempt.
func (s *Scheduler) Commit(_ time.Time, id ident.AttemptID) {
	if a := s.attempts[id]; a != nil {
		a.request.committed = true
	}
}

// Cancel reports that the caller is gone. The request ends without Complete, Fail
// or Refuse; a running attempt is canceled and still reported by Finish.
func (s *Scheduler) Cancel(now time.Time, id ident.RequestID) []dispatch.Action {
	r := s.requests[id]
	if r == nil {
		return nil
	}
	delete(s.requests, id)
	s.count(now, r, false)
	r.canceled = true
	s.dequeue(r)
	if r.running != 0 {
		s.emit(dispatch.CancelAttempt{Attempt: r.running})
	}
	return s.settle(now)
}

// Finish reports the end of an attempt.
func (s *Scheduler) Finish(now time.Time, id ident.AttemptID, res dispatch.Result) []dispatch.Action {
	a := s.attempts[id]
	if a == nil {
		return nil
	}
	delete(s.attempts, id)
	a.target.inFlight--
	a.target.changed = true
	s.learn(now, a, res)
	r := a.request
	r.running, r.last, r.result = 0, a.id, res
	if res.NotSent {
		r.unsent++
	}
	r.mayHaveRun = r.mayHaveRun || !retry.DidNotRun(res)
	switch {
	case r.canceled:
	case res.Kind == attempt.Answered:
		delete(s.requests, r.ID)
		s.count(now, r, true)
		s.emit(dispatch.Complete{Request: r.ID, Attempt: a.id})
	case !s.again(now, r, res):
		s.fail(now, r)
	}
	return s.settle(now)
}

func (s *Scheduler) fail(now time.Time, r *request) {
	s.count(now, r, false)
	delete(s.requests, r.ID)
	s.emit(dispatch.Fail{Request: r.ID, Attempt: r.last, Result: r.result, NotRun: !r.mayHaveRun})
}

// count counts a request that ended. One that was lost to keep the floor does not
// count: the floor would bind for its own sake.
func (s *Scheduler) count(now time.Time, r *request, served bool) {
	unserved := 1
	switch {
	case served:
		unserved = 0
	case r.covers:
		return
	}
	s.tell(now, unserved)
}

// CountOther counts a request of a split route that another service got.
func (s *Scheduler) CountSplitOutcome(now time.Time, served bool) {
	if served {
		s.tell(now, 0)
		return
	}
	s.tell(now, 1)
}

// tell counts a request here and for the next message to the other hosts.
func (s *Scheduler) tell(now time.Time, unserved int) {
	s.ended++
	s.unserved += unserved
	s.outcomes.add(now, 1, unserved)
}

// learn takes what a result says about the target.
func (s *Scheduler) learn(now time.Time, a *openAttempt, res dispatch.Result) {
	t := a.target
	took := now.Sub(a.started)
	switch res.Kind {
	case attempt.Answered:
		t.idle = append(t.idle, now)
		t.seen, s.proven = true, true
		t.successes++
		t.belief.Observe(now, false)
		t.pace.Observe(now, took, a.request.class.service.Mean(now))
		a.request.class.service.Add(now, took)
		t.reported.Lifetime = min(balance.ReportLifetime, reportedFactor*a.request.class.service.Mean(now))
		t.limit.Answered()
	case attempt.Shed:
		t.idle = append(t.idle, now)
		t.limit.Shed(now, res.RetryAfter)
	case attempt.Draining:
		t.refusedUntil = now.Add(refusedHold)
	case attempt.ServerError, attempt.BadAnswer, attempt.ConnectionLost:
		s.failed(now, t, !res.NotSent)
	case attempt.DialFailed:
		t.refusedUntil = now.Add(min(maxDialHold, dialHold<<min(t.dialFailures, maxDialDoublings)))
		t.dialFailures++
		s.failed(now, t, false)
	case attempt.TimedOut:
		if !a.overdue {
			s.failed(now, t, false)
		}
	}
	if res.FirstByte > 0 {
		t.dialFailures = 0
	}
}

// reportedFactor is the multiple of the mean response time over which the load of
// others decays.
const reportedFactor = 3

// maxDialDoublings keeps the shift above from overflowing.
const maxDialDoublings = 6

// failed counts a failure. Failures of the way to the target are not reported to
// the other hosts, which may have another way.
func (s *Scheduler) failed(now time.Time, t *target, atTarget bool) {
	t.belief.Observe(now, true)
	t.failedAt = now
	if atTarget {
		t.failures++
		s.urgent = true
	}
	s.noteAvoided(now, t, "own request")
}

// again gives a request another attempt, now or when a slot is free, and reports
// whether it did.
func (s *Scheduler) again(now time.Time, r *request, res dispatch.Result) bool {
	state := retry.State{
		Idempotent:  r.idempotent,
		Committed:   r.committed,
		Attempts:    r.attempts - r.unsent,
		MaxAttempts: r.class.MaxAttempts,
		Remaining:   r.Deadline.Sub(now),
		Needed:      r.class.service.LowQuantile(now),
	}
	if !retry.Allowed(state, res) || len(s.order) == 0 || r.unsent > maxUnsent {
		return false
	}
	// What was not sent is no repeat for the targets.
	if !res.NotSent && !s.budget.Take(now) {
		return false
	}
	if s.ahead(r) == 0 && s.place(now, r, 0) {
		return true
	}
	s.enqueue(r)
	return true
}

// Tick advances timers.
func (s *Scheduler) Tick(now time.Time) []dispatch.Action {
	for _, a := range s.attempts {
		mean := a.request.class.service.Mean(now)
		if !a.overdue && mean > 0 && now.Sub(a.started) > overdueFactor*mean {
			a.overdue = true
			s.failed(now, a.target, false)
		}
	}
	for _, t := range s.order {
		if t.avoided {
			s.noteAvoided(now, t, "time")
		}
	}
	return s.settle(now)
}

const (
	// busyTick is the time between two ticks while requests wait or run.
	busyTick = 25 * time.Millisecond
	// idleTick is the time between two ticks otherwise.
	idleTick = time.Second
)

// NextTick returns the time of the next Tick that can have an effect.
func (s *Scheduler) NextTick(now time.Time) time.Time {
	switch {
	case len(s.waiting) > 0:
		return now.Add(busyTick)
	case len(s.attempts) > 0:
		return now.Add(4 * busyTick)
	}
	return now.Add(idleTick)
}
