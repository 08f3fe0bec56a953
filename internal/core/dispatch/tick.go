package dispatch

import "time"

// firstHealthTickDelay is the time until the first tick of the health tracker.
const firstHealthTickDelay = time.Second

// Tick runs the health tracker and the timers that are due.
func (d *Dispatcher) Tick(now time.Time) []Action {
	if !now.Before(d.nextHealthTick) {
		d.tickHealth(now)
	}
	d.syncRotations(now)
	for t := d.timers.popDue(now); t != nil; t = d.timers.popDue(now) {
		d.fireTimer(now, t)
	}
	return d.finishEvent(now)
}

// NextTick returns the time of the next Tick that can have an effect. Any event
// may move it forward, so the driver must call it after each event.
func (d *Dispatcher) NextTick(now time.Time) time.Time {
	next := d.nextHealthTick
	if at, ok := d.timers.next(); ok && at.Before(next) {
		next = at
	}
	if next.Before(now) {
		return now
	}
	return next
}

func (d *Dispatcher) tickHealth(now time.Time) {
	d.recordChanges(d.health.Tick(now))
	d.refreshTrials(now)
	d.sendDueProbes(now)
	d.nextHealthTick = d.health.NextTick(now)
}

// advanceHealthTick moves the next tick of the health tracker forward if an event
// has made it due earlier.
func (d *Dispatcher) advanceHealthTick(now time.Time) {
	if due := d.health.NextTick(now); due.Before(d.nextHealthTick) {
		d.nextHealthTick = due
	}
}

func (d *Dispatcher) fireTimer(now time.Time, t *timer) {
	switch t.kind {
	case requestTimer:
		d.handleRequestTimer(now, t.request)
	case limitTimer:
		t.target.limitTimer = nil
		d.refreshTarget(now, t.target)
	case probeTimer:
		d.handleProbeTimer(now, t.target)
	}
}
