package ratelimit

import "time"

// Policy holds the differences between the users of permits: targets that state a rate,
// and teams with a quota.
type Policy struct {
	// MinLifetime is the shortest time for which permits are valid. They stay valid for as
	// long as the rate needs for LifetimePermits permits, if that is longer.
	MinLifetime     time.Duration
	LifetimePermits float64
	// MinRate is the lowest rate, in requests per second, that is applied.
	MinRate float64
	// BurstTime is the time over which unused permits accumulate. BurstPermits and the burst
	// of the entry come on top, and MinBurst is the least.
	BurstTime    time.Duration
	BurstPermits float64
	MinBurst     float64
	// StartPermits is what a new allocator may hand out at once, less what the rate brings
	// in StartDebt, the time for which permits of an earlier allocator may be in use.
	// Within StartTime after the debt, or after the share of an allocator was low, a lack of
	// permits does not show that the rate is used up: requests that have waited ask all at
	// once. Only more waiting requests than the rate allowed in MaxBacklog show that.
	StartPermits float64
	StartDebt    time.Duration
	StartTime    time.Duration
	MaxBacklog   time.Duration
	// Queue is set if the allocator keeps a want that it cannot fulfil. Otherwise the host
	// is told when to ask again.
	Queue bool
	// Merge is set if the rate is what the hosts have heard, the latest statement of which
	// applies. Otherwise the rate is that of the configuration.
	Merge bool
	// StockTime is the time for whose demand a host keeps permits in stock.
	StockTime time.Duration
}

// targetPolicy is the policy for targets that state a rate.
var targetPolicy = Policy{
	MinLifetime:     minPermitLifetime,
	MinRate:         MinRate,
	LifetimePermits: 2,
	BurstTime:       burstTime,
	MinBurst:        1,
	Queue:           true,
	Merge:           true,
	StockTime:       stockTime,
}

// QuotaBounds bound the requests of a team that run over all hosts: in every Window at most
// (rate x Window + burst) x (1 + Overshoot) + Slack.
type QuotaBounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// DefaultQuotaBounds are the bounds of a deployment that does not state others.
var DefaultQuotaBounds = QuotaBounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// newTeamPolicy returns the policy for the quotas of teams. Of the overshoot, half is for the
// time over which permits accumulate and 0.4 for the stock of the hosts. Of the slack, half
// lets random arrivals below a quota without burst pass, and the rest covers three changes of
// the owner. The debt of a new owner lasts as long as permits of the earlier one are valid.
func newTeamPolicy(b QuotaBounds) Policy {
	overshoot := b.Overshoot * float64(b.Window)
	return Policy{
		MinLifetime:  500 * time.Millisecond,
		BurstTime:    time.Duration(overshoot / 2),
		BurstPermits: b.Slack / 2,
		StartPermits: 0.15 * b.Slack,
		StartDebt:    500 * time.Millisecond,
		StartTime:    2 * time.Second,
		MaxBacklog:   teamSilenceTimeout,
		StockTime:    time.Duration(0.4 * overshoot),
	}
}

// lifetime returns the time for which permits are valid.
func (p *Policy) lifetime(rate float64) time.Duration {
	if p.LifetimePermits == 0 {
		return p.MinLifetime
	}
	return max(p.MinLifetime, time.Duration(p.LifetimePermits/rate*float64(time.Second)))
}

// depth returns the number of permits that accumulate, for the part of the rate that an
// allocator may hand out.
func (p *Policy) depth(share float64, e *Entry) float64 {
	rate := share * p.rate(e)
	return max(p.MinBurst, rate*p.BurstTime.Seconds()+share*(p.BurstPermits+e.Burst))
}

// rate returns the rate to apply, in requests per second.
func (p *Policy) rate(e *Entry) float64 { return max(p.MinRate, e.Limit.Rate) }
