package locality

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

const (
	// UpdateInterval is the least time between two updates of the shares.
	UpdateInterval = 100 * time.Millisecond
	// fullUtilization is the utilization of a zone's slots from which it is short of capacity.
	// Slots are freed and taken faster than other hosts hear of it, so that a zone is full
	// before all are taken.
	fullUtilization = 0.9
	// riseTime and fallTime are the time constants of the share that may leave a zone. A
	// shortage costs requests, so that the share rises fast. It falls more slowly than
	// reports take to arrive, so that the traffic that left and relieved the zone does not
	// return at once.
	riseTime, fallTime = 400 * time.Millisecond, 2 * time.Second
	// usedTime is the time constant of the measured share.
	usedTime = time.Second
	// shareTolerance is the share that may leave a zone without a shortage before the price
	// rises: it covers tests of targets and short bursts.
	shareTolerance = 0.05
	// minFactor and maxFactor bound the price factor.
	minFactor, maxFactor = 0.2, 3
	// fallingGain is the slope by which the factor falls while less leaves than is justified. A
	// steeper one lets more leave than that: in the model of TestShareFollowsShortage, where 0.23
	// has to, 0.27 leaves with 3, 0.29 with 10 and 0.34 with 30.
	fallingGain = 3
	// risingGain is the slope by which the factor rises beyond shareTolerance, so that it reaches
	// maxFactor at three times that. Chance does not: at 100 requests per second the standard
	// deviation of a share of 0.2 is 0.03.
	risingGain = (maxFactor - 1) / (2 * shareTolerance)
)

// Zone is the state of the targets of a service in one zone, as one host knows it.
type Zone struct {
	Location ident.Location
	// Slots is the number of slots of the targets that can be used now. A target that
	// paused or shed counts with the slots that it offers.
	Slots float64
	// Busy is the number of requests in these slots, from all hosts.
	Busy float64
	// OwnBusy is the part of Busy that this host sent.
	OwnBusy float64
}

func (z *Zone) freeSlots() float64 { return max(0, z.Slots-z.Busy) }

// Pair is the state of the traffic from the host's zone to another one.
type Pair struct {
	To ident.Zone
	// Allowed is the damped share of the service's requests that the shortage in the host's
	// zone justifies to send there, Used the measured share.
	Allowed, Used float64
}

type pair struct {
	Pair
	// sent is the decayed number of requests that were sent to the zone.
	sent   float64
	factor float64
}

// Shares decides, for one service on one host, which share of its requests may leave the
// zone, by zone. Its input consists of reports that expire, so that it follows the host's
// own view once there are none.
type Shares struct {
	self      ident.Location
	updatedAt time.Time
	// shortage is the damped share of the requests for which the zone has no capacity.
	shortage float64
	pairs    map[ident.Zone]*pair
	// requests is the decayed number of requests that were sent.
	requests float64
}

// NewShares returns the shares of a service on a host at a location.
func NewShares(self ident.Location) Shares {
	return Shares{self: self, pairs: map[ident.Zone]*pair{}}
}

// Due reports whether Update would have an effect.
func (s *Shares) Due(now time.Time) bool { return now.Sub(s.updatedAt) >= UpdateInterval }

// Update applies the current state of the service's zones. waiting is the number of requests
// on this host that wait for a slot.
func (s *Shares) Update(now time.Time, zones []Zone, waiting int) {
	if !s.Due(now) {
		return
	}
	elapsed := now.Sub(s.updatedAt)
	s.updatedAt = now
	var own Zone
	regionFree, regionSlots, remoteFree := 0.0, 0.0, 0.0
	for _, z := range zones {
		free := z.freeSlots()
		switch balance.DistanceBetween(s.self, z.Location) {
		case balance.SameZone:
			own = z
		case balance.SameRegion:
			regionFree += free
			regionSlots += z.Slots
		default:
			remoteFree += free
		}
	}
	s.updateShortage(elapsed, s.currentShortage(own, waiting), own.Slots <= 0)
	// inRegion is the part of the shortage that the other zones of the region can take.
	inRegion := 1.0
	if regionSlots <= 0 {
		inRegion = 0
	} else if remoteFree > 0 {
		inRegion = min(1, regionFree/(minRegionFree*regionSlots))
	}
	s.divideShortage(zones, inRegion, regionFree, remoteFree)
	s.updateFactors(elapsed)
}

// divideShortage divides the shortage among the other zones by their free slots: the part
// inRegion among those of the region, which have regionFree in total, and the rest among those
// of other regions, which have remoteFree.
func (s *Shares) divideShortage(zones []Zone, inRegion, regionFree, remoteFree float64) {
	known := map[ident.Zone]bool{}
	for _, z := range zones {
		d := balance.DistanceBetween(s.self, z.Location)
		if d == balance.SameZone {
			continue
		}
		part := 0.0
		free := z.freeSlots()
		if d == balance.SameRegion && regionFree > 0 {
			part = inRegion * free / regionFree
		} else if d == balance.OtherRegion && remoteFree > 0 {
			part = (1 - inRegion) * free / remoteFree
		}
		p := s.pair(z.Location.Zone)
		p.Allowed = part * s.shortage
		known[z.Location.Zone] = true
	}
	for zone := range s.pairs {
		if !known[zone] {
			delete(s.pairs, zone)
		}
	}
}

// minRegionFree is the free part of the slots in the other zones of the region below which
// some of the shortage goes to other regions.
const minRegionFree = 0.1

// currentShortage returns the share of the requests for which the host's zone has no capacity.
// The demand consists of the requests in the slots, of those that wait, estimated for all hosts
// from this one, and of those that left.
func (s *Shares) currentShortage(z Zone, waiting int) float64 {
	if z.Slots <= 0 {
		return 1
	}
	used := 0.0
	for _, p := range s.pairs {
		used += p.Used
	}
	inZone := z.Busy * (1 + float64(waiting)/max(1, z.OwnBusy))
	if inZone <= 0 {
		return 0
	}
	return min(1, max(0, 1-fullUtilization*z.Slots*(1-min(1, used))/inZone))
}

func (s *Shares) updateShortage(elapsed time.Duration, current float64, noTargets bool) {
	if noTargets {
		s.shortage = 1
		return
	}
	s.shortage = approach(s.shortage, current, elapsed)
}

// approach moves a share toward a value with riseTime or fallTime.
func approach(share, to float64, elapsed time.Duration) float64 {
	constant := riseTime
	if to < share {
		constant = fallTime
	}
	return share + (to-share)*(1-math.Exp(-elapsed.Seconds()/constant.Seconds()))
}

func (s *Shares) pair(to ident.Zone) *pair {
	p := s.pairs[to]
	if p == nil {
		p = &pair{Pair: Pair{To: to}, factor: 1}
		s.pairs[to] = p
	}
	return p
}

// Count counts a request that was sent to a zone.
func (s *Shares) Count(to ident.Location) {
	s.requests++
	if to != s.self {
		s.pair(to.Zone).sent++
	}
}

// minCounted is the number of recent requests below which a share is not known: a single
// request would be a share of 1.
const minCounted = 10

// updateFactors measures the shares and sets the price factors.
func (s *Shares) updateFactors(elapsed time.Duration) {
	decay := math.Exp(-elapsed.Seconds() / usedTime.Seconds())
	s.requests *= decay
	for _, p := range s.pairs {
		p.sent *= decay
		p.Used = p.sent / max(minCounted, s.requests)
		p.factor = priceFactor(p.Used - p.Allowed)
	}
}

// priceFactor returns the factor of the price of traffic for a share that is larger by excess
// than the shortage justifies.
func priceFactor(excess float64) float64 {
	switch {
	case excess < 0:
		return max(minFactor, 1+fallingGain*excess)
	case excess > shareTolerance:
		return min(maxFactor, 1+risingGain*(excess-shareTolerance))
	}
	return 1
}

// PriceFactor returns the factor of the price of traffic to a zone.
func (s *Shares) PriceFactor(to ident.Zone) float64 {
	if p := s.pairs[to]; p != nil {
		return p.factor
	}
	return 1
}

// Shortage returns the damped share of the requests for which the zone has no capacity.
func (s *Shares) Shortage() float64 { return s.shortage }

// Pairs returns the state of the traffic to the other zones, ordered by name.
func (s *Shares) Pairs() []Pair {
	list := make([]Pair, 0, len(s.pairs))
	for _, p := range s.pairs {
		list = append(list, p.Pair)
	}
	slices.SortFunc(list, func(a, b Pair) int { return strings.Compare(string(a.To), string(b.To)) })
	return list
}
