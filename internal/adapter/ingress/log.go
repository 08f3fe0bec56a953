package ingress

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/requestlog"
)

// slowAttempt is the time from which an answered attempt is no routine when its
// class has no objective.
const slowAttempt = time.Second

// logAttempt writes how an attempt ended and what decided for its target.
func (q *request) logAttempt(start dispatch.Start, trace *target.Trace, result attempt.Result) {
	q.attempts++
	if q.server.cfg.Log == nil {
		return
	}
	took := time.Since(q.began)
	slow := slowAttempt
	if objective := time.Duration(q.class.Objective); objective > 0 {
		slow = objective
	}
	why := start.Selection
	fields := logrus.Fields{
		"service":       q.backend.Service.Name,
		"class":         q.class.Name,
		"revision":      q.active.Revision,
		"target":        start.Target,
		"attempt":       q.attempts,
		"result":        result.Kind,
		"ms":            took.Milliseconds(),
		"left_ms":       time.Until(q.deadline).Milliseconds(),
		"waited_ms":     why.WaitTime.Milliseconds(),
		"p_failure":     round(why.FailureProbability),
		"cost":          round(why.Cost),
		"covers":        why.KeepsFloor,
		"unseen_ms":     why.SinceOutcome.Milliseconds(),
		"in_flight":     why.InFlight,
		"others":        round(why.OtherLoad),
		"slots":         why.Slots,
		"reused":        trace.Reused,
		"may_have_run":  !result.NotSent && !result.NotRun,
		"response_head": result.FirstByte.Milliseconds(),
	}
	if trace.Err != nil {
		fields["error"] = trace.Err
	}
	q.server.cfg.Log.Write(requestlog.Line{
		Event:   "attempt",
		Request: q.wireID,
		Fields:  fields,
		Routine: result.Kind == attempt.Answered && took < slow,
	})
}

func round(x float64) float64 { return float64(int(x*1000+0.5)) / 1000 }

// logProblem writes why a request got a response of this host.
func (s *Server) logProblem(p *Problem, id string) {
	if s.cfg.Log == nil {
		return
	}
	s.cfg.Log.Write(requestlog.Line{
		Event:   "problem",
		Request: id,
		Fields: logrus.Fields{
			"problem":        p.Type,
			"outcome":        p.Outcome,
			"detail":         p.Detail,
			"retry_after_ms": p.RetryAfter.Milliseconds(),
		},
	})
}
