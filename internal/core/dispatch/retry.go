package dispatch

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
)

func didNotRun(res Result) bool { return retry.DidNotRun(res) }

// retry gives a request another attempt, now or later, and reports whether it
// did. The budget of a trial's retry was taken when the trial started.
func (d *Dispatcher) retry(now time.Time, a *openAttempt, res Result) bool {
	r := a.request
	state := d.retryState(now, r)
	if !retry.Allowed(state, res) || r.class.removed || len(r.class.members) == 0 {
		d.returnToken(now, a)
		return false
	}
	delay := retry.Delay(d.rng, state, res)
	if a.trial {
		delay = 0
	}
	if r.tooShort(now, delay) {
		d.returnToken(now, a)
		return false
	}
	cost := retry.Cost(res)
	if a.trial {
		cost = retry.FullCost
	} else if !d.budget.Take(now, cost) {
		return false
	}
	if d.again(now, r, delay) {
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
		Needed:      c.service.LowQuantile(now),
		OnlyTarget:  len(c.members) == 1 && c.members[0].ID == r.tried[len(r.tried)-1],
	}
}

// again starts another attempt, queues it or waits for its backoff. It fails
// when the bound of waiting requests is reached.
func (d *Dispatcher) again(now time.Time, r *request, delay time.Duration) bool {
	if delay == 0 {
		return d.place(now, r) || d.enqueue(now, r)
	}
	if !d.queue.Reserve() {
		return false
	}
	r.backoff = true
	r.timer = d.timers.add(&timer{at: now.Add(delay), kind: requestTimer, request: r})
	return true
}

// returnToken gives back the token of a trial that needs no retry.
func (d *Dispatcher) returnToken(now time.Time, a *openAttempt) {
	if a.trial {
		d.budget.Return(now, retry.FullCost)
	}
}

// requestDue ends the wait of a request: a retry whose backoff is over is
// started or queued, a queued request has no time left.
func (d *Dispatcher) requestDue(now time.Time, r *request) {
	r.timer = nil
	if !r.backoff {
		d.endWait(now, r, DeadlineTooShort)
		return
	}
	r.backoff = false
	d.queue.Release()
	if r.class.removed || len(r.class.members) == 0 || r.tooShort(now, 0) || !d.again(now, r, 0) {
		d.fail(r)
	}
}
