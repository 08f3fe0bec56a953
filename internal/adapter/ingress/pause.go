package ingress

import (
	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/schedule"
)

// errTargetPaused is the reason for withdrawing an attempt.
var errTargetPaused = errors.New("the target asked for no requests after the attempt was started")

// mayWrite returns an error if an attempt must not be sent any more.
func (q *request) mayWrite(start dispatch.Start) error {
	if q.backend.Engine.MayWrite(start.Attempt) {
		return nil
	}
	return errTargetPaused
}

// reportPause passes on that a target asked for no requests for a time. It is called when
// the head of the response has arrived.
func (q *request) reportPause(start dispatch.Start, pause target.RetryAfter) {
	q.metrics.countPause(pause)
	q.backend.Engine.ReportPause(schedule.PauseReport{Attempt: start.Attempt, Wait: pause.Wait, Malformed: pause.Malformed})
}
