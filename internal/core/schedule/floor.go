package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
)

// Parameters of the floor, the minimum share of the region's healthy targets that
// receive requests. Targets with a low failure probability are kept in use at all
// times; the others are tested while a significant share of requests fails, so that
// no healthy capacity stays unused.
const (
	// usageWindow is the time after a request during which a target counts as used.
	usageWindow = 1500 * time.Millisecond
	// floorBonus is the cost reduction of a target that was not used recently and
	// is not believed to be failing, while fewer than minUsedShare are used.
	floorBonus = 0.15
	// retestBonus is the same for an avoided target and a retryable request.
	retestBonus = 0.25
	// minUsedShare is the share of the region's healthy targets that should be in
	// use while the floor is not active. It is below 1 because some targets appear healthy
	// to this host only.
	minUsedShare = 0.8
	// floorMinUnserved and floorMaxUnserved bound the share of unserved requests at
	// which the floor is active. Above the upper bound no choice of targets would
	// help.
	floorMinUnserved = 0.08
	floorMaxUnserved = 0.6
	// maxUnservedToTryUnobserved is the highest share of unserved requests at which
	// targets without any known outcome are tried.
	maxUnservedToTryUnobserved = 0.03
	// floorMinFailures is the number of unserved requests below which their share
	// is not significant.
	floorMinFailures = 4
	// hostLossFloorTime is the time for which the floor is active after hosts were
	// lost.
	hostLossFloorTime = 3 * time.Second
	// healthyAfter is the time after a failure during which a target does not count
	// as healthy.
	healthyAfter = 2 * time.Second
	// dueAfter is the time since its latest request or failure after which a target must
	// receive a request while the floor is active: one that becomes healthy after a
	// failure must already have received it. Each host waits up to dueJitter longer.
	dueAfter  = 1600 * time.Millisecond
	dueJitter = 300 * time.Millisecond
	// maxUnusedTime is the longest time for which a healthy target may receive no
	// request, even when nothing fails. Requests that are lost when connections break
	// or hosts lose power are counted afterwards, and the floor then applies to the
	// two seconds before the loss. Each host waits up to maxUnusedJitter longer, so
	// that one of them acts first and the others learn of it.
	maxUnusedTime   = 1400 * time.Millisecond
	maxUnusedJitter = 500 * time.Millisecond
	// unusedMinTargets is the number of healthy targets from which maxUnusedTime
	// applies. With fewer targets floorBonus suffices, and each order that tests a
	// target is a larger share of all orders.
	unusedMinTargets = 10
	// unusedShareLimit is the share of healthy targets that maxUnusedTime keeps in
	// use.
	unusedShareLimit = 0.72
)

// recentlyUsed reports whether a request from any known host reached the target
// within usageWindow.
func (t *target) recentlyUsed(now time.Time) bool { return now.Sub(t.lastUsed) < usageWindow }

// countsForFloor reports whether the floor of this host includes the target: one in the
// same region that has not failed for a time, does not ask for few requests or for none,
// and is not leaving. Hosts in other regions maintain the floor there.
func (t *target) countsForFloor(now time.Time, recovery time.Duration) bool {
	if t.rate.Limited() && t.rate.Limit().Rate < minFloorRate {
		return false
	}
	if t.pausing(now) || t.process.leaving.known {
		return false
	}
	return t.distance != balance.OtherRegion && t.reachable(now) && !t.Unregistered && now.Sub(t.failedAt) >= recovery
}

// floorActive reports whether the share of unserved requests requires the floor to
// be enforced.
func (s *Scheduler) floorActive(now time.Time) bool {
	if now.Before(s.hostLossFloorUntil) {
		return true
	}
	n := s.outcomes.sum(now)
	if n.unserved < floorMinFailures {
		return false
	}
	unserved := n.unservedShare()
	return unserved > floorMinUnserved && unserved < floorMaxUnserved
}

// ReportHostLoss activates the floor for hostLossFloorTime from the next request
// on. Requests in progress on lost hosts produce no outcomes.
func (s *Scheduler) ReportHostLoss() { s.hostLossPending = true }

// countHealthy counts the healthy targets and those of them that are used, and records
// whether the floor is active and whether too few targets are used.
func (s *Scheduler) countHealthy(now time.Time) {
	s.floorEnforced = s.floorActive(now)
	s.healthyTargets, s.usedTargets = 0, 0
	for _, t := range s.order {
		if !t.countsForFloor(now, healthyAfter) {
			continue
		}
		s.healthyTargets++
		if t.recentlyUsed(now) {
			s.usedTargets++
		}
	}
	s.belowFloor = float64(s.usedTargets) < minUsedShare*float64(s.healthyTargets)
}

// usageBonus is the cost reduction of a target that is tested because too few
// targets are in use. If all hosts lose power at once, only the targets that
// received requests in the last seconds count as used. A target without known
// outcomes is tried only while few requests fail, an avoided one only by retryable
// requests.
func (s *Scheduler) usageBonus(now time.Time, r *request, t *target) float64 {
	if !s.belowFloor || t.recentlyUsed(now) || !t.countsForFloor(now, healthyAfter) {
		return 0
	}
	if t.avoided {
		if s.retryable(now, r) && r.attempts == 0 {
			return retestBonus
		}
		return 0
	}
	if n := s.outcomes.sum(now); !t.responded && float64(n.unserved) > maxUnservedToTryUnobserved*float64(n.ended) {
		return 0
	}
	return floorBonus
}

// unusedTooLong reports whether a healthy target received no request for longer
// than maxUnusedTime plus this host's jitter.
func (t *target) unusedTooLong(now time.Time) bool {
	since := t.addedAt
	for _, at := range []time.Time{t.lastUsed, t.failedAt.Add(healthyAfter)} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since) > maxUnusedTime+time.Duration(t.affinity*float64(maxUnusedJitter))
}

// dueForFloor reports whether a target must receive a request now to remain in use, at
// this host.
func (t *target) dueForFloor(now time.Time) bool {
	latest := t.lastUsed
	if t.failedAt.After(latest) {
		latest = t.failedAt
	}
	// The square root lets few hosts act early, so that the others learn of their
	// requests before they send their own.
	return now.Sub(latest) > dueAfter+time.Duration(math.Sqrt(t.affinity)*float64(dueJitter))
}

// floorTarget returns the target that must receive the request to maintain the floor,
// or nil. While the floor is active it covers every target: hosts cannot tell which of
// them the floor includes, and a share of all would leave out any number of a few.
func (s *Scheduler) floorTarget(now time.Time, r *request) *target {
	switch {
	case !s.maySendForFloor(now, r):
		return nil
	case s.floorEnforced:
		return s.bestTargetForFloor(now, r, 0, (*target).dueForFloor)
	case !s.belowFloor || s.healthyTargets < unusedMinTargets || float64(s.usedTargets) >= unusedShareLimit*float64(s.healthyTargets):
		return nil
	}
	return s.bestTargetForFloor(now, r, healthyAfter, (*target).unusedTooLong)
}

// bestTargetForFloor returns the target most likely to be healthy among those of the
// floor that have not failed for a time, have a free slot and are due.
func (s *Scheduler) bestTargetForFloor(now time.Time, r *request, recovery time.Duration, due func(*target, time.Time) bool) *target {
	var best *target
	var lowest float64
	for _, t := range s.order {
		if !due(t, now) || !t.countsForFloor(now, recovery) || t.freeSlots(now) <= 0 || !t.allowsRate(now) || slices.Contains(r.tried, t.ID) {
			continue
		}
		if rank := t.floorRank(now); best == nil || rank < lowest {
			best, lowest = t, rank
		}
	}
	return best
}

// floorRankSteps is the number of steps into which floorRank quantizes the failing
// probability. Within a step each host has its own order, so that the hosts
// together reach many targets before they have exchanged observations.
const floorRankSteps = 10

// floorRank orders targets for floorTarget, the most likely healthy ones first.
func (t *target) floorRank(now time.Time) float64 {
	return math.Floor(floorRankSteps*t.belief.FailingProbability(now)) + t.affinity
}

// maySendForFloor reports whether a request may be sent to a target that is chosen
// for the floor: an idempotent request that can be retried, or any other if fewer
// idempotent requests than targets arrived within outcomeSpan.
func (s *Scheduler) maySendForFloor(now time.Time, r *request) bool {
	if r.idempotent {
		return r.attempts-r.unsentAttempts+1 < r.class.MaxAttempts
	}
	return s.outcomes.sum(now).idempotent < len(s.order)
}
