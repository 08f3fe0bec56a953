package dispatch

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
)

func didNotRun(res Result) bool { return retry.DidNotRun(res) }

// retry starts or schedules another attempt and reports whether it did. The
// retry of a trial uses the token that was taken when the trial started.
func (d *Dispatcher) retry(now time.Time, a *runningAttempt, res Result) bool {
	r := a.request
	state := d.retryState(now, r)
	if !retry.Allowed(state, res) || r.class.removed || len(r.class.members) == 0 {
		d.returnTrialToken(now, a)
		return false
	}
	delay := retry.Delay(d.rng, state, res)
	if a.trial {
		delay = 0
	}
	if r.deadlineTooShort(now, delay) {
		d.returnTrialToken(now, a)
		return false
	}
	cost := retry.Cost(res)
	if a.trial {
		cost = retry.FullCost
	} else if !d.budget.Take(now, cost) {
		return false
	}
	if d.startRetry(now, r, delay) {
		return true
	}
	d.budget.Return(now, cost)
	return false
}

func (d *Dispatcher) retryState(now time.Time, r *request) retry.State {
	c := r.class
	return retry.State{
		Idempotent:  r.idempotent && c.Idempotent,
		Committed:   r.committed,
		Attempts:    r.attempts,
		MaxAttempts: c.MaxAttempts,
		Remaining:   r.Deadline.Sub(now),
		Needed:      c.serviceTime.LowQuantile(now),
		OnlyTarget:  len(c.members) == 1 && c.members[0].ID == r.tried[len(r.tried)-1],
	}
}

// startRetry starts another attempt, queues it or waits for its backoff. It
// returns false if the limit of waiting requests is reached.
func (d *Dispatcher) startRetry(now time.Time, r *request, delay time.Duration) bool {
	if delay == 0 {
		return d.tryStart(now, r) || d.enqueue(now, r)
	}
	if !d.queue.Reserve() {
		return false
	}
	r.inBackoff = true
	r.timer = d.timers.add(&timer{at: now.Add(delay), kind: requestTimer, request: r})
	return true
}

// returnTrialToken returns the budget token of a trial that needs no retry.
func (d *Dispatcher) returnTrialToken(now time.Time, a *runningAttempt) {
	if a.trial {
		d.budget.Return(now, retry.FullCost)
	}
}

// handleRequestTimer starts or queues a retry whose backoff has elapsed, and ends
// a queued request whose deadline leaves no time for an attempt.
func (d *Dispatcher) handleRequestTimer(now time.Time, r *request) {
	r.timer = nil
	if !r.inBackoff {
		d.endWait(now, r, DeadlineTooShort)
		return
	}
	r.inBackoff = false
	d.queue.Release()
	if r.class.removed || len(r.class.members) == 0 || r.deadlineTooShort(now, 0) || !d.startRetry(now, r, 0) {
		d.fail(r)
	}
}
