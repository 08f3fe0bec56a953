package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
)

// Costs in lost requests.
const (
	// repeatCost is what a failure costs a request that gets another attempt.
	repeatCost = 0.25
	// scarceRetries is the number of allowed repeats below which a request cannot
	// count on another attempt.
	scarceRetries = 3
	// loadCost is the cost of a target whose slots are all but one in use.
	loadCost = 0.02
	// lateCost is the cost of each multiple of the usual response time, up to
	// maxLateCost.
	lateCost    = 0.15
	maxLateCost = 0.6
	// warmUpFactor is how much slower a target is that has just started.
	warmUpFactor = 2
	// affinityCost is the largest cost of a target that other hosts prefer.
	affinityCost = 0.04
	// connectionCost is the cost of a new connection.
	connectionCost = 0.02
	// introduction is the bonus of a target that joined and was not used yet.
	introduction = 0.2
	// lastResort is the cost of a target that vanished from the registry.
	lastResort = 0.5
)

// distanceCosts holds the cost of distance for small and large bodies.
var distanceCosts = [...][2]float64{
	balance.SameZone:    {0, 0},
	balance.SameRegion:  {0.01, 0.08},
	balance.OtherRegion: {0.07, 0.5},
}

// cost is the expected cost of sending a request to a target now.
func (s *Scheduler) cost(now time.Time, r *request, t *target) float64 {
	loss := 1.0
	if s.repeatable(now, r) {
		loss = repeatCost
	}
	large := 0
	if r.class.LargeBodies {
		large = 1
	}
	c := loss*t.belief.FailureProbability(now) + distanceCosts[t.distance][large]
	c += loadCost * (float64(t.inFlight) + t.reported.Load(now)) / float64(max(1, t.Slots))
	c += affinityCost * t.affinity
	if !t.hasIdle(now) {
		c += connectionCost
	}
	factor := t.pace.Value(now)
	if now.Before(t.WarmUntil) {
		factor *= warmUpFactor
	}
	c += min(maxLateCost, lateCost*max(0, factor-1))
	if t.joined && !t.seen && !now.Before(t.WarmUntil) {
		c -= introduction
	}
	c -= s.bonus(now, r, t)
	if t.Unregistered {
		c += lastResort
	}
	return c
}

// connectionLife is how long an idle connection counts on; targets close theirs
// soon after.
const connectionLife = 8 * time.Second

// hasIdle reports whether a request to the target would reuse a connection.
func (t *target) hasIdle(now time.Time) bool {
	return len(t.idle) > 0 && now.Sub(t.idle[len(t.idle)-1]) < connectionLife
}

// takeIdle notes that a request takes the connection that was used last.
func (t *target) takeIdle(now time.Time) {
	if t.hasIdle(now) {
		t.idle = t.idle[:len(t.idle)-1]
	} else {
		t.idle = t.idle[:0]
	}
}

// reachable reports whether a target takes requests, as far as is known.
func (t *target) reachable(now time.Time) bool { return !t.Draining && !now.Before(t.refusedUntil) }

// usable reports whether a target may get a request now: it takes requests and did
// not refuse one for lack of room just before.
func (t *target) usable(now time.Time) bool { return t.reachable(now) && !t.limit.Paused(now) }

// free is the number of requests that a target can take from this host now.
func (t *target) free(now time.Time) int {
	others := int(t.reported.Load(now) + 0.5)
	if t.dialFailures > 0 {
		// One request at a time finds out whether the target can be reached again.
		return 1 - t.inFlight
	}
	return min(t.limit.Limit(now), max(1, t.Slots-others)) - t.inFlight
}

// choice is the best target of a request.
type choice struct {
	target *target
	cost   float64
}

// choose returns the cheapest target with a free slot, and the cheapest one
// without. Targets that the request tried are left out if there is any other.
func (s *Scheduler) choose(now time.Time, r *request) (free, busy choice) {
	free, busy = s.scan(now, r, true)
	if free.target == nil && busy.target == nil && len(r.tried) > 0 {
		return s.scan(now, r, false)
	}
	return free, busy
}

func (s *Scheduler) scan(now time.Time, r *request, onlyUntried bool) (free, busy choice) {
	for _, t := range s.order {
		if !t.usable(now) || (onlyUntried && slices.Contains(r.tried, t.ID)) {
			continue
		}
		c := s.cost(now, r, t)
		best := &busy
		if t.free(now) > 0 {
			best = &free
		}
		if best.target == nil || c < best.cost {
			*best = choice{t, c}
		}
	}
	return free, busy
}

// place starts a request if it should not wait, and reports whether it did.
func (s *Scheduler) place(now time.Time, r *request, ahead int) bool {
	s.countSound(now)
	if t := s.toCover(now, r); t != nil {
		r.covers = true
		// Another host would find out the same.
		s.urgent = true
		s.start(now, r, choice{t, s.cost(now, r, t)})
		return true
	}
	free, busy := s.choose(now, r)
	if free.target == nil {
		return false
	}
	if busy.target != nil && s.waits(now, r, free, busy, ahead) {
		return false
	}
	s.start(now, r, free)
	return true
}

// waits reports whether a request should wait for the busy target rather than go to
// the free one. If it fails there and is repeated, it has to wait all the same.
func (s *Scheduler) waits(now time.Time, r *request, free, busy choice, ahead int) bool {
	wait := s.waitCost(now, r, busy, ahead)
	if s.repeatable(now, r) && !math.IsInf(wait, 1) {
		wait *= 1 - free.target.belief.FailureProbability(now)
	}
	return wait+busy.cost < free.cost
}

// repeatable reports whether a request can count on another attempt.
func (s *Scheduler) repeatable(now time.Time, r *request) bool {
	return r.idempotent && r.attempts-r.unsent+1 < r.class.MaxAttempts && s.budget.Remaining(now) >= scarceRetries
}

// waitCost is the cost of waiting until a target like busy has a free slot.
func (s *Scheduler) waitCost(now time.Time, r *request, busy choice, ahead int) float64 {
	mean := r.class.service.Mean(now)
	if mean == 0 {
		return math.Inf(1)
	}
	slots := 0
	for _, t := range s.order {
		if t.usable(now) && s.cost(now, r, t) <= busy.cost+loadCost {
			slots += t.Slots
		}
	}
	wait := mean * time.Duration(ahead+1) / time.Duration(max(1, slots))
	left := r.Deadline.Sub(now)
	if objective := r.class.Objective; objective > 0 {
		left = min(left, r.arrived.Add(objective).Sub(now))
	}
	if left <= wait+mean {
		return math.Inf(1)
	}
	return float64(wait) / float64(left)
}

// capacity is the number of slots that this host may use now.
func (s *Scheduler) capacity(now time.Time) int {
	sum := 0
	for _, t := range s.order {
		if t.usable(now) {
			sum += max(0, t.free(now)) + t.inFlight
		}
	}
	return sum
}
