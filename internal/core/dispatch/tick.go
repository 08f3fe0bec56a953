package dispatch

import "time"

const (
	// busyHealthInterval is the time between two ticks of health while attempts
	// are in flight or targets wait for a trial. Health offers no next time,
	// and its tick may visit every target.
	busyHealthInterval = 100 * time.Millisecond
	// idleHealthInterval applies otherwise.
	idleHealthInterval = time.Second
)

// Tick advances timers.
func (d *Dispatcher) Tick(now time.Time) []Action {
	if !now.Before(d.healthDue) {
		d.tickHealth(now)
	}
	d.syncAll(now)
	for t := d.timers.due(now); t != nil; t = d.timers.due(now) {
		d.fire(now, t)
	}
	return d.settle(now)
}

// NextTick returns the time of the next Tick that can have an effect. It may
// move closer with every event, so the driver asks after each of them.
func (d *Dispatcher) NextTick(now time.Time) time.Time {
	next := d.healthDue
	if at, ok := d.timers.next(); ok && at.Before(next) {
		next = at
	}
	if next.Before(now) {
		return now
	}
	return next
}

func (d *Dispatcher) tickHealth(now time.Time) {
	d.healthDue = now.Add(idleHealthInterval)
	d.record(d.health.Tick(now))
	d.refreshTrials(now)
	if len(d.attempts) > 0 {
		d.hastenHealth(now)
	}
}

// hastenHealth makes the next tick of health due within the busy interval.
func (d *Dispatcher) hastenHealth(now time.Time) {
	if due := now.Add(busyHealthInterval); due.Before(d.healthDue) {
		d.healthDue = due
	}
}

func (d *Dispatcher) fire(now time.Time, t *timer) {
	switch t.kind {
	case requestTimer:
		d.requestDue(now, t.request)
	case limitTimer:
		t.target.limitTimer = nil
		d.refresh(now, t.target)
	case probeTimer:
		d.probeDue(now, t.target)
	}
}
