package schedule

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/admission"
	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/locality"
)

// Explanation is what a scheduler would do with a request that arrives now, and why.
type Explanation struct {
	// Start is set if the request would be sent to a target, Refuse if it would be refused. If
	// neither is set, it would wait behind QueuePosition others for about Wait.
	Start  *dispatch.Start
	Refuse *dispatch.Refuse

	QueuePosition, Waiting, QueueLength int
	Wait                                time.Duration
	// Retryable is set if the request could rely on another attempt, Retries the number of retries
	// that the budget allows.
	Retryable bool
	Retries   float64
	// ServiceTime is the mean response time of the class, SinceServiceTime the time since the last
	// response, negative if there was none. Capacity is the number of slots that this host may use.
	ServiceTime, SinceServiceTime time.Duration
	Capacity                      int
	Floor                         dispatch.FloorStatus
	Admission                     AdmissionExplanation
	Zones                         []ZoneExplanation
	Shortage                      float64
	// SinceShares and SinceDistanceCosts are the ages of the shares of the zones and of the costs of
	// distance, SinceLink that of the utilization of the link between regions, negative if there is
	// none.
	SinceShares, SinceDistanceCosts, SinceLink time.Duration
	LinkUtilization                            float64
	Targets                                    []TargetExplanation
}

// AdmissionExplanation is the state of the admission levels for a request.
type AdmissionExplanation struct {
	// Enabled is set if the configuration asks for admission levels.
	Enabled bool
	Level   admission.Level
	// Part is the part of such requests that is admitted, 0 to 1.
	Part   float64
	State  admission.State
	Inputs admission.Inputs
}

// ZoneExplanation is the state of the targets in a zone and the cost of sending a request there.
type ZoneExplanation struct {
	locality.Zone
	Distance balance.Distance
	// Cost holds the parts of the cost of distance as of now, PriceFactor the factor of its price.
	Cost        locality.Cost
	PriceFactor float64
	// Allowed is the share of the requests that the shortage in the zone of the host justifies to
	// send there, Used the measured one.
	Allowed, Used float64
}

// TargetState is the reason for which a target gets the request or does not.
type TargetState string

// States of targets.
const (
	TargetFree TargetState = "free"
	// TargetFull means that this host has no free slot at the target.
	TargetFull TargetState = "full"
	// TargetRateLimited means that the host has no permit for the rate that the target states.
	TargetRateLimited TargetState = "rate_limited"
	TargetDraining    TargetState = "draining"
	TargetLeaving     TargetState = "leaving"
	// TargetPaused means that the target asked for no requests for a time.
	TargetPaused TargetState = "paused"
	// TargetShedding means that the target refused requests because of overload.
	TargetShedding TargetState = "shedding"
	// TargetUnavailable means that the target could not be reached or refused requests recently.
	TargetUnavailable TargetState = "unavailable"
)

// TargetExplanation is a target with its cost for a request.
type TargetExplanation struct {
	Target   ident.TargetID
	Location ident.Location
	Distance balance.Distance
	State    TargetState
	// AvailableAfter is the time after which an unusable target may be used again, 0 if it is usable
	// or not expected back.
	AvailableAfter time.Duration
	// Chosen is set if the request would be sent to the target.
	Chosen bool
	Cost   CostExplanation
	// InFlight is the number of this host's requests at the target, OtherLoad that of others, Slots
	// and FreeSlots those of the target and those that this host may use.
	InFlight         int
	OtherLoad        float64
	Slots, FreeSlots int
	// LoadSource and SinceLoad are the origin and the age of OtherLoad; LoadSource is empty without
	// a recent report.
	LoadSource balance.Source
	SinceLoad  time.Duration
	// FailureProbability is the probability that the request fails at the target, FailingProbability
	// that the target is failing, and Avoided set while the latter is high.
	FailureProbability, FailingProbability float64
	Avoided                                bool
	SinceOutcome                           time.Duration
	// LatencyRatio is the ratio of the response times of the target to the usual ones, SinceLatency
	// the time since the last one, negative if there was none.
	LatencyRatio float64
	SinceLatency time.Duration
	// RejectionShare is the recent share of attempts that the target rejected, SinceRejectionShare the
	// time since the last attempt that counted, negative if there was none.
	RejectionShare      float64
	SinceRejectionShare time.Duration
	WarmupLeft          time.Duration
	Unregistered        bool
	// RateLimited is set if the target states a rate.
	RateLimited    bool
	RateLimit      float64
	Permits        int
	SinceRateLimit time.Duration
}

// CostExplanation holds the parts of the cost of a target in lost requests. Bonuses reduce it.
type CostExplanation struct {
	Total                                                                             float64
	Failure, Distance, Rejections, Load, Affinity, Connection, Slowness, Unregistered float64
	NewTargetBonus, UsageBonus, LimitBonus                                            float64
}

// Explain returns what Arrive would do with a request. It decides on a copy with the code of Arrive
// and changes nothing. It returns false if the class is not known.
func (s *Scheduler) Explain(now time.Time, in dispatch.Request) (Explanation, bool) {
	c := s.clone()
	k := c.classOf(in.Class)
	if k == nil {
		return Explanation{}, false
	}
	c.actions = nil
	r := c.register(now, k, in)
	// The selection of a target depends on it.
	c.countHealthy(now)
	e := c.explainInputs(now, r)
	c.decide(now, r)
	e.setDecision(r.ID, c.flush(now))
	return e, true
}

// explainInputs returns the state by which a new request is decided.
func (s *Scheduler) explainInputs(now time.Time, r *request) Explanation {
	c := r.class
	e := Explanation{
		QueuePosition:    s.queuePosition(r),
		Waiting:          len(s.waiting),
		QueueLength:      max(0, s.cfg.QueueLength),
		Wait:             s.waitEstimate(now, r),
		Retryable:        s.retryable(now, r),
		Retries:          s.budget.Remaining(now),
		ServiceTime:      c.serviceTime.Mean(now),
		SinceServiceTime: c.serviceTime.SinceSample(now),
		Capacity:         s.capacity(now, c.serviceTime.Mean(now)),
		Floor:            dispatch.FloorStatus{Active: s.floorEnforced, Healthy: s.healthyTargets, Used: s.usedTargets},
		Admission: AdmissionExplanation{
			Enabled: s.cfg.AdmissionLevels, Level: r.level(), Part: s.admission.Fraction(r.level(), r.Team),
			State: s.admission.State(), Inputs: s.admission.Inputs(now),
		},
		Shortage:    s.shares.Shortage(),
		SinceShares: s.shares.SinceUpdate(now),
		SinceLink:   -1,
	}
	if age := now.Sub(s.linkUtilizationAt); age < linkUtilizationLifetime {
		e.LinkUtilization, e.SinceLink = s.linkUtilization, age
	}
	e.Zones = s.explainZones(now, c)
	for _, t := range s.order {
		e.Targets = append(e.Targets, s.explainTarget(now, r, t))
	}
	// The costs of the targets have brought those of distance up to date.
	e.SinceDistanceCosts = now.Sub(c.distanceCostsAt)
	if len(c.distanceCosts) == 0 {
		e.SinceDistanceCosts = -1
	}
	return e
}

// setDecision sets what the actions do with a request.
func (e *Explanation) setDecision(id ident.RequestID, actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Start:
			if a.Request == id {
				e.Start = &a
			}
		case dispatch.Refuse:
			if a.Request == id {
				e.Refuse = &a
			}
		}
	}
	for i := range e.Targets {
		e.Targets[i].Chosen = e.Start != nil && e.Start.Target == e.Targets[i].Target
	}
}

func (s *Scheduler) explainZones(now time.Time, c *class) []ZoneExplanation {
	pairs := s.shares.Pairs()
	list := make([]ZoneExplanation, 0, len(s.zones))
	for _, zone := range s.zoneStates(now) {
		e := ZoneExplanation{Zone: zone, Distance: balance.DistanceBetween(s.self.Location, zone.Location)}
		e.Cost, e.PriceFactor = s.zoneCost(now, c, zone.Location)
		if i := slices.IndexFunc(pairs, func(p locality.Pair) bool { return p.To == zone.Location.Zone }); i >= 0 && e.Distance != balance.SameZone {
			e.Allowed, e.Used = pairs[i].Allowed, pairs[i].Used
		}
		list = append(list, e)
	}
	return list
}

func (s *Scheduler) explainTarget(now time.Time, r *request, t *target) TargetExplanation {
	p := s.costParts(now, r, t)
	e := TargetExplanation{
		Target: t.ID, Location: t.Location, Distance: t.distance, State: t.explainState(now),
		Cost: CostExplanation{
			Total: p.total(), Failure: p.failure, Distance: p.distance, Rejections: p.rejections, Load: p.load, Affinity: p.affinity,
			Connection: p.connection, Slowness: p.slowness, Unregistered: p.unregistered,
			NewTargetBonus: p.newTarget, UsageBonus: p.usage, LimitBonus: p.limit,
		},
		InFlight: t.inFlight, OtherLoad: t.otherLoad.Load(now), Slots: t.Slots, FreeSlots: max(0, t.freeSlots(now)),
		FailureProbability: t.belief.RequestFailureProbability(now), FailingProbability: t.belief.FailingProbability(now),
		Avoided: t.avoided, SinceOutcome: t.belief.SinceObservation(now),
		LatencyRatio: t.latencyRatio.Value(now), SinceLatency: t.latencyRatio.SinceObservation(now),
		WarmupLeft: max(0, t.WarmUntil.Sub(now)), Unregistered: t.Unregistered,
	}
	e.RejectionShare, e.SinceRejectionShare = t.rejections.value(now), -1
	if !t.rejections.updatedAt.IsZero() {
		e.SinceRejectionShare = now.Sub(t.rejections.updatedAt)
	}
	if source, age, ok := t.otherLoad.Report(now); ok {
		e.LoadSource, e.SinceLoad = source, age
	}
	if !t.usable(now) && e.State != TargetDraining && e.State != TargetLeaving {
		e.AvailableAfter = max(0, t.availableAt().Sub(now))
	}
	if l := t.rate.Limit(); l.Limited {
		e.RateLimited, e.RateLimit, e.Permits, e.SinceRateLimit = true, l.Rate, t.rate.Permits(now), now.Sub(l.HeardAt)
	}
	return e
}

// explainState returns the first reason for which a target gets no request. A target is free if
// usable and allowsRate allow it and it has a free slot.
func (t *target) explainState(now time.Time) TargetState {
	switch {
	case t.Draining:
		return TargetDraining
	case t.process.leaving.excludes(now):
		return TargetLeaving
	case !t.reachable(now):
		return TargetUnavailable
	case t.pausing(now):
		return TargetPaused
	case !t.usable(now):
		return TargetShedding
	case !t.allowsRate(now):
		return TargetRateLimited
	case t.freeSlots(now) <= 0:
		return TargetFull
	}
	return TargetFree
}
