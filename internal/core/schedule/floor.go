package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
)

// Parameters of the floor. While requests of the service fail, requests go to
// most of its targets, so that those that are well again are found and no healthy
// capacity stays out.
const (
	// floorWindow is the time in which a target counts as used.
	floorWindow = 1300 * time.Millisecond
	// floorShare is the share of the region's targets that are to be used while
	// more than floorUnserved of the requests fail.
	floorShare    = 0.75
	floorUnserved = 0.08
	// failingShare and failingUnserved are the same for targets that are taken to
	// be failing: a request to one of them is probably lost.
	failingShare    = 0.72
	failingUnserved = 0.12
	// unservedTime is the time constant of the share of requests that fail.
	unservedTime = 2 * time.Second
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

// toCover returns a target that is to get the next request so that the floor is
// kept, nil if none.
func (s *Scheduler) toCover(now time.Time, r *request) *target {
	unserved := s.unserved.value(now)
	if unserved <= floorUnserved {
		return nil
	}
	used, all := 0, 0
	var best *target
	var lowest float64
	for _, t := range s.order {
		if t.distance == balance.OtherRegion || !t.usable(now) || t.Vanished {
			continue
		}
		all++
		if t.used(now) {
			used++
			continue
		}
		if failing := t.belief.Failing(now); t.free(now) > 0 && !slices.Contains(r.tried, t.ID) && (best == nil || failing < lowest) {
			best, lowest = t, failing
		}
	}
	have := float64(used) / float64(max(1, all))
	if best == nil || have >= floorShare {
		return nil
	}
	if best.avoided && (have >= failingShare || unserved <= failingUnserved) {
		return nil
	}
	return best
}
