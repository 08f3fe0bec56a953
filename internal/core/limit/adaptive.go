// Package limit bounds the work that a host takes and sends: an in-flight
// limit for each target that adapts to shedding, a bounded queue for each
// service that is fair between classes, and the estimates of service time on
// which admission by deadline rests.
package limit

import "time"

const (
	// decreaseFactor is applied to the limit when a target sheds. A 2-slot
	// target falls to 1, a 6-slot target to 4.
	decreaseFactor = 0.7
	// decreaseInterval is the time in which sheds count as one decrease, since
	// attempts that were in flight together are shed by the same overload.
	decreaseInterval = 100 * time.Millisecond
	// increasePerSecond is the additive recovery of a limit, in slots.
	increasePerSecond = 0.5
	// maxPause bounds the Retry-After that is respected, so that a wrong value
	// cannot take a target out of service for long.
	maxPause = 5 * time.Second
	// basePause is the pause after a shed without Retry-After. It doubles with
	// each further shed up to maxBackoff. A target that sheds at once is always
	// the least loaded and would otherwise attract work.
	basePause  = 20 * time.Millisecond
	maxBackoff = time.Second
	// maxDoublings keeps the shift below from overflowing.
	maxDoublings = 6
)

// Adaptive is the in-flight limit of one target. It falls by a factor when the
// target sheds and rises slowly up to the declared slots.
type Adaptive struct {
	slots       int
	value       float64
	last        time.Time
	decreased   time.Time
	pausedUntil time.Time
	// sheds counts the decreases since the last answer.
	sheds int
}

// NewAdaptive returns a limit that starts at the declared slots.
func NewAdaptive(now time.Time, slots int) Adaptive {
	slots = max(1, slots)
	return Adaptive{slots: slots, value: float64(slots), last: now}
}

// SetSlots changes the declared slots. A limit that was not lowered follows.
func (a *Adaptive) SetSlots(now time.Time, slots int) {
	a.advance(now)
	slots = max(1, slots)
	if a.value >= float64(a.slots) {
		a.value = float64(slots)
	}
	a.slots = slots
	a.value = min(a.value, float64(slots))
}

// Shed lowers the limit after the target refused an attempt because of load,
// and pauses the target for the wait that it asked for or for a short backoff.
func (a *Adaptive) Shed(now time.Time, retryAfter time.Duration) {
	a.advance(now)
	a.pause(now, min(retryAfter, maxPause))
	if now.Sub(a.decreased) < decreaseInterval && !a.decreased.IsZero() {
		return
	}
	a.decreased = now
	a.value = max(1, a.value*decreaseFactor)
	a.pause(now, min(maxBackoff, basePause<<min(a.sheds, maxDoublings)))
	a.sheds++
}

func (a *Adaptive) pause(now time.Time, wait time.Duration) {
	if until := now.Add(wait); until.After(a.pausedUntil) {
		a.pausedUntil = until
	}
}

// Answered records that the target served an attempt.
func (a *Adaptive) Answered() { a.sheds = 0 }

// Limit returns the number of attempts that may be in flight, at least 1.
func (a *Adaptive) Limit(now time.Time) int {
	a.advance(now)
	return int(a.value)
}

// Paused reports whether the target gets no attempt because it shed.
func (a *Adaptive) Paused(now time.Time) bool { return now.Before(a.pausedUntil) }

// NextChange returns the time at which Limit or Paused changes by itself, and
// false when neither will.
func (a *Adaptive) NextChange(now time.Time) (time.Time, bool) {
	a.advance(now)
	var next time.Time
	if a.value < float64(a.slots) {
		missing := float64(int(a.value)+1) - a.value
		next = now.Add(time.Duration(missing/increasePerSecond*float64(time.Second)) + time.Microsecond)
	}
	if a.Paused(now) && (next.IsZero() || a.pausedUntil.Before(next)) {
		next = a.pausedUntil
	}
	return next, !next.IsZero()
}

func (a *Adaptive) advance(now time.Time) {
	elapsed := now.Sub(a.last)
	if elapsed <= 0 {
		return
	}
	a.last = now
	a.value = min(float64(a.slots), a.value+increasePerSecond*elapsed.Seconds())
}
