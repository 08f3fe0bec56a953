package schedule

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
)

const (
	// rateReports is the number of messages in which a change of a limit that this host
	// heard of is told to the allocator, since datagrams may be lost.
	rateReports = 3
	// endedLimitLifetime is the time for which other hosts are told of the end of a
	// limit.
	endedLimitLifetime = 10 * time.Second
	// minFloorRate is the rate in requests per second below which a limited target does
	// not count for the floor: it is meant to get few requests.
	minFloorRate = 2
	// limitRefreshAfter is the age from which the next request tests whether a limit
	// still holds, and limitRefreshBonus the cost reduction of its target. It is too
	// small for a target that is believed to be failing.
	limitRefreshAfter = 2 * time.Second
	limitRefreshBonus = 0.1
	// permitBonus is the cost reduction of a target for which the host has a permit. The
	// permit was asked for because the target was the cheapest; if a slightly cheaper one
	// is used instead, it expires, and no other host can use it.
	permitBonus = 0.05
	// limitReportInterval is the time after which the allocator is told again that a
	// limit still holds.
	limitReportInterval = time.Second
)

// LimitReport is what a response states about the rate that its target accepts.
type LimitReport struct {
	// Process is the one that the request was sent to.
	Process   Process
	Statement ratelimit.Statement
	// SentAt is the time at which the request was sent.
	SentAt time.Time
}

// ReportLimit applies the statement of a response that arrived now.
func (s *Scheduler) ReportLimit(now time.Time, r LimitReport) []dispatch.Action {
	t := s.targets[r.Process.Target]
	if t == nil || t.process.process != r.Process || !r.Statement.Heard {
		return nil
	}
	if r.Statement.Malformed && !t.malformedRate {
		s.record(event.RateStatementMalformed, t)
	}
	t.malformedRate = r.Statement.Malformed
	if r.Statement.Malformed && !r.Statement.Limited {
		return s.flush(now)
	}
	heard := ratelimit.Limit{Limited: r.Statement.Limited, Rate: r.Statement.Rate, SentAt: r.SentAt, HeardAt: now}
	switch {
	case s.mergeLimit(t, heard, "own request"):
		t.rateReportsLeft, s.limitNews = rateReports, true
	case t.rate.Limited() && now.Sub(t.rateReportedAt) > limitReportInterval:
		t.rateReportsLeft = max(1, t.rateReportsLeft)
	}
	return s.flush(now)
}

// ObserveLimits applies limits that another host told of.
func (s *Scheduler) ObserveLimits(now time.Time, entries []ratelimit.Entry) []dispatch.Action {
	for _, e := range entries {
		if t := s.targets[e.Target]; t != nil && t.StartUnixMilli == e.StartUnixMilli {
			s.mergeLimit(t, e.Limit, "another host")
		}
	}
	return s.flush(now)
}

// mergeLimit applies a limit and reports whether it changed the rate of the target.
func (s *Scheduler) mergeLimit(t *target, l ratelimit.Limit, source string) bool {
	if !t.rate.Merge(l) {
		return false
	}
	if t.rate.Limited() {
		s.record(event.RateLimitStated, t, event.F("rate", t.rate.Limit().Rate), event.F("source", source))
	} else {
		s.record(event.RateLimitEnded, t, event.F("source", source))
	}
	return true
}

// Limits returns what this host knows of the limits of its targets, including those that
// ended within endedLimitLifetime.
func (s *Scheduler) Limits(now time.Time) []ratelimit.Entry {
	var list []ratelimit.Entry
	for _, t := range s.order {
		l := t.rate.Limit()
		if l.Limited || (l.Known() && now.Sub(l.HeardAt) < endedLimitLifetime) {
			list = append(list, t.rateEntry())
		}
	}
	return list
}

func (t *target) rateEntry() ratelimit.Entry {
	return ratelimit.Entry{Target: t.ID, StartUnixMilli: t.StartUnixMilli, Limit: t.rate.Limit()}
}

// HasLimitNews reports whether the allocator should be told of a limit at once.
func (s *Scheduler) HasLimitNews() bool { return s.limitNews }

// PermitWants returns the permits that this host can use, and the changes of limits that
// it heard of.
func (s *Scheduler) PermitWants(now time.Time) []ratelimit.Want {
	s.limitNews = false
	var wants []ratelimit.Want
	for _, t := range s.order {
		missing := t.rate.Missing(now)
		if t.pausing(now) || t.process.leaving.excludes(now) {
			missing = 0
		}
		if missing == 0 && len(s.waiting) > 0 && t.usable(now) && !t.allowsRate(now) {
			missing = 1
		}
		if missing == 0 && t.rateReportsLeft == 0 {
			continue
		}
		t.rateReportsLeft, t.rateReportedAt = max(0, t.rateReportsLeft-1), now
		t.rate.Asked(now)
		wants = append(wants, ratelimit.Want{Entry: t.rateEntry(), Region: t.Location.Region, Permits: missing})
	}
	return wants
}

// GrantPermits applies the response of an allocator to a request that was sent at the
// given time.
func (s *Scheduler) GrantPermits(now, sentAt time.Time, granted []ratelimit.Granted) []dispatch.Action {
	for _, g := range granted {
		t := s.targets[g.Target]
		if t == nil || t.StartUnixMilli != g.StartUnixMilli {
			continue
		}
		s.mergeLimit(t, g.Limit, "allocator")
		t.rate.Add(now, sentAt, g.Permits, g.Hosts)
	}
	return s.flush(now)
}

// allowsRate reports whether the rate of the target allows a request of this host now.
func (t *target) allowsRate(now time.Time) bool { return t.rate.Allows(now) }

// limitBonus is the cost reduction of a limited target for which the host has a permit, or
// whose limit was not heard of lately.
func (t *target) limitBonus(now time.Time) float64 {
	l := t.rate.Limit()
	if !l.Limited {
		return 0
	}
	bonus := 0.0
	if now.Sub(l.HeardAt) > limitRefreshAfter {
		bonus += limitRefreshBonus
	}
	if t.allowsRate(now) {
		bonus += permitBonus
	}
	return bonus
}

// countDenied counts the demand of a request for targets that only lack a permit: all of
// them if no other target can take the request, otherwise the cheapest if it would have
// been chosen. A request counts once.
func (s *Scheduler) countDenied(now time.Time, r *request, denied []candidate, free candidate) {
	if r.deniedCounted || len(denied) == 0 {
		return
	}
	r.deniedCounted = true
	if free.target == nil {
		for _, c := range denied {
			c.target.rate.AddDemand(now)
		}
		return
	}
	cheapest := denied[0]
	for _, c := range denied[1:] {
		if c.cost < cheapest.cost {
			cheapest = c
		}
	}
	if cheapest.cost <= free.cost {
		cheapest.target.rate.AddDemand(now)
	}
}

// permitWait is the expected time until a request with others ahead of it gets a permit,
// 0 if some usable target needs none.
func (s *Scheduler) permitWait(now time.Time, ahead int) time.Duration {
	rate, delay := 0.0, maxPermitWait
	limited := false
	for _, t := range s.order {
		if !t.usable(now) {
			continue
		}
		if !t.rate.Limited() {
			return 0
		}
		perSecond, after := t.rate.ExpectedRate(now)
		rate += perSecond
		delay = min(delay, after)
		limited = true
	}
	if !limited {
		return 0
	}
	wait := maxPermitWait.Seconds()
	if rate > 0 {
		wait = min(wait, float64(ahead+1)/rate)
	}
	return delay + time.Duration(wait*float64(time.Second))
}

// permitTooLate reports whether a request that gets a permit after a wait would miss its
// latency objective. While all targets are limited, a queue that is admitted up to the
// deadline would delay all requests by as much without serving more of them.
func (r *request) permitTooLate(now time.Time, wait time.Duration) bool {
	if wait == 0 {
		return false
	}
	if objective := r.class.Objective; objective > 0 && now.Add(wait+r.class.serviceTime.LowQuantile(now)).After(r.arrived.Add(objective)) {
		return true
	}
	return r.deadlineTooShort(now, wait)
}

// maxPermitWait bounds the wait for a permit that is expected.
const maxPermitWait = time.Minute
