package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
)

// Parameters of the floor. Requests go to most of the region's sound targets all
// the time, so that no healthy capacity stays out.
const (
	// floorWindow is the time in which a target counts as used.
	floorWindow = 1300 * time.Millisecond
	// floorBonus is the bonus of a target that was not used lately and is not taken
	// to be failing, while fewer than floorShare are used.
	floorBonus = 0.15
	// floorShare is the share of the region's sound targets that are to be used.
	// Those that are taken to be failing are included while more than
	// floorUnserved of the requests fail: a request to one of them is probably
	// lost.
	floorShare    = 0.74
	floorUnserved = 0.08
	// soundAfter is the time after a failure in which a target does not count.
	soundAfter = 2 * time.Second
	// unservedTime is the time constant of the share of requests that fail.
	unservedTime = 1500 * time.Millisecond
)

// share is a smoothed share of events over time.
type share struct {
	hits, all float64
	at        time.Time
}

func (s *share) advance(now time.Time) {
	keep := math.Exp(-now.Sub(s.at).Seconds() / unservedTime.Seconds())
	if s.at.IsZero() {
		keep = 0
	}
	s.hits *= keep
	s.all *= keep
	s.at = now
}

func (s *share) add(now time.Time, hit bool) {
	s.advance(now)
	s.all++
	if hit {
		s.hits++
	}
}

// value is the share; few events count as fewer hits.
func (s *share) value(now time.Time) float64 {
	s.advance(now)
	return s.hits / (s.all + 1)
}

// used reports whether a request reached the target lately, from any host that
// is known of.
func (t *target) used(now time.Time) bool { return t.inFlight > 0 || now.Sub(t.lastUsed) < floorWindow }

// inFloor reports whether the floor counts a target on this host: a sound one of
// the region. Hosts of the other region keep the floor there.
func (t *target) inFloor(now time.Time) bool {
	return t.distance != balance.OtherRegion && t.usable(now) && !t.Vanished && now.Sub(t.failedAt) >= soundAfter
}

// belowFloor reports whether too few of the sound targets are used.
func (s *Scheduler) belowFloor(now time.Time) bool {
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
	return float64(used) < floorShare*float64(all)
}

// toCover returns the target that is to get the next request so that the floor is
// kept while requests fail, nil if none.
func (s *Scheduler) toCover(now time.Time, r *request) *target {
	if !s.short || s.unserved.value(now) <= floorUnserved {
		return nil
	}
	var best *target
	var lowest float64
	for _, t := range s.order {
		if !t.inFloor(now) || t.used(now) {
			continue
		}
		if failing := t.belief.Failing(now); t.free(now) > 0 && !slices.Contains(r.tried, t.ID) && (best == nil || failing < lowest) {
			best, lowest = t, failing
		}
	}
	return best
}
