package outcome

import "github.com/sapphirehaven/sapphirehaven/internal/core/attempt"

// Outcome is the conclusion that a caller can draw about its request.
type Outcome int

// Outcomes. Every request ends with exactly one of Answered, NotRun and Unknown.
const (
	Pending Outcome = iota
	// Answered: the complete response of a target was received.
	Answered
	// NotRun: no target ran the request.
	NotRun
	// Unknown: a target may have run the request.
	Unknown
)

var outcomeNames = [...]string{"pending", "answered", "not-run", "unknown"}

// String returns the name of the outcome as it is sent to callers.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return "invalid"
	}
	return outcomeNames[o]
}

// ProvesNotRun reports whether the result of an attempt proves that the target did not
// run the request. A contradictory result proves nothing.
func ProvesNotRun(res attempt.Result) bool {
	switch res.Kind {
	case attempt.DialFailed, attempt.TimedOut, attempt.ConnectionLost, attempt.Canceled, attempt.Withdrawn:
		return res.NotSent
	case attempt.ServerError, attempt.Shed, attempt.Draining:
		return res.NotRun && !res.NotSent
	}
	return false
}

// HasResponse reports whether the attempt produced a complete response that does not
// mean "not run".
func HasResponse(res attempt.Result) bool {
	switch res.Kind {
	case attempt.Answered, attempt.ServerError, attempt.Shed, attempt.Draining:
		return !ProvesNotRun(res)
	}
	return false
}

// Request tracks the attempts of one caller request, one at a time.
type Request struct {
	idempotent bool
	running    bool
	// mayHaveRun is set by the first attempt that does not prove the opposite. It is
	// never cleared.
	mayHaveRun bool
	// responded is set if the last attempt produced a complete response.
	responded bool
	outcome   Outcome
}

// NewRequest returns a request without attempts.
func NewRequest(idempotent bool) *Request { return &Request{idempotent: idempotent} }

// MayAttempt reports whether an attempt may start now.
func (r *Request) MayAttempt() bool {
	return r.outcome == Pending && !r.running && (r.idempotent || !r.mayHaveRun)
}

// Begin starts an attempt. It returns false and starts none if MayAttempt is false.
func (r *Request) Begin() bool {
	if !r.MayAttempt() {
		return false
	}
	r.running, r.responded = true, false
	return true
}

// End records the result of the running attempt.
func (r *Request) End(res attempt.Result) {
	if !r.running || r.outcome != Pending {
		return
	}
	r.running = false
	r.responded = HasResponse(res)
	r.mayHaveRun = r.mayHaveRun || !ProvesNotRun(res)
}

// Conclude ends the request and returns its outcome. It is NotRun without attempts and
// Unknown while an attempt is running. Later calls return the same outcome.
func (r *Request) Conclude() Outcome {
	switch {
	case r.outcome != Pending:
	case r.running:
		r.outcome = Unknown
	case r.responded:
		r.outcome = Answered
	case r.mayHaveRun:
		r.outcome = Unknown
	default:
		r.outcome = NotRun
	}
	return r.outcome
}

// HostKilled ends a request whose state is lost with its host. A request without an
// outcome becomes Unknown.
func (r *Request) HostKilled() Outcome {
	if r.outcome == Pending {
		r.outcome = Unknown
	}
	return r.outcome
}
