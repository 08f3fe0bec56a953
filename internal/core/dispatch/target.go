package dispatch

import (
	"math"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
)

// drainHold is the time for which a target that announced draining gets no
// work, whatever health decides later and stale load reports say.
const drainHold = 10 * time.Second

// notInRotation is the place of a target that a class's rotation leaves out.
const notInRotation = -1

type target struct {
	Target
	distance  balance.Distance
	inFlight  int
	lastStart time.Time
	limit     limit.Adaptive
	reported  balance.OtherLoad
	// drainUntil is the end of the hold after the last announcement of
	// draining; drained tells that health was told of one.
	drainUntil time.Time
	drained    bool
	// announced tells that the response of an attempt announced draining, rather
	// than a load report.
	announced bool
	removed   bool
	// trial tells that a trial is running.
	trial bool
	// testableSince is the time from which health wants the target tested, as
	// of the refresh of trials numbered testableRound.
	testableSince time.Time
	testableRound uint64
	// probeSent is the time of the probe under way, zero if there is none.
	probeSent  time.Time
	probeTimer *timer
	limitTimer *timer
	// places holds the target's index in the rotation of each class.
	places []int
}

// place returns the target's index in the rotation of a class.
func (t *target) place(c *class) int {
	if t.removed {
		return notInRotation
	}
	return t.places[c.ordinal]
}

func (t *target) draining(now time.Time) bool { return now.Before(t.drainUntil) }

// usable reports whether the target may get work at all.
func (t *target) usable(now time.Time) bool {
	return !t.removed && !t.draining(now) && !t.limit.Paused(now)
}

// limitAt returns the in-flight limit of this host for a ramp weight: the
// adaptive limit, and the slots that others leave, but at least 1.
func (t *target) limitAt(now time.Time, weight float64) int {
	share := int(math.Ceil(float64(t.Slots) * weight))
	return max(1, min(t.limit.Limit(now), share-t.reported.CeilLoad(now)))
}

// load returns the load for selection. Reports are left out for a target that
// got no attempt for a report's lifetime, so that wrong ones cannot keep all
// work from it.
func (t *target) load(now time.Time) float64 {
	if t.inFlight == 0 && now.Sub(t.lastStart) >= balance.ReportLifetime {
		return 0
	}
	return balance.CombinedLoad(t.inFlight, t.reported.TargetLoad(now))
}

// nextChange returns the next time at which the limit or usability changes by
// itself.
func (t *target) nextChange(now time.Time) (time.Time, bool) {
	next, ok := t.limit.NextChange(now)
	if at, more := t.reported.NextChange(now); more && (!ok || at.Before(next)) {
		next, ok = at, true
	}
	if t.draining(now) && (!ok || t.drainUntil.Before(next)) {
		next, ok = t.drainUntil, true
	}
	return next, ok
}

// refresh updates the limits and the availability of a target in every class.
func (d *Dispatcher) refresh(now time.Time, t *target) {
	for _, c := range d.order {
		if t.place(c) != notInRotation {
			c.refresh(now, t)
		}
	}
	d.armLimitTimer(now, t)
}

// armLimitTimer leaves an earlier timer in place: it arms the next one when it
// fires.
func (d *Dispatcher) armLimitTimer(now time.Time, t *target) {
	next, ok := t.nextChange(now)
	if !ok || t.removed {
		return
	}
	if t.limitTimer != nil && !t.limitTimer.at.After(next) {
		return
	}
	d.timers.remove(t.limitTimer)
	t.limitTimer = d.timers.add(&timer{at: next, kind: limitTimer, target: t})
}
