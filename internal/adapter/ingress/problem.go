package ingress

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Headers of the caller interface.
const (
	HeaderOutcome   = "Sapphirehaven-Outcome"
	HeaderRequestID = "Sapphirehaven-Request-Id"
	HeaderRevision  = "Sapphirehaven-Revision"
	HeaderDeadline  = "Sapphirehaven-Deadline-Ms"
	HeaderTicket    = "Sapphirehaven-Ticket"
)

// Values of HeaderOutcome.
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
	// Type is a short name of the error, listed in docs/operations.md.
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
	p.RetryAfter = max(retryAfter, time.Second)
	return p
}

func unknown(status int, name, detail string) *Problem {
	return &Problem{Type: name, Title: http.StatusText(status), Status: status, Detail: detail, Outcome: OutcomeUnknown}
}

// write sends the problem as the response.
func (p *Problem) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderOutcome, p.Outcome)
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	body := *p
	body.Type = problemTypePrefix + p.Type
	_ = json.NewEncoder(w).Encode(body)
}
