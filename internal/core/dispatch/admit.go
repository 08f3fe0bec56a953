package dispatch

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
)

const (
	// noTargetRetryAfter is the Retry-After value if no target is in rotation.
	noTargetRetryAfter = time.Second
	// minRetryAfter and maxRetryAfter limit the Retry-After value that is
	// estimated from the queue.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// admit starts a request, queues it or refuses it.
func (d *Dispatcher) admit(now time.Time, r *request) {
	c := r.class
	switch {
	case r.deadlineTooShort(now, 0):
		d.refuse(now, r, DeadlineTooShort)
	case len(c.members) == 0:
		d.refuse(now, r, NoTarget)
	case c.noFirstAttemptQueued() && d.tryStart(now, r):
		d.accept(now, r)
	case r.deadlineTooShort(now, d.estimateWait(now, c)):
		d.refuse(now, r, DeadlineTooShort)
	case d.queue.Full() && !d.evictFromLongest(now, c):
		d.refuse(now, r, QueueFull)
	default:
		d.accept(now, r)
		d.enqueue(now, r)
	}
}

// noFirstAttemptQueued reports whether no first attempt is queued. A queued retry
// does not hold back other requests: the only free slots are at targets that the
// retry must not use.
func (c *class) noFirstAttemptQueued() bool {
	_, first := c.flow.Heads()
	return first == nil
}

// evictFromLongest refuses the newest request of the class with the most queued
// first attempts, unless class c would then have more of them than that class.
// This prevents a class with long waits from occupying the whole queue.
func (d *Dispatcher) evictFromLongest(now time.Time, c *class) bool {
	longest := c
	for _, other := range d.classList {
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
		retryAfter = min(maxRetryAfter, max(minRetryAfter, d.estimateWait(now, r.class)))
	}
	if reason == UnknownClass {
		retryAfter = 0
	}
	d.emit(Refuse{Request: r.ID, Reason: reason, RetryAfter: retryAfter})
}

// deadlineTooShort reports whether the deadline leaves no time for an attempt
// after a wait.
func (r *request) deadlineTooShort(now time.Time, wait time.Duration) bool {
	remaining := r.Deadline.Sub(now) - wait
	return remaining <= 0 || remaining < r.class.serviceTime.LowQuantile(now)
}

// estimateWait returns the expected queueing time of a new request of a class.
// The queue serves classes in round-robin order, so each other class has at most
// as many requests ahead as the request's own class.
func (d *Dispatcher) estimateWait(now time.Time, c *class) time.Duration {
	own := c.flow.Len()
	ahead := 0
	for _, other := range d.classList {
		ahead += min(own, other.flow.Len())
	}
	return limit.QueueWait(c.serviceTime.Mean(now), ahead, d.slotsFor(c))
}

// tryStart starts a request if a target has a free slot for it.
func (d *Dispatcher) tryStart(now time.Time, r *request) bool {
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
	t := r.class.pick(d.excludedMembers(r))
	if t == nil {
		return false
	}
	d.start(now, r, t, false)
	return true
}

// uploadsAtCap reports whether uploads occupy their share of the slots. The cap
// prevents them from starving the other classes.
func (d *Dispatcher) uploadsAtCap(c *class) bool {
	return c.Upload && !d.uploadsOnly && d.uploadsInFlight >= d.slotsFor(c)
}

// slotsFor returns the slots that a class may occupy.
func (d *Dispatcher) slotsFor(c *class) int {
	if !c.Upload || d.uploadsOnly {
		return c.capacity
	}
	return max(1, int(d.cfg.UploadShare*float64(c.capacity)))
}

// excludedMembers returns the rotation indexes of the targets that a request must
// not use: those already tried, only the latest if all were tried, or none if the
// rotation has a single member.
func (d *Dispatcher) excludedMembers(r *request) []int {
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
		if rotationIndex := t.rotationIndex(c); rotationIndex != notInRotation {
			d.excluded = append(d.excluded, rotationIndex)
		}
	}
	if len(d.excluded) < len(c.members) {
		return d.excluded
	}
	return d.excluded[len(d.excluded)-1:]
}

// enqueue queues a request until its deadline leaves no time for an attempt.
func (d *Dispatcher) enqueue(now time.Time, r *request) bool {
	r.item = d.queue.Push(r.class.flow, r, r.attempts > 0)
	if r.item == nil {
		return false
	}
	at := r.Deadline.Add(-r.class.serviceTime.LowQuantile(now))
	r.timer = d.timers.add(&timer{at: at, kind: requestTimer, request: r})
	return true
}

// serveQueue starts queued requests while slots are free.
func (d *Dispatcher) serveQueue(now time.Time) {
	if d.queue.Empty() {
		return
	}
	for _, c := range d.classList {
		d.expireHeads(now, c)
		c.flow.SetCost(c.serviceTime.Mean(now))
	}
	serve := func(r *request) bool { return d.tryStart(now, r) }
	for d.queue.Next(serve) {
	}
}

// expireHeads ends the requests at the heads of a class's queues whose deadline
// leaves no time for an attempt.
func (d *Dispatcher) expireHeads(now time.Time, c *class) {
	for {
		retry, first := c.flow.Heads()
		switch {
		case retry != nil && retry.Value.deadlineTooShort(now, 0):
			d.endWait(now, retry.Value, DeadlineTooShort)
		case first != nil && first.Value.deadlineTooShort(now, 0):
			d.endWait(now, first.Value, DeadlineTooShort)
		default:
			return
		}
	}
}

// endWait ends a waiting request. It is refused if it had no attempt; otherwise
// it fails with the result of its last attempt.
func (d *Dispatcher) endWait(now time.Time, r *request, reason RefuseReason) {
	d.stopWaiting(r)
	if r.attempts > 0 {
		d.fail(r)
		return
	}
	delete(d.requests, r.ID)
	d.refuse(now, r, reason)
}

// stopWaiting removes a request from the queue or ends its retry backoff.
func (d *Dispatcher) stopWaiting(r *request) {
	d.stopTimer(r)
	if r.item != nil {
		d.queue.Remove(r.item)
		r.item = nil
	}
	if r.inBackoff {
		d.queue.Release()
		r.inBackoff = false
	}
}

func (d *Dispatcher) stopTimer(r *request) {
	d.timers.remove(r.timer)
	r.timer = nil
}

func (c *class) countCrossRegion(t *target, bodyBytes int64) {
	if t.distance != balance.OtherRegion {
		return
	}
	c.crossRegionAttempts++
	c.crossRegionBytes += uint64(max(0, bodyBytes))
}
