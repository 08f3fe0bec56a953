package ingress

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// Values of the outcome header.
const (
	// OutcomeAnswered: the response is the target's complete response.
	OutcomeAnswered = "answered"
	// OutcomeNotRun: the request was not executed.
	OutcomeNotRun = "not-run"
	// OutcomeUnknown: the request may have been executed.
	OutcomeUnknown = "unknown"
)

// Problem is an error in the form of RFC 9457 with the outcome of the request.
type Problem struct {
	// Type is a short name of the error, listed in docs/OPERATIONS.md.
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail,omitempty"`
	Outcome string `json:"outcome"`

	// RetryAfter is sent as a header when it is above 0.
	RetryAfter time.Duration `json:"-"`
}

// problemTypePrefix makes the types of problems URIs, as RFC 9457 asks.
const problemTypePrefix = "urn:sapphirehaven:problem:"

func notRun(status int, name, detail string) *Problem {
	return &Problem{Type: name, Title: http.StatusText(status), Status: status, Detail: detail, Outcome: OutcomeNotRun}
}

func unavailable(name, detail string, retryAfter time.Duration) *Problem {
	p := notRun(http.StatusServiceUnavailable, name, detail)
	p.RetryAfter = retryAfter
	return p
}

func unknown(status int, name, detail string) *Problem {
	return &Problem{Type: name, Title: http.StatusText(status), Status: status, Detail: detail, Outcome: OutcomeUnknown}
}

// write sends the problem as the response.
func (p *Problem) write(w http.ResponseWriter, d *dialect.Dialect) {
	body := *p
	body.Type = problemTypePrefix + p.Type
	if d.StatusImpliesOutcome {
		body.Status = statusOf(p)
		body.Title = http.StatusText(body.Status)
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	setHeader(h, d.Outcome, p.Outcome)
	if body.Status == http.StatusServiceUnavailable {
		h.Set("Retry-After", retryAfter(p.RetryAfter, d.FractionalRetryAfter))
	}
	w.WriteHeader(body.Status)
	_ = json.NewEncoder(w).Encode(body)
}

// statusOf returns a status that tells callers without the outcome header whether
// the request ran: 503 promises that it did not, 502 and 504 promise nothing.
func statusOf(p *Problem) int {
	switch {
	case p.Outcome == OutcomeNotRun && p.Status >= http.StatusInternalServerError && p.Status != http.StatusHTTPVersionNotSupported:
		return http.StatusServiceUnavailable
	case p.Outcome != OutcomeNotRun && promisesNotRun(p.Status):
		return http.StatusBadGateway
	}
	return p.Status
}

// promisesNotRun tells whether a status alone says that a request was not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// minRetryAfter keeps callers from coming back at once.
const minRetryAfter = 50 * time.Millisecond

// retryAfter formats a wait in seconds. Without fractions it is rounded up, and
// at least a second.
func retryAfter(wait time.Duration, fractions bool) string {
	if fractions {
		return strconv.FormatFloat(max(wait, minRetryAfter).Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(max(1, int(math.Ceil(wait.Seconds()))))
}

// setHeader sets a header of the dialect, if it has it.
func setHeader(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}
