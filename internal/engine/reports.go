package engine

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/schedule"
)

// LoadReport reports a target's load.
func (s *Service) LoadReport(r dispatch.LoadReport) {
	s.handleEvent(func(now time.Time, d Decider) []dispatch.Action { return d.LoadReport(now, r) })
}

// ReportLimit reports what the response to an attempt states about the rate that its target
// accepts. sent is the time at which the request was sent. It must be called before Finish.
func (s *Service) ReportLimit(id ident.AttemptID, statement ratelimit.Statement, sent time.Time) {
	s.schedule(func(now time.Time, d *schedule.Scheduler) []dispatch.Action {
		return d.ReportLimit(now, schedule.LimitReport{Process: d.ProcessOf(id), Statement: statement, SentAt: sent})
	})
}

// ReportTraffic reports the bytes that an attempt wrote to its target and read from it. It must
// be called before Finish.
func (s *Service) ReportTraffic(id ident.AttemptID, requestBytes, responseBytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler != nil {
		s.scheduler.ReportTraffic(id, requestBytes, responseBytes)
	}
}

// SetLinkUtilization applies the utilization of the link between regions, 0 to 1.
func (s *Service) SetLinkUtilization(utilization float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler != nil {
		s.scheduler.SetLinkUtilization(monotonicNow(), utilization)
	}
}

// ReportPause reports a response with status 503 and a Retry-After header.
func (s *Service) ReportPause(r schedule.PauseReport) {
	s.schedule(func(now time.Time, d *schedule.Scheduler) []dispatch.Action {
		actions := d.ReportPause(now, r)
		s.pausing.Store(d.Pausing())
		return actions
	})
}

// MayWrite reports whether the first byte of an attempt may be written now.
func (s *Service) MayWrite(id ident.AttemptID) bool {
	if !s.pausing.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler == nil || s.scheduler.MayWrite(monotonicNow(), id)
}

// ReportLeaving reports what the response to an attempt states about whether the target is
// leaving. It must be called before Finish.
func (s *Service) ReportLeaving(id ident.AttemptID, statement attempt.LeavingStatement) {
	s.schedule(func(now time.Time, d *schedule.Scheduler) []dispatch.Action {
		return d.ReportLeaving(now, id, statement)
	})
}

// ObserveLimits applies limits that another host told of.
func (s *Service) ObserveLimits(entries []ratelimit.Entry) {
	s.schedule(func(now time.Time, d *schedule.Scheduler) []dispatch.Action { return d.ObserveLimits(now, entries) })
}

// GrantPermits applies the response of an allocator to a request that was sent at the given
// time.
func (s *Service) GrantPermits(sentAt time.Time, granted []ratelimit.Granted) {
	s.schedule(func(now time.Time, d *schedule.Scheduler) []dispatch.Action {
		return d.GrantPermits(now, sentAt, granted)
	})
}

// Limits returns what this host knows of the limits of the service's targets.
func (s *Service) Limits() []ratelimit.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil {
		return nil
	}
	return s.scheduler.Limits(monotonicNow())
}

// PermitWants returns the permits that this host can use.
func (s *Service) PermitWants() []ratelimit.Want {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil {
		return nil
	}
	return s.scheduler.PermitWants(monotonicNow())
}

// HasLimitNews reports whether an allocator should be told of a limit at once.
func (s *Service) HasLimitNews() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler != nil && s.scheduler.HasLimitNews()
}

// Explain returns what the service would do with a request that arrives now. It changes nothing. It
// returns false if the service has another dispatcher than the scheduler, or does not know the class of
// the request.
func (s *Service) Explain(r dispatch.Request) (schedule.Explanation, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil {
		return schedule.Explanation{}, false
	}
	return s.scheduler.Explain(monotonicNow(), r)
}
