// Package dialect defines the headers that hosts exchange with callers and with
// targets, and the HTTP semantics in which deployments differ.
package dialect

// Dialect is the set of headers and HTTP semantics of one deployment. A header with an
// empty name is neither sent nor read.
type Dialect struct {
	// RequestID carries the ID of a request, in requests and responses.
	RequestID string
	// KeepCallerRequestID is set if the caller's RequestID is forwarded unchanged.
	// Otherwise the host assigns its own ID to every request.
	KeepCallerRequestID bool
	// TargetsEchoRequestID is set if every target returns RequestID in its responses. A
	// response without it on a reused connection may belong to an earlier request.
	TargetsEchoRequestID bool
	// Deadline carries the remaining time in milliseconds.
	Deadline string
	// Ticket carries the ticket of a non-idempotent request.
	Ticket string
	// Outcome and Revision are set in responses to callers.
	Outcome  string
	Revision string
	// Draining is set to "true" by a draining target.
	Draining string
	// ExpectTarget carries the ID of the only target that may run the request.
	ExpectTarget string
	// NotRun is set in responses of a target that did not run the request.
	NotRun string
	// Load carries a target's load as "running,waiting,slots".
	Load string
	// RateLimit carries the number of requests per second that a target accepts from all
	// hosts together. A response without it states that the target has no limit.
	RateLimit string
	// Leaving is set to "1" in all responses of a target that is about to exit.
	Leaving string
	// Authorization carries the key of a caller's team, in requests to hosts only.
	Authorization string
	// Team carries the name of the caller's team, in requests to targets only.
	Team string
	// Via is set if hosts add themselves to the Via header.
	Via bool
	// AllowCloseDelimited is set if a response without a declared length is complete
	// when its connection is closed cleanly. Otherwise such a response is refused,
	// because it cannot be distinguished from a truncated one.
	AllowCloseDelimited bool
	// StatusImpliesOutcome is set if callers derive from the status alone whether a
	// request ran: 408, 421, 429 and 503 guarantee that it did not.
	StatusImpliesOutcome bool
	// FractionalRetryAfter is set if callers accept fractions of seconds in
	// Retry-After.
	FractionalRetryAfter bool
}

// Native returns the dialect of sapphirehaven's own interface.
func Native() Dialect {
	return Dialect{
		RequestID: "Sapphirehaven-Request-Id",
		Deadline:  "Sapphirehaven-Deadline-Ms",
		Ticket:    "Sapphirehaven-Ticket",
		Outcome:   "Sapphirehaven-Outcome",
		Revision:  "Sapphirehaven-Revision",
		Draining:  "Sapphirehaven-Draining",
		Via:       true,
	}
}
