package schedule

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

const (
	// leavingReportTime is the time in which each message to the other hosts says that a
	// target is leaving. Datagrams may be lost, and a host that becomes active receives
	// messages only from then on.
	leavingReportTime = 3 * time.Second
	// noKnownReturn stands for a time that is not known because no target is expected
	// back.
	noKnownReturn = 24 * time.Hour
)

// LeavingReport tells the other hosts that a process is leaving.
type LeavingReport struct {
	Process Process
	// Age is the time since the first known response in which the process stated it.
	Age time.Duration
}

// leavingState is what is known about whether a process is leaving. A process never takes
// the statement back.
type leavingState struct {
	// known is set if the process is leaving, and since is the time of the first known
	// response that stated it.
	known bool
	since time.Time
	// usableUntil is the time until which the process gets requests while no other target
	// can take them, zero while there is another one.
	usableUntil time.Time
	// reportUntil is the time until which the statement is reported to the other hosts.
	reportUntil time.Time
	// malformed is set if the latest statement was malformed.
	malformed bool
}

// excludes reports whether the process may get no request now.
func (l *leavingState) excludes(now time.Time) bool { return l.known && !now.Before(l.usableUntil) }

// ReportLeaving applies what the response to a running attempt states about whether the
// target is leaving. The statement holds for the process that the attempt was sent to,
// even if another one is registered under its ID by now.
func (s *Scheduler) ReportLeaving(now time.Time, id ident.AttemptID, statement attempt.LeavingStatement) []dispatch.Action {
	a := s.attempts[id]
	if a == nil {
		return nil
	}
	known := &a.target.process.leaving
	if statement.Malformed && !known.malformed {
		s.record(event.LeavingStatementMalformed, a.target)
	}
	known.malformed = statement.Malformed
	if statement.Leaving && s.setLeaving(now, LeavingReport{Process: a.target.process.process}, "own response") {
		st := s.processes.recordStatement(now, a.target.process.process)
		st.leaving.reportUntil = now.Add(leavingReportTime)
		s.leavingToReport = append(s.leavingToReport, st)
		s.urgent = true
	}
	return s.flush(now)
}

// observeLeaving applies what another host heard of leaving targets.
func (s *Scheduler) observeLeaving(now time.Time, reports []LeavingReport) {
	for _, r := range reports {
		s.setLeaving(now, r, "another host")
	}
}

// setLeaving records that a process is leaving and reports whether that was not known.
func (s *Scheduler) setLeaving(now time.Time, r LeavingReport, source string) bool {
	known := &s.processes.recordStatement(now, r.Process).leaving
	since := now.Add(-max(0, r.Age))
	if known.known {
		if since.Before(known.since) {
			known.since = since
		}
		return false
	}
	known.known, known.since = true, since
	s.anyLeaving = true
	if t := s.targets[r.Process.Target]; t != nil && t.process.process == r.Process {
		s.record(event.TargetLeaving, t, event.F("start_ms", r.Process.StartUnixMilli), event.F("source", source))
	}
	return true
}

// takeLeavingReports returns the reports for the next message to the other hosts.
func (s *Scheduler) takeLeavingReports(now time.Time) []LeavingReport {
	s.leavingToReport = slices.DeleteFunc(s.leavingToReport, func(st *processState) bool { return now.After(st.leaving.reportUntil) })
	var reports []LeavingReport
	for _, st := range s.leavingToReport {
		reports = append(reports, LeavingReport{Process: st.process, Age: now.Sub(st.leaving.since)})
	}
	return reports
}

// updateLastResort allows requests to leaving targets while no other target can take them,
// until LeavingGrace after the first statement: they still serve by then, and their
// successors may not be registered yet.
func (s *Scheduler) updateLastResort(now time.Time) {
	if !s.anyLeaving {
		return
	}
	other := slices.ContainsFunc(s.order, func(t *target) bool {
		return !t.process.leaving.known && t.reachable(now) && !t.pausing(now)
	})
	for _, t := range s.order {
		l := &t.process.leaving
		l.usableUntil = time.Time{}
		if l.known && !other {
			l.usableUntil = l.since.Add(s.cfg.LeavingGrace)
		}
	}
}

// unavailableFor is the time until some target can take requests again, as far as is known:
// 0 if one can, and noKnownReturn if all are leaving.
func (s *Scheduler) unavailableFor(now time.Time) time.Duration {
	shortest := noKnownReturn
	for _, t := range s.order {
		switch {
		case t.reachable(now):
			return 0
		case t.Draining || t.process.leaving.known:
		default:
			shortest = min(shortest, t.unavailableUntil.Sub(now))
		}
	}
	return shortest
}

// noTargetRetryDelay is the retry delay for a request that no target can take.
func (s *Scheduler) noTargetRetryDelay(now time.Time) time.Duration {
	wait := s.unavailableFor(now)
	if wait == noKnownReturn {
		return noTargetRetryAfter
	}
	return min(maxRetryAfter, max(noTargetRetryAfter, wait))
}
