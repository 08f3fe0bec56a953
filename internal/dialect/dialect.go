// Package dialect names the headers that hosts exchange with callers and with
// targets, and the few rules of HTTP in which deployments differ.
package dialect

// Dialect is what one deployment speaks. An empty header name means that the
// header is neither sent nor read.
type Dialect struct {
	// RequestID names a request, on requests and responses.
	RequestID string
	// CallerNamesRequests tells that the caller's RequestID is passed on
	// unchanged; otherwise the host gives every request an ID of its own.
	KeepCallerRequestID bool
	// TargetsRepeatID tells that every target repeats RequestID in its responses. One
	// without it on a connection that was used before may belong to an earlier request.
	TargetsEchoRequestID bool
	// Deadline carries the time left in milliseconds.
	Deadline string
	// Ticket carries the ticket of a non-idempotent request.
	Ticket string
	// Outcome and Revision are set on responses to callers.
	Outcome  string
	Revision string
	// Draining is set to "true" by a target that drains.
	Draining string
	// ExpectTarget is sent with the ID of the only target that may run the
	// request.
	ExpectTarget string
	// NotRun is set on responses of a target that did not run the request.
	NotRun string
	// Load carries a target's load as "running,waiting,slots".
	Load string
	// Via tells that hosts add themselves to the Via header.
	Via bool
	// UnframedResponses tells that a response without a length is complete when
	// its connection ends in order. Otherwise such a response is refused, because
	// a truncated one looks the same.
	AllowCloseDelimited bool
	// StatusTellsOutcome tells that callers conclude from the status alone whether
	// a request ran: 408, 421, 429 and 503 promise that it did not.
	StatusImpliesOutcome bool
	// FractionalRetryAfter tells that callers read fractions of seconds in
	// Retry-After.
	FractionalRetryAfter bool
}

// Own returns the dialect of sapphirehaven's own interface.
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
