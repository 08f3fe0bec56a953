package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
)

// TeamQuotas limits the requests of teams over all hosts together.
type TeamQuotas interface {
	// Acquire returns nil when a request of the team may be sent, and a *QuotaError if it
	// may not. It can wait for a permit, but not beyond ctx or for longer than maxWait.
	// requestID is the ID of the request as known to the caller, for the log.
	Acquire(ctx context.Context, t *team.Team, requestID string, maxWait time.Duration) error
	// Return gives back the permit of a request that did not run.
	Return(t *team.Team)
}

// QuotaError is the reason for which a request got no permit.
type QuotaError struct {
	// Exceeded is set if the quota of the team is used up. Otherwise it is not known
	// whether it is.
	Exceeded bool
	// RetryAfter is the time after which a request of the team is expected to get a permit.
	RetryAfter time.Duration
}

// Error implements error.
func (e *QuotaError) Error() string {
	if e.Exceeded {
		return "the quota of the team is used up"
	}
	return "no permit arrived for the team"
}

// maxQuotaWaitFraction is the part of its time left for which a request waits for a permit, as a
// divisor. The rest is needed to serve it. An owner that fails is replaced within a second or two,
// and a late response serves a caller better than a refusal; beyond the quota the answer is 429
// at once.
const maxQuotaWaitFraction = 2

// quotaWait returns the time for which the request waits for a permit.
func (q *request) quotaWait() time.Duration { return time.Until(q.deadline) / maxQuotaWaitFraction }

// acquireQuota takes a permit for a request of a team with a quota.
func (q *request) acquireQuota(ctx context.Context) *Problem {
	quotas := q.server.cfg.Quotas
	if quotas == nil || q.team == nil || !q.team.Quota.Limited() {
		return nil
	}
	err := quotas.Acquire(ctx, q.team, q.wireID, q.quotaWait())
	var denied *QuotaError
	switch {
	case err == nil:
		q.holdsPermit = true
		return nil
	case errors.As(err, &denied):
		return QuotaProblem(denied)
	}
	return notRunProblem(http.StatusGatewayTimeout, "deadline", "the request ended while it waited for a permit of its team")
}

// QuotaProblem returns the problem of a request that got no permit.
func QuotaProblem(denied *QuotaError) *Problem {
	if denied.Exceeded {
		problem := notRunProblem(http.StatusTooManyRequests, "quota_exceeded", "the quota of the team is used up")
		problem.RetryAfter = denied.RetryAfter
		return problem
	}
	return unavailableProblem("quota_unknown", "no host that hands out permits for the team answered", denied.RetryAfter)
}

// returnPermit gives back the permit of a request that certainly did not run.
func (q *request) returnPermit(served bool) {
	if q.holdsPermit && !served && !q.mayHaveRun {
		q.server.cfg.Quotas.Return(q.team)
	}
	q.holdsPermit = false
}
