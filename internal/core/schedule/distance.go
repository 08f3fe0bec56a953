package schedule

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/locality"
)

const (
	// shortZone and sufficientZone are the shortages at which a zone is recorded as short of
	// capacity and no longer so. They differ so that few events are recorded.
	shortZone, sufficientZone = 0.15, 0.03
	// distanceCostInterval is the time for which the costs of distance of a class are kept.
	// They change slowly.
	distanceCostInterval = 100 * time.Millisecond
	// linkUtilizationLifetime is the time for which a measured utilization of the link between
	// regions holds. Without a newer one the link is assumed to be free.
	linkUtilizationLifetime = 3 * time.Second
)

// SetLinkUtilization applies the utilization of the link between regions, 0 to 1, by all traffic of
// the region that is known.
func (s *Scheduler) SetLinkUtilization(now time.Time, utilization float64) {
	s.linkUtilization, s.linkUtilizationAt = utilization, now
}

// distanceCost is the cost of the distance to a target for a request of a class.
func (s *Scheduler) distanceCost(now time.Time, c *class, t *target) float64 {
	if t.distance == balance.SameZone {
		return 0
	}
	if c.distanceCostsVersion != s.zonesVersion || now.Sub(c.distanceCostsAt) >= distanceCostInterval {
		s.updateDistanceCosts(now, c)
	}
	return c.distanceCosts[t.zone]
}

func (s *Scheduler) updateDistanceCosts(now time.Time, c *class) {
	c.distanceCosts, c.distanceCostsVersion, c.distanceCostsAt = c.distanceCosts[:0], s.zonesVersion, now
	for _, zone := range s.zones {
		cost, factor := s.zoneCost(now, c, zone)
		c.distanceCosts = append(c.distanceCosts, cost.Total(factor))
	}
}

// zoneCost returns the cost of the distance to a zone for a class, and the factor of its price.
func (s *Scheduler) zoneCost(now time.Time, c *class, zone ident.Location) (cost locality.Cost, factor float64) {
	utilization := 0.0
	if now.Sub(s.linkUtilizationAt) < linkUtilizationLifetime {
		utilization = s.linkUtilization
	}
	cost = s.self.Distance.Cost(now, &c.traffic, balance.DistanceBetween(s.self.Location, zone), c.Objective, utilization)
	return cost, s.shares.PriceFactor(zone.Zone)
}

// ReportTraffic reports the bytes that a running attempt wrote to its target and read from it.
// It is called before Finish.
func (s *Scheduler) ReportTraffic(id ident.AttemptID, requestBytes, responseBytes int64) {
	if a := s.attempts[id]; a != nil {
		a.requestBytes, a.responseBytes = requestBytes, responseBytes
	}
}

// observeTraffic measures the bytes and the response time of an attempt.
func (s *Scheduler) observeTraffic(now time.Time, a *runningAttempt, res dispatch.Result) {
	if a.target.distance == balance.OtherRegion {
		s.crossRegion.Add(locality.Bytes{Sent: a.requestBytes, Received: a.responseBytes})
	}
	if res.Kind != attempt.Answered {
		return
	}
	sample := locality.Sample{Distance: a.target.distance, RequestBytes: a.requestBytes, ResponseBytes: a.responseBytes}
	if !res.FreshConnection {
		sample.FirstByte = res.FirstByte
	}
	a.request.class.traffic.Add(now, sample)
}

// updateShares updates the shares of the traffic that may leave the zone, and records when the
// zone becomes short of capacity for the service and when it no longer is.
func (s *Scheduler) updateShares(now time.Time) {
	if !s.shares.Due(now) {
		return
	}
	zones := s.zoneStates(now)
	s.shares.Update(now, zones, len(s.waiting))
	s.updateAdmission(now, zones)
	shortage := s.shares.Shortage()
	switch {
	case !s.zoneShort && shortage > shortZone:
		s.zoneShort = true
		s.recordShortage(event.ZoneShort, zones)
	case s.zoneShort && shortage < sufficientZone:
		s.zoneShort = false
		s.recordShortage(event.ZoneSufficient, zones)
	}
}

// zoneStates returns the state of the targets in each of Scheduler.zones.
func (s *Scheduler) zoneStates(now time.Time) []locality.Zone {
	zones := make([]locality.Zone, len(s.zones))
	for i, location := range s.zones {
		zones[i].Location = location
	}
	for _, t := range s.order {
		if !t.usable(now) {
			continue
		}
		i := t.zone
		// A slot of a target that fails requests is worth less by as much.
		zones[i].Slots += float64(min(t.Slots, t.limit.Limit(now))) * (1 - t.belief.RequestFailureProbability(now))
		zones[i].Busy += float64(t.inFlight) + t.otherLoad.Load(now)
		zones[i].OwnBusy += float64(t.inFlight)
	}
	return zones
}

func (s *Scheduler) recordShortage(kind event.Kind, zones []locality.Zone) {
	fields := []event.Field{event.F("service", s.cfg.Service), event.F("zone", s.self.Location.Zone),
		event.F("shortage", roundToPercent(s.shares.Shortage())), event.F("waiting", len(s.waiting))}
	for _, z := range zones {
		if z.Location == s.self.Location {
			fields = append(fields, event.F("slots", roundToPercent(z.Slots)), event.F("busy", roundToPercent(z.Busy)))
		}
	}
	for _, p := range s.shares.Pairs() {
		fields = append(fields, event.F("allowed_"+string(p.To), roundToPercent(p.Allowed)), event.F("used_"+string(p.To), roundToPercent(p.Used)))
	}
	s.emit(dispatch.Record{Kind: kind, Fields: fields})
}

// leaveReason returns the reason for which a request is sent to a target outside the zone.
func (s *Scheduler) leaveReason(now time.Time, r *request, to *target) locality.Reason {
	if r.forFloor && r.attempts == 0 {
		return locality.Floor
	}
	usable, room := false, false
	var best *target
	for _, t := range s.order {
		if t.distance != balance.SameZone || !t.usable(now) {
			continue
		}
		usable = true
		if t.freeSlots(now) <= 0 || !t.allowsRate(now) {
			continue
		}
		room = true
		if !slices.Contains(r.tried, t.ID) && (best == nil || t.belief.RequestFailureProbability(now) < best.belief.RequestFailureProbability(now)) {
			best = t
		}
	}
	switch {
	case !usable:
		return locality.NoTarget
	case !room:
		return locality.NoRoom
	case best == nil:
		return locality.Tried
	case best.belief.RequestFailureProbability(now)-to.belief.RequestFailureProbability(now) > failingDifference:
		return locality.Failing
	}
	return locality.Cheaper
}

// failingDifference is the difference of the probabilities of failure from which a request
// counts as leaving its zone because the targets there fail.
const failingDifference = 0.1
