// Package limit bounds the work that a host accepts and sends: an adaptive
// concurrency limit for each target, a bounded queue for each service that is fair
// between classes, and the service time estimates on which deadline-based admission
// relies.
package limit

import "time"

const (
	// decreaseFactor is the multiplicative decrease after a shed. The limit of a
	// 2-slot target falls to 1, that of a 6-slot target to 4.
	decreaseFactor = 0.7
	// decreaseInterval is the time within which sheds count as one decrease, since
	// attempts in flight together are shed because of the same overload.
	decreaseInterval = 100 * time.Millisecond
	// increasePerSecond is the additive increase of a limit, in slots.
	increasePerSecond = 0.5
	// maxPause bounds the Retry-After value that is honored, so that a wrong value
	// cannot take a target out of service for long.
	maxPause = 5 * time.Second
	// basePause is the pause after a shed without Retry-After. It doubles with each
	// further shed up to maxBackoff. Without it, a target that sheds immediately
	// would always be the least loaded and attract requests.
	basePause  = 20 * time.Millisecond
	maxBackoff = time.Second
	// maxDoublings keeps the shift of basePause from overflowing.
	maxDoublings = 6
)

// Adaptive is the concurrency limit of one target, with additive increase up to the
// declared slots and multiplicative decrease when the target sheds.
type Adaptive struct {
	slots       int
	limit       float64
	updatedAt   time.Time
	decreasedAt time.Time
	pausedUntil time.Time
	// sheds counts the decreases since the last successful attempt.
	decreases int
}

// NewAdaptive returns a limit that starts at the declared slots.
func NewAdaptive(now time.Time, slots int) Adaptive {
	slots = max(1, slots)
	return Adaptive{slots: slots, limit: float64(slots), updatedAt: now}
}

// SetSlots changes the declared slots. A limit that has not been decreased follows.
func (a *Adaptive) SetSlots(now time.Time, slots int) {
	a.advance(now)
	slots = max(1, slots)
	if a.limit >= float64(a.slots) {
		a.limit = float64(slots)
	}
	a.slots = slots
	a.limit = min(a.limit, float64(slots))
}

// Shed decreases the limit after the target refused an attempt because of load, and
// pauses the target for the requested Retry-After or a short backoff.
func (a *Adaptive) Shed(now time.Time, retryAfter time.Duration) {
	a.advance(now)
	a.pause(now, min(retryAfter, maxPause))
	if now.Sub(a.decreasedAt) < decreaseInterval && !a.decreasedAt.IsZero() {
		return
	}
	a.decreasedAt = now
	a.limit = max(1, a.limit*decreaseFactor)
	a.pause(now, min(maxBackoff, basePause<<min(a.decreases, maxDoublings)))
	a.decreases++
}

func (a *Adaptive) pause(now time.Time, wait time.Duration) {
	if until := now.Add(wait); until.After(a.pausedUntil) {
		a.pausedUntil = until
	}
}

// Answered resets the backoff after the target served an attempt.
func (a *Adaptive) Answered() { a.decreases = 0 }

// Limit returns the number of attempts that may be in flight, at least 1.
func (a *Adaptive) Limit(now time.Time) int {
	a.advance(now)
	return int(a.limit)
}

// Paused reports whether the target receives no attempts because it shed one.
func (a *Adaptive) Paused(now time.Time) bool { return now.Before(a.pausedUntil) }

// PausedUntil returns the end of the latest pause, which may be over.
func (a *Adaptive) PausedUntil() time.Time { return a.pausedUntil }

// NextChange returns the time at which Limit or Paused changes without a further
// event, and false if neither will.
func (a *Adaptive) NextChange(now time.Time) (time.Time, bool) {
	a.advance(now)
	var next time.Time
	if a.limit < float64(a.slots) {
		missing := float64(int(a.limit)+1) - a.limit
		next = now.Add(time.Duration(missing/increasePerSecond*float64(time.Second)) + time.Microsecond)
	}
	if a.Paused(now) && (next.IsZero() || a.pausedUntil.Before(next)) {
		next = a.pausedUntil
	}
	return next, !next.IsZero()
}

func (a *Adaptive) advance(now time.Time) {
	elapsed := now.Sub(a.updatedAt)
	if elapsed <= 0 {
		return
	}
	a.updatedAt = now
	a.limit = min(float64(a.slots), a.limit+increasePerSecond*elapsed.Seconds())
}
