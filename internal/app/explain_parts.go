package app

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/schedule"
	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
)

// seconds returns a time in seconds, nil if it is negative, which means that it is not known.
func seconds(d time.Duration) *float64 {
	if d < 0 {
		return nil
	}
	s := d.Seconds()
	return &s
}

// secondsAboveZero returns a time in seconds, nil for none.
func secondsAboveZero(d time.Duration) *float64 {
	if d <= 0 {
		return nil
	}
	return seconds(d)
}

// What a request would get that asks for a permit of its team.
const (
	quotaGrantedText  = "granted"
	quotaWaitsText    = "waits"
	quotaExceededText = "exceeded"
	quotaUnknownText  = "unknown"
)

// predict returns the state of the quota of a team and what a request would get now that waits for a
// permit for at most maxWait. It takes no permit.
func (q *quotas) predict(t *team.Team, maxWait time.Duration) (*adminapi.ExplainedQuota, *ingress.QuotaError) {
	if maxWait <= 0 {
		maxWait = defaultQuotaWait
	}
	now := time.Now()
	q.mu.Lock()
	p := q.teams.Predict(now, t.Name, t.Quota)
	q.mu.Unlock()
	out := explainedQuota(&p, t, maxWait)
	if p.Waits || p.Decision.Granted {
		return out, nil
	}
	out.RetryAfterSeconds = secondsAboveZero(p.Decision.RetryAfter)
	return out, &ingress.QuotaError{Exceeded: p.Decision.Exceeded, RetryAfter: p.Decision.RetryAfter}
}

func explainedQuota(p *ratelimit.Prediction, t *team.Team, maxWait time.Duration) *adminapi.ExplainedQuota {
	s := &p.Status
	out := &adminapi.ExplainedQuota{
		Quota: adminapi.Quota{
			Team: string(t.Name), RatePerSecond: t.Quota.RatePerSecond, Burst: t.Quota.Burst,
			Permits: s.Permits, Waiting: s.Waiting, Owner: string(s.Owner), UsedUp: s.Exhausted,
			AnswerAgeSeconds: seconds(s.Age), DeniedSeconds: secondsAboveZero(p.DeniedFor),
		},
		Recent: p.Recent, MaxWaitSeconds: maxWait.Seconds(), Decision: quotaGrantedText,
	}
	switch {
	case p.Waits:
		out.Decision = quotaWaitsText
	case p.Decision.Granted:
	case p.Decision.Exceeded:
		out.Decision = quotaExceededText
	default:
		out.Decision = quotaUnknownText
	}
	return out
}

func explainedAdmission(a *schedule.AdmissionExplanation) *adminapi.ExplainedAdmission {
	out := &adminapi.ExplainedAdmission{
		Enabled: a.Enabled, Active: a.State.Active, TeamPriority: a.Level.TeamPriority, ClassPriority: a.Level.ClassPriority, Part: a.Part,
		Demand: a.State.Demand, Capacity: a.State.Capacity, Budget: a.State.Budget,
		Hosts: a.Inputs.Reporting, UpdatedAgeSeconds: seconds(a.Inputs.SinceUpdate),
	}
	if a.Inputs.Reporting > 0 {
		out.ReportAgeSeconds = seconds(a.Inputs.OldestReport)
	}
	if a.State.Active {
		out.FirstLimited = &adminapi.AdmissionLevel{TeamPriority: a.State.Level.TeamPriority, ClassPriority: a.State.Level.ClassPriority, Part: a.State.Fraction}
	}
	return out
}

// distanceNames are the names of the distances.
var distanceNames = map[balance.Distance]string{balance.SameZone: "same_zone", balance.SameRegion: "same_region", balance.OtherRegion: "other_region"}

func explainedZones(e *schedule.Explanation) *adminapi.ExplainedZones {
	out := &adminapi.ExplainedZones{
		Shortage: e.Shortage, SharesAgeSeconds: seconds(e.SinceShares), CostsAgeSeconds: seconds(e.SinceDistanceCosts),
		LinkUtilization: e.LinkUtilization, LinkAgeSeconds: seconds(e.SinceLink), Zones: []adminapi.ExplainedZone{},
	}
	for _, z := range e.Zones {
		out.Zones = append(out.Zones, adminapi.ExplainedZone{
			Region: string(z.Location.Region), Zone: string(z.Location.Zone), Distance: distanceNames[z.Distance],
			Slots: z.Slots, Busy: z.Busy, Allowed: z.Allowed, Used: z.Used,
			Cost: z.Cost.Total(z.PriceFactor), Leave: z.Cost.Leave, Delay: z.Cost.Delay, Transfer: z.Cost.Transfer,
			Price: z.Cost.Price * z.PriceFactor, PriceFactor: z.PriceFactor,
		})
	}
	return out
}

func explainedTarget(t *schedule.TargetExplanation) adminapi.ExplainedTarget {
	c := &t.Cost
	out := adminapi.ExplainedTarget{
		Name: string(t.Target), Region: string(t.Location.Region), Zone: string(t.Location.Zone), Distance: distanceNames[t.Distance],
		State: string(t.State), AvailableAfterSeconds: secondsAboveZero(t.AvailableAfter), Chosen: t.Chosen,
		Cost: &adminapi.ExplainedCost{
			Total: c.Total, Failure: c.Failure, Distance: c.Distance, Rejections: c.Rejections, Load: c.Load, Slowness: c.Slowness, Connection: c.Connection,
			Affinity: c.Affinity, Unregistered: c.Unregistered,
			NewTargetBonus: c.NewTargetBonus, UsageBonus: c.UsageBonus, LimitBonus: c.LimitBonus,
		},
		InFlight: t.InFlight, OtherLoad: t.OtherLoad, LoadSource: string(t.LoadSource), Slots: t.Slots, FreeSlots: t.FreeSlots,
		FailureProbability: t.FailureProbability, FailingProbability: t.FailingProbability, Avoided: t.Avoided,
		OutcomeAgeSeconds: seconds(t.SinceOutcome), LatencyRatio: t.LatencyRatio, LatencyAgeSeconds: seconds(t.SinceLatency), WarmupSeconds: secondsAboveZero(t.WarmupLeft),
		Unregistered: t.Unregistered,
	}
	out.RejectionShare, out.RejectionAgeSeconds = t.RejectionShare, seconds(t.SinceRejectionShare)
	if t.LoadSource != "" {
		out.LoadAgeSeconds = seconds(t.SinceLoad)
	}
	if t.RateLimited {
		out.RateLimit, out.Permits, out.LimitAgeSeconds = &t.RateLimit, t.Permits, seconds(t.SinceRateLimit)
	}
	return out
}
