package ingress

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/locality"
	"github.com/sapphirehaven/sapphirehaven/internal/requestlog"
)

// defaultSlowAttempt is the duration from which an answered attempt is logged as
// slow if its class has no latency objective.
const defaultSlowAttempt = time.Second

// logAttempt logs the result of an attempt and the inputs of the target
// selection.
func (q *request) logAttempt(start dispatch.Start, trace *target.Trace, result attempt.Result) {
	q.attemptCount++
	if q.server.cfg.Log == nil {
		return
	}
	elapsed := time.Since(q.attemptStart)
	slowThreshold := defaultSlowAttempt
	if objective := time.Duration(q.class.Objective); objective > 0 {
		slowThreshold = objective
	}
	selection := start.Selection
	fields := logrus.Fields{
		"route":         q.route,
		"service":       q.backend.Service.Name,
		"class":         q.class.Name,
		"revision":      q.active.Revision,
		"target":        start.Target,
		"attempt":       q.attemptCount,
		"result":        result.Kind,
		"ms":            elapsed.Milliseconds(),
		"left_ms":       time.Until(q.deadline).Milliseconds(),
		"waited_ms":     selection.WaitTime.Milliseconds(),
		"p_failure":     roundMilli(selection.FailureProbability),
		"cost":          roundMilli(selection.Cost),
		"covers":        selection.KeepsFloor,
		"unseen_ms":     selection.SinceOutcome.Milliseconds(),
		"in_flight":     selection.InFlight,
		"others":        roundMilli(selection.OtherLoad),
		"slots":         selection.Slots,
		"reused":        trace.Reused,
		"may_have_run":  !result.NotSent && !result.NotRun,
		"response_head": result.FirstByte.Milliseconds(),
	}
	if q.team != nil {
		fields["team"], fields["team_priority"] = q.team.Name, q.team.Priority
	}
	if selection.RateLimited {
		fields["rate_limit"] = selection.RateLimit
		fields["rate_limit_age_ms"] = selection.SinceRateLimit.Milliseconds()
		fields["permits"] = selection.Permits
	}
	if selection.Leaves != locality.Stayed {
		fields["leaves_zone"] = selection.Leaves
		fields["to_zone"] = selection.To.Zone
		fields["distance_cost"] = roundMilli(selection.DistanceCost)
		fields["zone_shortage"] = roundMilli(selection.ZoneShortage)
	}
	addStatementFields(fields, trace)
	if trace.Err != nil {
		fields["error"] = trace.Err
	}
	q.server.cfg.Log.Write(requestlog.Line{
		Event:   "attempt",
		Request: q.wireID,
		Fields:  fields,
		Routine: result.Kind == attempt.Answered && elapsed < slowThreshold,
	})
}

// addStatementFields adds what a target stated about itself in its response.
func addStatementFields(fields logrus.Fields, trace *target.Trace) {
	if trace.RateLimit.Limited {
		fields["stated_rate"] = trace.RateLimit.Rate
	}
	if trace.Pause.Present {
		fields["pause_ms"] = trace.Pause.Wait.Milliseconds()
	}
	if trace.Pause.Malformed {
		fields["pause_malformed"] = true
	}
	if trace.Leaving.Leaving {
		fields["leaving"] = true
	}
}

func roundMilli(x float64) float64 { return float64(int(x*1000+0.5)) / 1000 }

// logProblem logs the problem that this host returned for a request.
func (s *Server) logProblem(p *Problem, id string) {
	if s.cfg.Log == nil {
		return
	}
	fields := logrus.Fields{
		"problem":        p.Type,
		"outcome":        p.Outcome,
		"detail":         p.Detail,
		"retry_after_ms": p.RetryAfter.Milliseconds(),
	}
	if m := p.matched; m.service != "" {
		fields["route"], fields["service"], fields["class"], fields["revision"] = m.route, m.service, m.class, m.revision
	} else if m.route != "" {
		fields["route"] = m.route
	}
	if p.copy != nil {
		fields["copy_age_ms"], fields["copy_newest"] = p.copy.age.Milliseconds(), p.copy.newest
	}
	if active := s.active.Load(); active != nil && (p.copy != nil || p.Type == problemNoRoute || p.Type == problemRejectedRoute) {
		fields["revision"] = active.Revision
	}
	s.cfg.Log.Write(requestlog.Line{Event: "problem", Request: id, Fields: fields})
}

// lateResponse is the time after the deadline of a request from which its response is logged
// as late. Timers fire a few milliseconds late.
const lateResponse = 100 * time.Millisecond

// logLate logs a request whose response is later than its deadline.
func (q *request) logLate() {
	late := time.Since(q.deadline)
	if q.server.cfg.Log == nil || q.deadline.IsZero() || late < lateResponse {
		return
	}
	q.server.cfg.Log.Write(requestlog.Line{
		Event:   "late_response",
		Request: q.wireID,
		Fields: logrus.Fields{
			"route":    q.route,
			"service":  q.backend.Service.Name,
			"class":    q.class.Name,
			"revision": q.active.Revision,
			"late_ms":  late.Milliseconds(),
			"attempts": q.attemptCount,
		},
	})
}
