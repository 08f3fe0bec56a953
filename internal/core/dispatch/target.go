package dispatch

import (
	"math"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
)

// drainHoldTime is the time for which a target that announced draining gets no
// attempts, regardless of later health decisions and stale load reports.
const drainHoldTime = 10 * time.Second

// notInRotation is the rotation index of a target that is not in rotation.
const notInRotation = -1

type target struct {
	Target
	distance  balance.Distance
	inFlight  int
	lastStart time.Time
	limit     limit.Adaptive
	otherLoad balance.OtherLoad
	// drainHoldUntil is the end of the hold time after the last draining
	// announcement; drainReported is set if the health tracker was notified.
	drainHoldUntil time.Time
	drainReported  bool
	// announcedByResponse is set if draining was announced by the response to an
	// attempt and not by a load report.
	announcedByResponse bool
	removed             bool
	// trial is set while a trial is running.
	trial bool
	// trialDueSince is the time since which the health tracker has continuously
	// requested a trial; trialDueRound is the trialRound of its last request.
	trialDueSince time.Time
	trialDueRound uint64
	// probeSentAt is the start time of the pending probe, zero if there is none.
	probeSentAt time.Time
	probeTimer  *timer
	limitTimer  *timer
	// rotationIndexes holds the target's index in the rotation of each class.
	rotationIndexes []int
}

// rotationIndex returns the target's index in the rotation of a class.
func (t *target) rotationIndex(c *class) int {
	if t.removed {
		return notInRotation
	}
	return t.rotationIndexes[c.ordinal]
}

func (t *target) draining(now time.Time) bool { return now.Before(t.drainHoldUntil) }

// usable reports whether the target may get attempts, regardless of free slots.
func (t *target) usable(now time.Time) bool {
	return !t.removed && !t.draining(now) && !t.limit.Paused(now)
}

// inFlightLimit returns this host's in-flight limit for a ramp weight: the
// minimum of the adaptive limit and the slots not used by others, but at least 1.
func (t *target) inFlightLimit(now time.Time, weight float64) int {
	share := int(math.Ceil(float64(t.Slots) * weight))
	return max(1, min(t.limit.Limit(now), share-t.otherLoad.CeilLoad(now)))
}

// load returns the load used for target selection. Reports are ignored for a
// target that got no attempt for the lifetime of a report, so that wrong reports
// cannot keep it out of use.
func (t *target) load(now time.Time) float64 {
	if t.inFlight == 0 && now.Sub(t.lastStart) >= balance.ReportLifetime {
		return 0
	}
	return balance.CombinedLoad(t.inFlight, t.otherLoad.TargetLoad(now))
}

// nextChange returns the next time at which the limit or the usability changes
// without an event.
func (t *target) nextChange(now time.Time) (time.Time, bool) {
	next, ok := t.limit.NextChange(now)
	if at, more := t.otherLoad.NextChange(now); more && (!ok || at.Before(next)) {
		next, ok = at, true
	}
	if t.draining(now) && (!ok || t.drainHoldUntil.Before(next)) {
		next, ok = t.drainHoldUntil, true
	}
	return next, ok
}

// refreshTarget updates the limits and the availability of a target in every
// class.
func (d *Dispatcher) refreshTarget(now time.Time, t *target) {
	for _, c := range d.classList {
		if t.rotationIndex(c) != notInRotation {
			c.refreshTarget(now, t)
		}
	}
	d.armLimitTimer(now, t)
}

// armLimitTimer schedules the next change of the target's limit. An earlier timer
// is kept, since it schedules the next one when it fires.
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
