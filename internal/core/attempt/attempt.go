// Package attempt defines the results of one attempt to send a request to a target.
package attempt

import "time"

// Kind is the way in which an attempt ended.
type Kind int

// Kinds of results.
const (
	// Answered: a complete response arrived that counts as healthy.
	Answered Kind = iota
	// ServerError: a complete response arrived that counts as a failure.
	ServerError
	// Shed: the target refused the request because of overload.
	Shed
	// Draining: the target refused the request because it is draining.
	Draining
	// DialFailed: no connection could be opened, so nothing was sent.
	DialFailed
	// TimedOut: no complete response arrived in time.
	TimedOut
	// ConnectionLost: the connection failed before the response was complete.
	ConnectionLost
	// BadAnswer: the response was truncated, malformed or for another request.
	BadAnswer
	// Canceled: this host or the caller canceled the attempt. About the target this
	// shows only that it had not answered within the attempt's age.
	Canceled
	// Withdrawn: this host withdrew the attempt before it wrote a byte, because the target
	// asked for no requests meanwhile.
	Withdrawn
)

// NumKinds is the number of kinds.
const NumKinds = int(Withdrawn) + 1

var kindNames = [...]string{
	"answered", "server_error", "shed", "draining", "dial_failed",
	"timed_out", "connection_lost", "bad_answer", "canceled", "withdrawn",
}

// String returns the name of the kind.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// Result is the result of an attempt.
type Result struct {
	Kind Kind
	// FreshConnection is set if the attempt opened its own connection.
	FreshConnection bool
	// NotSent is set if no byte of the request was written.
	NotSent bool
	// NotRun is set if the target refused the request with a status that the
	// configuration document declares to mean that it did not run.
	NotRun bool
	// RetryAfter is the delay that a shedding target asked for, 0 if none.
	RetryAfter time.Duration
	// FirstByte is the time from the start of the attempt to the first byte of
	// the response, 0 if none arrived.
	FirstByte time.Duration
}
