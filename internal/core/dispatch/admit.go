package dispatch

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
)

const (
	// noTargetRetryAfter is the wait suggested when no target is in rotation.
	noTargetRetryAfter = time.Second
	// minRetryAfter and maxRetryAfter bound the wait suggested from the queue.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// admit starts a request, queues it or refuses it.
func (d *Dispatcher) admit(now time.Time, r *request) {
	c := r.class
	switch {
	case r.tooShort(now, 0):
		d.refuse(now, r, DeadlineTooShort)
	case len(c.members) == 0:
		d.refuse(now, r, NoTarget)
	case c.noneWaits() && d.place(now, r):
		d.accept(now, r)
	case r.tooShort(now, d.waitEstimate(now, c)):
		d.refuse(now, r, DeadlineTooShort)
	case d.queue.Full() && !d.makeRoom(now, c):
		d.refuse(now, r, QueueFull)
	default:
		d.accept(now, r)
		d.enqueue(now, r)
	}
}

// noneWaits reports whether no first attempt waits. A retry that waits does not
// hold back others: only targets that it must not get have free slots.
func (c *class) noneWaits() bool {
	_, first := c.flow.Heads()
	return first == nil
}

// makeRoom refuses the newest waiting request of the class that has the most of
// them, if that leaves this class no more than it. A class whose requests wait
// long thus cannot take the whole queue.
func (d *Dispatcher) makeRoom(now time.Time, c *class) bool {
	longest := c
	for _, other := range d.order {
		if other.flow.FirstAttempts() > longest.flow.FirstAttempts() {
			longest = other
		}
	}
	if longest.flow.FirstAttempts() <= c.flow.FirstAttempts()+1 {
		return false
	}
	d.endWait(now, longest.flow.Newest().Value, QueueFull)
	return true
}

func (d *Dispatcher) accept(now time.Time, r *request) {
	d.requests[r.ID] = r
	d.budget.Request(now)
}

func (d *Dispatcher) refuse(now time.Time, r *request, reason RefuseReason) {
	retryAfter := noTargetRetryAfter
	if reason != NoTarget {
		retryAfter = min(maxRetryAfter, max(minRetryAfter, d.waitEstimate(now, r.class)))
	}
	if reason == UnknownClass {
		retryAfter = 0
	}
	d.emit(Refuse{Request: r.ID, Reason: reason, RetryAfter: retryAfter})
}

// tooShort reports whether the deadline leaves no time for an attempt after a
// wait.
func (r *request) tooShort(now time.Time, wait time.Duration) bool {
	remaining := r.Deadline.Sub(now) - wait
	return remaining <= 0 || remaining < r.class.service.LowQuantile(now)
}

// waitEstimate is the expected time in the queue of a new request of a class.
// Round robin serves the waiting classes in turns, so the requests ahead are at
// most as many from each other class as from the request's own.
func (d *Dispatcher) waitEstimate(now time.Time, c *class) time.Duration {
	own := c.flow.Len()
	ahead := 0
	for _, other := range d.order {
		ahead += min(own, other.flow.Len())
	}
	return limit.QueueWait(c.service.Mean(now), ahead, d.slotsFor(c))
}

// place starts a request if a target has a free slot for it.
func (d *Dispatcher) place(now time.Time, r *request) bool {
	if d.uploadsAtCap(r.class) {
		return false
	}
	if t := d.takeTrial(now, r); t != nil {
		d.start(now, r, t, true)
		return true
	}
	if !r.class.picker.Available() {
		return false
	}
	t := r.class.pick(d.exclusions(r))
	if t == nil {
		return false
	}
	d.start(now, r, t, false)
	return true
}

// uploadsAtCap reports whether uploads hold their share of the slots, so that
// they cannot starve the other classes.
func (d *Dispatcher) uploadsAtCap(c *class) bool {
	return c.Upload && !d.uploadsOnly && d.uploads >= d.slotsFor(c)
}

// slotsFor returns the slots that a class may occupy.
func (d *Dispatcher) slotsFor(c *class) int {
	if !c.Upload || d.uploadsOnly {
		return c.capacity
	}
	return max(1, int(d.cfg.UploadShare*float64(c.capacity)))
}

// exclusions returns the rotation's members that a request must not get: those
// it tried, or only the latest when it tried all, or none when there is only
// one.
func (d *Dispatcher) exclusions(r *request) []int {
	c := r.class
	d.excluded = d.excluded[:0]
	if len(c.members) == 1 {
		return nil
	}
	for _, id := range r.tried {
		t := d.targets[id]
		if t == nil {
			continue
		}
		if place := t.place(c); place != notInRotation {
			d.excluded = append(d.excluded, place)
		}
	}
	if len(d.excluded) < len(c.members) {
		return d.excluded
	}
	return d.excluded[len(d.excluded)-1:]
}

// enqueue queues a request until the time at which its deadline gets too short.
func (d *Dispatcher) enqueue(now time.Time, r *request) bool {
	r.item = d.queue.Push(r.class.flow, r, r.attempts > 0)
	if r.item == nil {
		return false
	}
	at := r.Deadline.Add(-r.class.service.LowQuantile(now))
	r.timer = d.timers.add(&timer{at: at, kind: requestTimer, request: r})
	return true
}

// pump serves the queue as far as slots are free.
func (d *Dispatcher) pump(now time.Time) {
	if d.queue.Empty() {
		return
	}
	for _, c := range d.order {
		d.dropShort(now, c)
		c.flow.SetCost(c.service.Mean(now))
	}
	serve := func(r *request) bool { return d.place(now, r) }
	for d.queue.Next(serve) {
	}
}

// dropShort ends the waiting requests at the head of a class that have no time
// left for an attempt.
func (d *Dispatcher) dropShort(now time.Time, c *class) {
	for {
		retry, first := c.flow.Heads()
		switch {
		case retry != nil && retry.Value.tooShort(now, 0):
			d.endWait(now, retry.Value, DeadlineTooShort)
		case first != nil && first.Value.tooShort(now, 0):
			d.endWait(now, first.Value, DeadlineTooShort)
		default:
			return
		}
	}
}

// endWait ends a waiting request: a refusal if it had no attempt, else the
// failure of its last attempt.
func (d *Dispatcher) endWait(now time.Time, r *request, reason RefuseReason) {
	d.stopWaiting(r)
	if r.attempts > 0 {
		d.fail(r)
		return
	}
	delete(d.requests, r.ID)
	d.refuse(now, r, reason)
}

// stopWaiting takes a request out of the queue or the wait for a retry.
func (d *Dispatcher) stopWaiting(r *request) {
	d.stopTimer(r)
	if r.item != nil {
		d.queue.Remove(r.item)
		r.item = nil
	}
	if r.backoff {
		d.queue.Release()
		r.backoff = false
	}
}

func (d *Dispatcher) stopTimer(r *request) {
	d.timers.remove(r.timer)
	r.timer = nil
}

func (c *class) countCrossing(t *target, bodyBytes int64) {
	if t.distance != balance.OtherRegion {
		return
	}
	c.crossAttempts++
	c.crossBytes += uint64(max(0, bodyBytes))
}
