package schedule

import (
	"math"
	"slices"
	"time"
)

// Costs in lost requests.
const (
	// retryableFailureCost is the cost of a failure for a request that can be
	// retried.
	retryableFailureCost = 0.25
	// minRetriesLeft is the retry budget below which a request cannot rely on
	// another attempt.
	minRetriesLeft = 3
	// loadCost is the cost of a target with all slots but one in use.
	loadCost = 0.02
	// slowResponseCost is the cost per multiple of the usual response time, up to
	// maxSlowResponseCost.
	slowResponseCost    = 0.15
	maxSlowResponseCost = 0.6
	// warmUpFactor is the assumed slowdown of a target during its warm-up.
	warmUpFactor = 2
	// affinityCost is the highest cost of a target that other hosts prefer.
	affinityCost = 0.04
	// connectionCost is the cost of a new connection.
	connectionCost = 0.02
	// newTargetBonus is the cost reduction of a target that joined and has not been
	// used yet.
	newTargetBonus = 0.2
	// unregisteredCost is the cost of a target whose registration expired or was
	// removed.
	unregisteredCost = 0.5
)

// costParts are the parts of the expected cost of sending a request to a target. The last three
// of them reduce it.
type costParts struct {
	failure, distance, rejections, load, affinity, connection, slowness, unregistered float64
	newTarget, usage, limit                                                           float64
}

func (p *costParts) total() float64 {
	c := p.failure + p.distance + p.rejections + p.load + p.affinity + p.connection + p.slowness
	return c - p.newTarget - p.usage - p.limit + p.unregistered
}

// cost is the expected cost of sending a request to a target now.
func (s *Scheduler) cost(now time.Time, r *request, t *target) float64 {
	p := s.costParts(now, r, t)
	return p.total()
}

func (s *Scheduler) costParts(now time.Time, r *request, t *target) costParts {
	loss := 1.0
	if s.retryable(now, r) {
		loss = retryableFailureCost
	}
	p := costParts{
		failure:  loss * t.belief.RequestFailureProbability(now),
		distance: s.distanceCost(now, r.class, t),
		load:     loadCost * (float64(t.inFlight) + t.otherLoad.Load(now)) / float64(max(1, t.Slots)),
		affinity: affinityCost * t.affinity,
		usage:    s.usageBonus(now, r, t),
		limit:    t.limitBonus(now),
	}
	if s.cfg.AdmissionLevels {
		p.rejections = rejectionCost * t.rejections.value(now)
	}
	if !t.hasIdleConnection(now) {
		p.connection = connectionCost
	}
	factor := t.latencyRatio.Value(now)
	if now.Before(t.WarmUntil) {
		factor *= warmUpFactor
	}
	p.slowness = min(maxSlowResponseCost, slowResponseCost*max(0, factor-1))
	if t.joined && !t.responded && !now.Before(t.WarmUntil) {
		p.newTarget = newTargetBonus
	}
	if t.Unregistered {
		p.unregistered = unregisteredCost
	}
	return p
}

// idleConnectionLifetime is the time for which an idle connection is expected to
// stay open. Targets close theirs soon afterwards.
const idleConnectionLifetime = 8 * time.Second

// hasIdleConnection reports whether a request to the target would reuse a
// connection.
func (t *target) hasIdleConnection(now time.Time) bool {
	return len(t.idleSince) > 0 && now.Sub(t.idleSince[len(t.idleSince)-1]) < idleConnectionLifetime
}

// useIdleConnection removes the most recently used connection from the idle list.
func (t *target) useIdleConnection(now time.Time) {
	if t.hasIdleConnection(now) {
		t.idleSince = t.idleSince[:len(t.idleSince)-1]
	} else {
		t.idleSince = t.idleSince[:0]
	}
}

// reachable reports whether a target accepts requests, as far as is known.
func (t *target) reachable(now time.Time) bool {
	return !t.Draining && !t.process.leaving.excludes(now) && !now.Before(t.unavailableUntil)
}

// usable reports whether a target may receive a request now: it is reachable and
// not paused after shedding load or at its own request.
func (t *target) usable(now time.Time) bool {
	return t.reachable(now) && !t.limit.Paused(now) && !t.pausing(now)
}

// freeSlots is the number of requests that a target can accept from this host now.
func (t *target) freeSlots(now time.Time) int {
	others := int(t.otherLoad.Load(now) + 0.5)
	if t.dialFailures > 0 {
		// A single request at a time tests whether the target is reachable again.
		return 1 - t.inFlight
	}
	return min(t.limit.Limit(now), max(1, t.Slots-others)) - t.inFlight
}

// candidate is the best target for a request and its cost.
type candidate struct {
	target *target
	cost   float64
}

// bestCandidates returns the cheapest target with a free slot and the cheapest one
// without, except those whose rate allows no request of this host now. Targets that the
// request has already tried are considered only if there is no other.
func (s *Scheduler) bestCandidates(now time.Time, r *request) (free, busy candidate) {
	free, busy = s.scanTargets(now, r, true)
	if free.target == nil && busy.target == nil && len(r.tried) > 0 {
		return s.scanTargets(now, r, false)
	}
	return free, busy
}

func (s *Scheduler) scanTargets(now time.Time, r *request, onlyUntried bool) (free, busy candidate) {
	var denied []candidate
	for _, t := range s.order {
		if !t.usable(now) || (onlyUntried && slices.Contains(r.tried, t.ID)) {
			continue
		}
		c := s.cost(now, r, t)
		if !t.allowsRate(now) {
			denied = append(denied, candidate{t, c})
			continue
		}
		best := &busy
		if t.freeSlots(now) > 0 {
			best = &free
		}
		if best.target == nil || c < best.cost {
			*best = candidate{t, c}
		}
	}
	s.countDenied(now, r, denied, free)
	return free, busy
}

// tryStart starts a request unless it should wait, and reports whether it did.
func (s *Scheduler) tryStart(now time.Time, r *request, queueAhead int) bool {
	s.countHealthy(now)
	if t := s.floorTarget(now, r); t != nil {
		r.forFloor = true
		// Share the outcome at once, or another host runs the same test.
		s.urgent = true
		s.start(now, r, candidate{t, s.cost(now, r, t)})
		return true
	}
	free, busy := s.bestCandidates(now, r)
	if free.target == nil {
		return false
	}
	if busy.target != nil && s.shouldWait(now, r, free, busy, queueAhead) {
		return false
	}
	s.start(now, r, free)
	return true
}

// shouldWait reports whether a request should wait for the busy target rather than
// use the free one. For a retryable request the cost of waiting is reduced by the
// probability that it fails at the free target and has to wait anyway.
func (s *Scheduler) shouldWait(now time.Time, r *request, free, busy candidate, ahead int) bool {
	wait := s.waitCost(now, r, busy, ahead)
	if s.retryable(now, r) && !math.IsInf(wait, 1) {
		wait *= 1 - free.target.belief.RequestFailureProbability(now)
	}
	return wait+busy.cost < free.cost
}

// retryable reports whether a request can rely on another attempt.
func (s *Scheduler) retryable(now time.Time, r *request) bool {
	return r.idempotent && r.attempts-r.unsentAttempts+1 < r.class.MaxAttempts && s.budget.Remaining(now) >= minRetriesLeft
}

// waitCost is the cost of waiting until a target of similar cost to busy has a free
// slot.
func (s *Scheduler) waitCost(now time.Time, r *request, busy candidate, ahead int) float64 {
	mean := r.class.serviceTime.Mean(now)
	if mean == 0 {
		return math.Inf(1)
	}
	slots := 0
	for _, t := range s.order {
		if t.usable(now) && t.allowsRate(now) && s.cost(now, r, t) <= busy.cost+loadCost {
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

// capacity is the number of slots that this host may use now for requests of a mean
// response time. Of a limited target it is the number that its rate keeps in use.
func (s *Scheduler) capacity(now time.Time, mean time.Duration) int {
	sum := 0.0
	for _, t := range s.order {
		if !t.usable(now) {
			continue
		}
		slots := float64(max(0, t.freeSlots(now)) + t.inFlight)
		if t.rate.Limited() {
			perSecond, _ := t.rate.ExpectedRate(now)
			slots = min(slots, perSecond*mean.Seconds())
		}
		sum += slots
	}
	return int(math.Ceil(sum))
}
