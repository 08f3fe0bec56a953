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
	// refusalHold is the time for which a target receives no requests after it
	// refused one because it is draining or because its address belongs to another
	// target.
	refusalHold = 5 * time.Second
	// dialBackoff is the time for which a target receives no requests after a
	// failed dial. It doubles with each further failure up to maxDialBackoff.
	dialBackoff    = 200 * time.Millisecond
	maxDialBackoff = 3 * time.Second
	// maxUnsentAttempts bounds the attempts of a request for which no byte was
	// sent.
	maxUnsentAttempts = 3
	// noTargetRetryAfter is the suggested retry delay when no target is known.
	noTargetRetryAfter = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay suggested from the
	// queue length.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// maxRateRetryAfter replaces maxRetryAfter when all targets state rates: the time
	// until the next permit is then known.
	maxRateRetryAfter = 10 * time.Second
	// overdueFactor is the multiple of the mean response time after which an open
	// attempt counts as a failure. Few responses take that long.
	overdueFactor = 5
)

// Arrive admits a request or refuses it. A request whose ID is in use is ignored.
func (s *Scheduler) Arrive(now time.Time, in dispatch.Request) []dispatch.Action {
	if s.requests[in.ID] != nil {
		return nil
	}
	c := s.classOf(in.Class)
	if c == nil {
		return []dispatch.Action{dispatch.Refuse{Request: in.ID, Reason: dispatch.UnknownClass}}
	}
	s.decide(now, s.register(now, c, in))
	return s.flush(now)
}

// register counts a new request and adds it to the requests of this host.
func (s *Scheduler) register(now time.Time, c *class, in dispatch.Request) *request {
	s.budget.Request(now)
	if in.Deadline.IsZero() {
		in.Deadline = now.Add(c.Deadline)
	}
	r := &request{Request: in, class: c, idempotent: c.Idempotent && !in.NonIdempotent, arrived: now}
	s.requests[r.ID] = r
	if r.idempotent {
		s.outcomes.bucket(now).idempotent++
	}
	if s.hostLossPending {
		s.hostLossPending, s.hostLossFloorUntil = false, now.Add(hostLossFloorTime)
	}
	s.updateLastResort(now)
	return r
}

// decide starts, queues or refuses a new request.
func (s *Scheduler) decide(now time.Time, r *request) {
	switch {
	case r.deadlineTooShort(now, 0):
		// No capacity would serve it, so it is no part of the demand.
		s.endRefused(now, r, dispatch.DeadlineTooShort)
	case r.deadlineTooShort(now, s.unavailableFor(now)):
		s.countUnadmitted(r)
		s.refuse(now, r, dispatch.NoTarget)
	case s.refuseIfShort(now, r):
	case s.queuePosition(r) == 0 && s.tryStart(now, r, 0):
	case r.permitTooLate(now, s.startWait(now, r, s.queuePosition(r))):
		s.startOrRefuse(now, r, s.startWaitReason(now))
	case r.deadlineTooShort(now, s.waitEstimate(now, r)):
		s.startOrRefuse(now, r, dispatch.DeadlineTooShort)
	case len(s.waiting) >= s.cfg.QueueLength:
		s.startOrRefuse(now, r, dispatch.QueueFull)
	default:
		s.enqueue(r)
	}
}

// deadlineTooShort reports whether the deadline leaves no time for an attempt after
// a wait.
func (r *request) deadlineTooShort(now time.Time, wait time.Duration) bool {
	left := r.Deadline.Sub(now) - wait
	return left <= 0 || left < r.class.serviceTime.LowQuantile(now)
}

func (s *Scheduler) refuse(now time.Time, r *request, reason dispatch.RefuseReason) {
	s.admission.Refused()
	s.endRefused(now, r, reason)
}

// endRefused refuses a request without counting it as one that lacked capacity.
func (s *Scheduler) endRefused(now time.Time, r *request, reason dispatch.RefuseReason) {
	s.recordOutcome(now, r, false)
	delete(s.requests, r.ID)
	var wait time.Duration
	switch reason {
	case dispatch.NoTarget:
		wait = s.noTargetRetryDelay(now)
	case dispatch.RateLimited, dispatch.TargetsPaused:
		wait = s.startRetryAfter(now, r)
	default:
		wait = min(maxRetryAfter, max(minRetryAfter, s.waitEstimate(now, r)))
	}
	s.emit(dispatch.Refuse{Request: r.ID, Reason: reason, RetryAfter: wait})
}

// queuePosition is the number of waiting requests that precede a new one.
func (s *Scheduler) queuePosition(r *request) int {
	if at := slices.IndexFunc(s.waiting, r.before); at >= 0 {
		return at
	}
	return len(s.waiting)
}

// before reports whether a request is started before another waiting one.
func (r *request) before(o *request) bool {
	if r.TeamPriority != o.TeamPriority {
		return r.TeamPriority < o.TeamPriority
	}
	if r.class.Priority != o.class.Priority {
		return r.class.Priority < o.class.Priority
	}
	if (r.attempts > 0) != (o.attempts > 0) {
		return r.attempts > 0
	}
	return r.arrived.Before(o.arrived)
}

// waitEstimate is the expected queueing time of a new request.
func (s *Scheduler) waitEstimate(now time.Time, r *request) time.Duration {
	if wait := s.pauseWait(now, r, s.queuePosition(r)); wait > 0 && !s.anyUsable(now) {
		return wait
	}
	mean := r.class.serviceTime.Mean(now)
	return limit.QueueWait(mean, s.queuePosition(r), s.capacity(now, mean))
}

func (s *Scheduler) enqueue(r *request) {
	r.queued = true
	s.waiting = slices.Insert(s.waiting, s.queuePosition(r), r)
}

func (s *Scheduler) dequeue(r *request) {
	if r.queued {
		r.queued = false
		s.waiting = slices.DeleteFunc(s.waiting, func(o *request) bool { return o == r })
	}
}

// startQueued starts waiting requests while slots are free and ends those whose
// deadline can no longer be met.
func (s *Scheduler) startQueued(now time.Time) {
	ahead, unavailable := 0, s.unavailableFor(now)
	for _, r := range slices.Clone(s.waiting) {
		switch {
		case r.deadlineTooShort(now, 0):
			s.dequeue(r)
			s.endWaiting(now, r, dispatch.DeadlineTooShort)
		case r.deadlineTooShort(now, unavailable):
			s.dequeue(r)
			s.endWaiting(now, r, dispatch.NoTarget)
		case s.neverStarts(now, r, ahead):
			s.dequeue(r)
			s.endWaiting(now, r, s.startWaitReason(now))
		case s.tryStart(now, r, ahead):
			s.dequeue(r)
		default:
			ahead++
		}
	}
}

// endWaiting ends a waiting request: as refused if it had no attempt, otherwise as
// failed with the result of its last attempt.
func (s *Scheduler) endWaiting(now time.Time, r *request, reason dispatch.RefuseReason) {
	if r.attempts == 0 {
		s.refuse(now, r, reason)
		return
	}
	s.fail(now, r)
}

func (s *Scheduler) start(now time.Time, r *request, c candidate) {
	t := c.target
	why := dispatch.Selection{
		Cost:               c.cost,
		FailureProbability: t.belief.RequestFailureProbability(now),
		SinceOutcome:       t.belief.SinceObservation(now),
		InFlight:           t.inFlight,
		OtherLoad:          t.otherLoad.Load(now),
		Slots:              t.Slots,
		WaitTime:           now.Sub(r.arrived),
		KeepsFloor:         r.forFloor && r.attempts == 0,
	}
	if t.distance != balance.SameZone {
		why.Leaves, why.To = s.leaveReason(now, r, t), t.Location
		why.DistanceCost, why.ZoneShortage = s.distanceCost(now, r.class, t), s.shares.Shortage()
	}
	s.shares.Count(t.Location)
	if l := t.rate.Limit(); l.Limited {
		why.RateLimited, why.RateLimit, why.SinceRateLimit, why.Permits = true, l.Rate, now.Sub(l.HeardAt), t.rate.Permits(now)-1
	}
	s.lastID++
	r.running = s.lastID
	r.attempts++
	r.tried = append(r.tried, t.ID)
	t.inFlight++
	t.started++
	s.admission.Started()
	usedBefore := t.lastUsed
	t.lastUsed = now
	t.useIdleConnection(now)
	t.rate.Use(now)
	t.inFlightChanged = true
	s.attempts[r.running] = &runningAttempt{id: r.running, request: r, target: t, started: now, usedBefore: usedBefore}
	s.emit(dispatch.Start{Request: r.ID, Attempt: r.running, Target: t.ID, Timeout: r.Deadline.Sub(now), Selection: why})
}

// Commit reports that the driver is forwarding the response of a running attempt to
// the caller. The request gets no further attempt.
func (s *Scheduler) Commit(_ time.Time, id ident.AttemptID) {
	if a := s.attempts[id]; a != nil {
		a.request.committed = true
	}
}

// Cancel reports that the caller has disconnected. The request ends without
// Complete, Fail or Refuse; a running attempt is canceled and still reported by
// Finish.
func (s *Scheduler) Cancel(now time.Time, id ident.RequestID) []dispatch.Action {
	r := s.requests[id]
	if r == nil {
		return nil
	}
	delete(s.requests, id)
	s.recordOutcome(now, r, false)
	r.canceled = true
	s.dequeue(r)
	if r.running != 0 {
		s.emit(dispatch.CancelAttempt{Attempt: r.running})
	}
	return s.flush(now)
}

// Finish reports the end of an attempt.
func (s *Scheduler) Finish(now time.Time, id ident.AttemptID, res dispatch.Result) []dispatch.Action {
	a := s.attempts[id]
	if a == nil {
		return nil
	}
	delete(s.attempts, id)
	a.target.inFlight--
	a.target.inFlightChanged = true
	s.observeTraffic(now, a, res)
	if res.Kind == attempt.Shed {
		s.admission.Shed()
	} else if !res.NotSent {
		s.admission.Ended(now.Sub(a.started))
	}
	s.observeResult(now, a, res)
	r := a.request
	r.running, r.last, r.result, r.askedPause = 0, a.id, res, a.askedPause || res.Kind == attempt.Withdrawn
	if res.NotSent {
		r.unsentAttempts++
	}
	r.mayHaveRun = r.mayHaveRun || !retry.DidNotRun(res)
	switch {
	case r.canceled:
	case res.Kind == attempt.Answered:
		delete(s.requests, r.ID)
		s.recordOutcome(now, r, true)
		s.emit(dispatch.Complete{Request: r.ID, Attempt: a.id})
	case !s.tryRetry(now, r, res):
		s.fail(now, r)
	}
	return s.flush(now)
}

func (s *Scheduler) fail(now time.Time, r *request) {
	s.recordOutcome(now, r, false)
	delete(s.requests, r.ID)
	if r.askedPause {
		// Other targets may take the request before the pause of this one ends.
		r.result.RetryAfter = s.startRetryAfter(now, r)
	}
	s.emit(dispatch.Fail{Request: r.ID, Attempt: r.last, Result: r.result, NotRun: !r.mayHaveRun})
}

// recordOutcome counts a request that ended. Failures of requests sent for the floor are
// counted apart, see outcomeBucket.unservedShare.
func (s *Scheduler) recordOutcome(now time.Time, r *request, served bool) {
	switch {
	case served:
		s.addOutcome(now, 0)
	case r.forFloor:
		s.floorUnserved++
		s.outcomes.add(now, 0, 0, 1)
	default:
		s.addOutcome(now, 1)
	}
}

// CountSplitOutcome counts a request of a split route that was sent to another
// service.
func (s *Scheduler) CountSplitOutcome(now time.Time, served bool) {
	if served {
		s.addOutcome(now, 0)
		return
	}
	s.addOutcome(now, 1)
}

// addOutcome counts a request locally and for the next message to the other hosts.
func (s *Scheduler) addOutcome(now time.Time, unserved int) {
	s.ended++
	s.unserved += unserved
	s.outcomes.add(now, 1, unserved, 0)
}

// observeResult updates the estimates for a target from the result of an attempt. A target
// that asked for a pause is not failing, whatever becomes of its response.
func (s *Scheduler) observeResult(now time.Time, a *runningAttempt, res dispatch.Result) {
	t := a.target
	took := now.Sub(a.started)
	switch res.Kind {
	case attempt.Answered:
		t.idleSince = append(t.idleSince, now)
		t.responded, s.anyResponse = true, true
		t.successes++
		t.belief.Observe(now, false)
		t.latencyRatio.Observe(now, took, a.request.class.serviceTime.Mean(now))
		a.request.class.serviceTime.Add(now, took)
		t.otherLoad.Lifetime = min(balance.ReportLifetime, otherLoadLifetimeFactor*a.request.class.serviceTime.Mean(now))
		t.limit.Answered()
		t.rejections.observe(now, false)
	case attempt.Shed:
		t.idleSince = append(t.idleSince, now)
		t.limit.Shed(now, res.RetryAfter)
		t.rejections.observe(now, true)
	case attempt.Draining:
		t.unavailableUntil = now.Add(refusalHold)
	case attempt.Withdrawn:
		s.withdraw(now, a)
	case attempt.ServerError, attempt.BadAnswer, attempt.ConnectionLost:
		if !a.askedPause {
			s.observeFailure(now, t, !res.NotSent)
		}
	case attempt.DialFailed:
		t.unavailableUntil = now.Add(min(maxDialBackoff, dialBackoff<<min(t.dialFailures, maxDialDoublings)))
		t.dialFailures++
		s.observeFailure(now, t, false)
	case attempt.TimedOut:
		if !a.overdue && !a.askedPause {
			s.observeFailure(now, t, false)
		}
	}
	if res.FirstByte > 0 {
		t.dialFailures = 0
	}
}

// otherLoadLifetimeFactor is the multiple of the mean response time over which the
// reported load of others decays, since most of the reported requests have ended
// after a few response times.
const otherLoadLifetimeFactor = 3

// maxDialDoublings keeps the shift of dialBackoff from overflowing.
const maxDialDoublings = 6

// observeFailure counts a failure. Failures that the network path may have caused
// are not reported to the other hosts, which may use another path.
func (s *Scheduler) observeFailure(now time.Time, t *target, atTarget bool) {
	if t.process.leaving.known {
		// A target that is leaving is well, and it gets no further requests anyway.
		return
	}
	t.belief.Observe(now, true)
	t.failedAt = now
	if atTarget {
		t.failures++
		s.urgent = true
	}
	s.updateAvoided(now, t, "own request")
}

// tryRetry gives a request another attempt, now or when a slot is free, and reports
// whether it did.
func (s *Scheduler) tryRetry(now time.Time, r *request, res dispatch.Result) bool {
	state := retry.State{
		Idempotent:  r.idempotent,
		Committed:   r.committed,
		Attempts:    r.attempts - r.unsentAttempts,
		MaxAttempts: r.class.MaxAttempts,
		Remaining:   r.Deadline.Sub(now),
		Needed:      r.class.serviceTime.LowQuantile(now),
	}
	s.updateLastResort(now)
	if !retry.Allowed(state, res) || r.deadlineTooShort(now, s.unavailableFor(now)) || r.unsentAttempts-r.withdrawnAttempts > maxUnsentAttempts {
		return false
	}
	// An attempt that was not sent does not count against the retry budget.
	if !res.NotSent && !s.budget.Take(now) {
		return false
	}
	if s.queuePosition(r) == 0 && s.tryStart(now, r, 0) {
		return true
	}
	s.enqueue(r)
	return true
}

// Tick advances timers.
func (s *Scheduler) Tick(now time.Time) []dispatch.Action {
	for _, a := range s.attempts {
		mean := a.request.class.serviceTime.Mean(now)
		if !a.overdue && !a.askedPause && mean > 0 && now.Sub(a.started) > overdueFactor*mean {
			a.overdue = true
			s.observeFailure(now, a.target, false)
		}
	}
	s.endPauses(now)
	for _, t := range s.order {
		if t.avoided {
			s.updateAvoided(now, t, "time")
		}
	}
	return s.flush(now)
}

const (
	// busyTick is the interval between ticks while requests wait. While requests
	// only run it is four times as long.
	busyTick = 25 * time.Millisecond
	// idleTick is the interval between ticks while no request waits or runs.
	idleTick = time.Second
)

// NextTick returns the time of the next Tick that can have an effect.
func (s *Scheduler) NextTick(now time.Time) time.Time {
	next := now.Add(idleTick)
	switch {
	case len(s.waiting) > 0:
		next = now.Add(busyTick)
	case len(s.attempts) > 0:
		next = now.Add(4 * busyTick)
	}
	for _, st := range s.pauses {
		if st.pausedUntil.Before(next) {
			next = st.pausedUntil
		}
	}
	return next
}
