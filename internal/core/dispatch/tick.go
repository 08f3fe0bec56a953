package dispatch

import "time"

// idleHealthInterval is the time to the first tick of health.
const idleHealthInterval = time.Second

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
	d.record(d.health.Tick(now))
	d.refreshTrials(now)
	d.verify(now)
	d.healthDue = d.health.NextTick(now)
}

// hastenHealth makes the next tick of health due when health wants it after an
// event, which may be earlier than it was.
func (d *Dispatcher) hastenHealth(now time.Time) {
	if due := d.health.NextTick(now); due.Before(d.healthDue) {
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
