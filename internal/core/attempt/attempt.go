// Package attempt defines how one attempt of a request at a target ends.
package attempt

import "time"

// Kind says how an attempt ended.
type Kind int

// Kinds of results.
const (
	// Answered: a complete response arrived that counts as healthy.
	Answered Kind = iota
	// ServerError: a complete response arrived that counts as a failure.
	ServerError
	// Shed: the target refused the request because of load.
	Shed
	// Draining: the target refused the request because it is draining.
	Draining
	// DialFailed: no connection could be opened; nothing was sent.
	DialFailed
	// TimedOut: no complete response arrived in time.
	TimedOut
	// ConnectionLost: the connection broke before the response was complete.
	ConnectionLost
	// BadAnswer: the response was truncated, garbled or for another request.
	BadAnswer
	// Canceled: this host or the caller canceled the attempt; it says nothing
	// about the target beyond the attempt's age.
	Canceled
)

var kindNames = [...]string{
	"answered", "server_error", "shed", "draining", "dial_failed",
	"timed_out", "connection_lost", "bad_answer", "canceled",
}

// String returns the name of the kind.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return "invalid"
	}
	return kindNames[k]
}

// Result is the end of an attempt.
type Result struct {
	Kind Kind
	// FreshConnection tells that the attempt opened its own connection.
	FreshConnection bool
	// NotSent tells that no byte of the request left this host.
	NotSent bool
	// NotRun tells that the target refused the request in a way that the
	// document declares to mean that it did not run.
	NotRun bool
	// RetryAfter is the wait that a shedding target asked for, 0 if none.
	RetryAfter time.Duration
	// FirstByte is the time from the start to the first byte of the response,
	// 0 if none arrived.
	TimeToFirstByte time.Duration
}
