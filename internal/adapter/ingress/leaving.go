package ingress

import (
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// reportLeaving passes on what the head of a response says about whether the target is
// leaving. The end of the response is not awaited: a long one may be forwarded for many
// seconds, in which the target must get no further requests.
func (q *request) reportLeaving(start dispatch.Start, trace *target.Trace) {
	if trace.Leaving == (attempt.LeavingStatement{}) {
		return
	}
	q.metrics.countLeavingStatement(trace.Leaving)
	q.backend.Engine.ReportLeaving(start.Attempt, trace.Leaving)
}
