package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
)

// Parameters of the floor. Requests go to most of the region's sound targets: to
// those that are taken to be well at all times, and to the others while a notable
// part of the requests fails, so that no healthy capacity stays out.
const (
	// floorWindow is the time in which a target counts as used.
	floorWindow = 1500 * time.Millisecond
	// floorBonus is the bonus of a target that was not used lately and is not taken
	// to be failing, while fewer than floorShare are used.
	floorBonus = 0.15
	// retestBonus is the bonus of an avoided one for a request that can be repeated.
	retestBonus = 0.25
	// floorShare is the share of the region's sound targets that are to be used. It
	// leaves room for targets that only seem sound from here.
	floorShare = 0.8
	// floorUnserved and floorCeiling bound the share of unserved requests at which
	// the floor holds; above, no choice of targets would help.
	floorUnserved = 0.08
	floorCeiling  = 0.6
	// calmShare is the share of unserved requests up to which targets are tried of
	// which nothing is known.
	calmShare = 0.03
	// floorFailures is the number of unserved requests below which their share
	// says nothing.
	floorFailures = 4
	// unsettledTime is the time in which the floor binds after hosts were lost.
	unsettledTime = 3 * time.Second
	// soundAfter is the time after a failure in which a target does not count.
	soundAfter = 2 * time.Second
	// restLimit is how long a sound target may get no request, whether anything fails
	// or not: what is lost when connections break or hosts lose power counts for the
	// two seconds before. Each host waits up to restSpread longer, so that one of them
	// is first and the others hear of it.
	restLimit  = 1400 * time.Millisecond
	restSpread = 500 * time.Millisecond
	// restTargets is the number of sound targets from which that is so. Fewer ones get
	// requests for their bonus, and each order that tests one is a larger part of all.
	restTargets = 10
	// restShare is the share of them that are kept in use in this way.
	restShare = 0.72
)

// used reports whether a request reached the target lately, from any host that
// is known of.
func (t *target) used(now time.Time) bool { return now.Sub(t.lastUsed) < floorWindow }

// inFloor reports whether the floor counts a target on this host: a sound one of
// the region. Hosts of the other region keep the floor there.
func (t *target) inFloor(now time.Time) bool {
	return t.distance != balance.OtherRegion && t.reachable(now) && !t.Unregistered && now.Sub(t.failedAt) >= soundAfter
}

// floorBinds reports whether so many of the latest requests were not served that
// the floor is to be kept.
func (s *Scheduler) floorBinds(now time.Time) bool {
	if now.Before(s.unsettledUntil) {
		return true
	}
	n := s.outcomes.sum(now)
	if n.unserved < floorFailures {
		return false
	}
	unserved := float64(n.unserved) / float64(n.ended)
	return unserved > floorUnserved && unserved < floorCeiling
}

// Unsettle makes the floor bind for a while from the next request on: hosts were
// lost with the requests that they served, which no outcome tells.
func (s *Scheduler) ReportHostLoss() { s.unsettled = true }

// countSound counts the sound targets and notes whether too few of them are used.
func (s *Scheduler) countSound(now time.Time) {
	used, all := 0, 0
	for _, t := range s.order {
		if !t.inFloor(now) {
			continue
		}
		all++
		if t.used(now) {
			used++
		}
	}
	s.sound, s.inUse = all, used
	s.short = float64(used) < floorShare*float64(all)
}

// bonus is what a request is worth that reaches a target because too few are used.
// All hosts may lose power at any moment, and what is in use then is all that
// the requests of the last seconds reached. A target of which nothing is known is
// tried only while few requests fail, one that is avoided only by requests that can
// be repeated.
func (s *Scheduler) bonus(now time.Time, r *request, t *target) float64 {
	if !s.short || t.used(now) || !t.inFloor(now) {
		return 0
	}
	if t.avoided {
		if s.repeatable(now, r) && r.attempts == 0 {
			return retestBonus
		}
		return 0
	}
	if n := s.outcomes.sum(now); !t.seen && float64(n.unserved) > calmShare*float64(n.ended) {
		return 0
	}
	return floorBonus
}

// rested reports whether a sound target got no request for so long that the next one
// goes there.
func (t *target) rested(now time.Time) bool {
	since := t.knownAt
	for _, at := range []time.Time{t.lastUsed, t.failedAt.Add(soundAfter)} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since) > restLimit+time.Duration(t.affinity*float64(restSpread))
}

// toCover returns the target that is to get the request so that the floor is kept,
// nil if none.
func (s *Scheduler) toCover(now time.Time, r *request) *target {
	if !s.short || !s.mayCover(now, r) {
		return nil
	}
	if !s.floorBinds(now) {
		if s.sound < restTargets || float64(s.inUse) >= restShare*float64(s.sound) {
			return nil
		}
		return s.unusedTarget(now, r, func(t *target) bool { return t.rested(now) })
	}
	return s.unusedTarget(now, r, func(t *target) bool { return !t.used(now) })
}

// unusedTarget returns the target that is most likely well among those of the floor
// that have a free slot and for which unused holds.
func (s *Scheduler) unusedTarget(now time.Time, r *request, unused func(*target) bool) *target {
	var best *target
	var lowest float64
	for _, t := range s.order {
		if !unused(t) || !t.inFloor(now) || t.free(now) <= 0 || slices.Contains(r.tried, t.ID) {
			continue
		}
		if rank := t.coverRank(now); best == nil || rank < lowest {
			best, lowest = t, rank
		}
	}
	return best
}

// coverSteps is the number of steps of the probability of failure between which the
// order of covering tells targets apart. Within one each host has its own order, so
// that all hosts together reach many targets before they have told each other.
const coverSteps = 10

// coverRank orders the targets that are to be covered: the well ones first.
func (t *target) coverRank(now time.Time) float64 {
	return math.Floor(coverSteps*t.belief.FailingProbability(now)) + t.affinity
}

// mayCover reports whether a request may find out whether an avoided target is
// well: one that can be repeated, and any other only where too few can.
func (s *Scheduler) mayCover(now time.Time, r *request) bool {
	if r.idempotent {
		return r.attempts-r.unsent+1 < r.class.MaxAttempts
	}
	return s.outcomes.sum(now).idempotent < len(s.order)
}
