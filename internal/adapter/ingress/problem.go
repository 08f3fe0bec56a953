package ingress

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// Values of the outcome header.
const (
	// OutcomeAnswered means that the response is the complete response of a target.
	OutcomeAnswered = "answered"
	// OutcomeNotRun means that the request was not executed.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown means that the request may have been executed.
	OutcomeUnknown = "unknown"
)

// Problem is a problem details object (RFC 9457) extended by the outcome of the
// request.
type Problem struct {
	// Type is a short name of the error. The types are listed in
	// docs/OPERATIONS.md.
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`

	// RetryAfter is the value of the Retry-After header, which is sent with statuses
	// 429 and 503 only.
	RetryAfter time.Duration `json:"-"`

	// NeedsKey is set if the request needs the key of a team. It is sent with status 401.
	NeedsKey bool `json:"-"`

	// matched tells how the request was routed. It is for the log only.
	matched match
	// copy is the state of the host's copy of the configuration, if the problem depends on
	// it. It is for the log only.
	copy *copyState
}

// copyState is the state of the host's copy of the configuration at a decision.
type copyState struct {
	age time.Duration
	// newest is set if the host knows of no newer configuration than the active one.
	newest bool
}

// match is the result of the routing of a request. The zero value means that no route
// matched it.
type match struct {
	route    string
	service  ident.ServiceName
	class    ident.ClassName
	revision uint64
}

// problemTypePrefix turns a problem type into a URI, as RFC 9457 requires.
const problemTypePrefix = "urn:sapphirehaven:problem:"

// notRunProblem returns a problem for a request that was not executed.
func notRunProblem(status int, name, detail string) *Problem {
	return &Problem{Type: name, Title: http.StatusText(status), Status: status, Detail: detail, Outcome: OutcomeNotRun}
}

// unavailableProblem returns a problem with status 503 for a request that was not
// executed and may be retried after retryAfter.
func unavailableProblem(name, detail string, retryAfter time.Duration) *Problem {
	p := notRunProblem(http.StatusServiceUnavailable, name, detail)
	p.RetryAfter = retryAfter
	return p
}

// unknownOutcomeProblem returns a problem for a request that may have been executed.
func unknownOutcomeProblem(status int, name, detail string) *Problem {
	return &Problem{Type: name, Title: http.StatusText(status), Status: status, Detail: detail, Outcome: OutcomeUnknown}
}

// write sends the problem as an HTTP response.
func (p *Problem) write(w http.ResponseWriter, d *dialect.Dialect) {
	body := *p
	body.Type = problemTypePrefix + p.Type
	if d.StatusImpliesOutcome {
		body.Status = statusForOutcome(p)
		body.Title = http.StatusText(body.Status)
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	setHeader(h, d.Outcome, p.Outcome)
	if body.Status == http.StatusServiceUnavailable || body.Status == http.StatusTooManyRequests {
		h.Set("Retry-After", retryAfter(p.RetryAfter, d.FractionalRetryAfter))
	}
	if p.NeedsKey {
		h.Set("WWW-Authenticate", bearerScheme)
	}
	w.WriteHeader(body.Status)
	_ = json.NewEncoder(w).Encode(body)
}

// statusForOutcome returns a status code that conveys the outcome to callers that
// don't read the outcome header: 503 means that the request did not run, 502 and
// 504 mean that it may have run.
func statusForOutcome(problem *Problem) int {
	switch {
	case problem.Outcome == OutcomeNotRun && problem.Status >= http.StatusInternalServerError && problem.Status != http.StatusHTTPVersionNotSupported:
		return http.StatusServiceUnavailable
	case problem.Outcome != OutcomeNotRun && impliesNotRun(problem.Status):
		return http.StatusBadGateway
	}
	return problem.Status
}

// impliesNotRun reports whether a status code alone means that the request was
// not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// minRetryAfter keeps callers from retrying immediately.
const minRetryAfter = 50 * time.Millisecond

// retryAfter formats a duration as seconds for the Retry-After header. Without
// fractions the value is rounded up and is at least 1.
func retryAfter(wait time.Duration, fractions bool) string {
	if fractions {
		return strconv.FormatFloat(max(wait, minRetryAfter).Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(max(1, int(math.Ceil(wait.Seconds()))))
}

// setHeader sets a header unless its name is empty, which means that the dialect
// does not use the header.
func setHeader(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}
