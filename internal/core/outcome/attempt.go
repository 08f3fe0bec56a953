package outcome

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// Stage is the progress of an attempt.
type Stage int

// Stages in the order in which an attempt passes them.
const (
	BeforeDial Stage = iota
	Dialing
	// ConnectedUnsent: a connection is open and no byte has been written.
	ConnectedUnsent
	PartlyWritten
	// WhollyWritten: the last byte of the request was written (event RequestWritten). The
	// name of the stage is the outer name wholly_written.
	WhollyWritten
	// Responding: the first byte of the response has arrived.
	Responding
	Ended
)

var stageNames = [...]string{
	"before_dial", "dialing", "connected_unsent", "partly_written",
	"wholly_written", "responding", "ended",
}

// String returns the name of the stage.
func (s Stage) String() string {
	if s < 0 || int(s) >= len(stageNames) {
		return "invalid"
	}
	return stageNames[s]
}

// EventKind is the type of an event in an attempt.
type EventKind int

// Kinds of events.
const (
	DialStarted EventKind = iota
	// DialFailed: the dial failed or timed out.
	DialFailed
	Connected
	// BytesWritten: at least one byte was written to the connection.
	BytesWritten
	// RequestWritten: the last byte of the request was written to the connection.
	RequestWritten
	ResponseStarted
	// ResponseTruncated: the response ended before its declared end.
	ResponseTruncated
	// ResponseMalformed: the response is malformed, longer than declared, or for
	// another request.
	ResponseMalformed
	// ResponseComplete carries the classification of the response.
	ResponseComplete
	// ConnectionFailed: the connection failed outside of a response.
	ConnectionFailed
	DeadlineExceeded
	// AttemptCanceled: the caller disconnected or is too slow, or this host canceled
	// the attempt.
	AttemptCanceled
	// AttemptWithdrawn: this host withdrew the attempt before it wrote a byte.
	AttemptWithdrawn
	// HostDraining: this host is shutting down gracefully. Attempts continue.
	HostDraining
	// HostKilled: this host terminates immediately and its state is lost.
	HostKilled
)

// NumEventKinds is the number of event kinds, for exhaustive tests.
const NumEventKinds = int(HostKilled) + 1

// Classification is the meaning of the status of a complete response.
type Classification struct {
	// Kind is Answered, ServerError, Shed or Draining.
	Kind attempt.Kind
	// NotRun is set if the configuration document declares that the status means "not
	// run".
	NotRun     bool
	RetryAfter time.Duration
}

// Event is an event of an attempt. Classification is set for ResponseComplete only.
type Event struct {
	Kind           EventKind
	Classification Classification
}

// Attempt is the state machine of one attempt. The zero value is an attempt before its
// dial.
type Attempt struct {
	stage          Stage
	sent           bool
	requestWritten bool
	result         attempt.Result
}

// Stage returns the progress of the attempt.
func (a *Attempt) Stage() Stage { return a.stage }

// Sent reports whether any byte of the request was written.
func (a *Attempt) Sent() bool { return a.sent }

// RequestWritten reports whether the last byte of the request was written. The response may
// have started before.
func (a *Attempt) RequestWritten() bool { return a.requestWritten }

// Result returns the result of the attempt. ok is false before its end.
func (a *Attempt) Result() (result attempt.Result, ok bool) { return a.result, a.stage == Ended }

// Apply advances the attempt. It returns false and has no effect if the event is not
// possible at this stage or the attempt has ended.
func (a *Attempt) Apply(e Event) bool {
	if a.stage == Ended {
		return false
	}
	if next, ok := nextStage(a.stage, e.Kind); ok {
		a.advance(next, e.Kind)
		return true
	}
	return a.end(e)
}

// advance enters a stage. The request counts as sent from the first byte on.
func (a *Attempt) advance(next Stage, kind EventKind) {
	a.stage = max(a.stage, next)
	if kind == DialStarted {
		a.result.FreshConnection = true
	}
	if kind == BytesWritten || kind == RequestWritten {
		a.sent = true
	}
	a.requestWritten = a.requestWritten || kind == RequestWritten
}

// nextStage returns the stage that a non-final event leads to.
func nextStage(s Stage, k EventKind) (Stage, bool) {
	switch k {
	case DialStarted:
		return Dialing, s == BeforeDial
	case Connected:
		return ConnectedUnsent, s == BeforeDial || s == Dialing
	case BytesWritten:
		return PartlyWritten, s >= ConnectedUnsent
	case RequestWritten:
		return WhollyWritten, s >= PartlyWritten
	case ResponseStarted:
		// A target may respond before it has read the whole request.
		return Responding, s >= PartlyWritten
	case HostDraining:
		return s, true
	}
	return s, false
}

// end applies a final event.
func (a *Attempt) end(e Event) bool {
	kind, ok := finalKind(a.stage, e)
	if !ok {
		return false
	}
	a.result.Kind = kind
	a.result.NotSent = !a.sent
	switch e.Kind {
	case HostKilled:
		// The evidence that nothing was sent is lost with the host.
		a.result.NotSent = false
	case ResponseComplete:
		a.result.NotRun = e.Classification.NotRun
		a.result.RetryAfter = e.Classification.RetryAfter
	}
	a.stage = Ended
	return true
}

// finalKind returns the kind of result that a final event leads to.
func finalKind(s Stage, e Event) (attempt.Kind, bool) {
	switch e.Kind {
	case DialFailed:
		return attempt.DialFailed, s == BeforeDial || s == Dialing
	case ConnectionFailed:
		return attempt.ConnectionLost, s >= ConnectedUnsent
	case ResponseTruncated, ResponseMalformed:
		return attempt.BadAnswer, s >= ConnectedUnsent
	case ResponseComplete:
		return e.Classification.Kind, s == Responding && validClassification(e.Classification)
	case DeadlineExceeded:
		if s <= Dialing {
			return attempt.DialFailed, true
		}
		return attempt.TimedOut, true
	case AttemptWithdrawn:
		return attempt.Withdrawn, s <= ConnectedUnsent
	case AttemptCanceled, HostKilled:
		return attempt.Canceled, true
	}
	return 0, false
}

// validClassification reports whether a complete response can have this classification.
// Only a refusal or a failure can be declared as "not run".
func validClassification(c Classification) bool {
	switch c.Kind {
	case attempt.ServerError, attempt.Shed, attempt.Draining:
		return true
	case attempt.Answered:
		return !c.NotRun
	}
	return false
}
