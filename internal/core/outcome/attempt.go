package outcome

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// Stage is how far an attempt got.
type Stage int

// Stages in the order in which an attempt passes them.
const (
	BeforeDial Stage = iota
	Dialing
	// ConnectedUnsent: a connection is open and no byte was written.
	ConnectedUnsent
	PartlyWritten
	WhollyWritten
	// Responding: the first byte of the response arrived.
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

// EventKind is what happened to an attempt.
type EventKind int

// Kinds of events.
const (
	DialStarted EventKind = iota
	// DialRefused: the dial failed or took too long.
	DialFailed
	Connected
	// BytesWritten: at least one byte left this host.
	BytesWritten
	// RequestWritten: the last byte of the request left this host.
	RequestWritten
	ResponseStarted
	// ResponseTruncated: the response ended before its declared end.
	ResponseTruncated
	// ResponseGarbled: the response is malformed, longer than declared, or for
	// another request.
	ResponseMalformed
	// ResponseComplete carries the meaning of the response.
	ResponseComplete
	// ConnectionBroke: the connection failed outside a response.
	ConnectionFailed
	DeadlineExceeded
	// CallerGone: the caller left, or is too slow, or this host canceled.
	AttemptCanceled
	// HostDraining: this host shuts down in an orderly way. Attempts go on.
	HostDraining
	// HostKilled: this host ends now, and what it knows is lost.
	HostKilled
)

// EventKinds is the number of kinds, for exhaustive checks.
const NumEventKinds = int(HostKilled) + 1

// Meaning is what the status of a complete response says.
type Classification struct {
	// Kind is Answered, ServerError, Shed or Draining.
	Kind attempt.Kind
	// NotRun tells that the document declares the status to mean "not run".
	NotRun     bool
	RetryAfter time.Duration
}

// Event is one event of an attempt. Meaning is set for ResponseComplete only.
type Event struct {
	Kind    EventKind
	Classification Classification
}

// Attempt is the state machine of one attempt. The zero value is an attempt
// before its dial.
type Attempt struct {
	stage Stage
	sent  bool
	whole bool
	res   attempt.Result
}

// Stage returns how far the attempt got.
func (a *Attempt) Stage() Stage { return a.stage }

// Sent tells whether any byte left this host.
func (a *Attempt) Sent() bool { return a.sent }

// Whole tells whether the last byte of the request left this host. A response
// may have started before.
func (a *Attempt) FullySent() bool { return a.whole }

// Result returns the classification; ok is false before the end.
func (a *Attempt) Result() (res attempt.Result, ok bool) { return a.res, a.stage == Ended }

// Apply advances the attempt. It returns false, and changes nothing, when the
// event is not possible at this stage or the attempt has ended.
func (a *Attempt) Apply(e Event) bool {
	if a.stage == Ended {
		return false
	}
	if next, ok := progress(a.stage, e.Kind); ok {
		a.advance(next, e.Kind)
		return true
	}
	return a.end(e)
}

// advance enters a stage. Bytes count as sent from the first one on.
func (a *Attempt) advance(next Stage, kind EventKind) {
	a.stage = max(a.stage, next)
	if kind == DialStarted {
		a.res.FreshConnection = true
	}
	if kind == BytesWritten || kind == RequestWritten {
		a.sent = true
	}
	a.whole = a.whole || kind == RequestWritten
}

// progress returns the stage that a non-final event leads to.
func progress(s Stage, k EventKind) (Stage, bool) {
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
	kind, ok := ending(a.stage, e)
	if !ok {
		return false
	}
	a.res.Kind = kind
	a.res.NotSent = !a.sent
	switch e.Kind {
	case HostKilled:
		// The evidence that nothing was sent is lost with the host.
		a.res.NotSent = false
	case ResponseComplete:
		a.res.NotRun = e.Classification.NotRun
		a.res.RetryAfter = e.Classification.RetryAfter
	}
	a.stage = Ended
	return true
}

// ending returns the kind of result that a final event leads to.
func ending(s Stage, e Event) (attempt.Kind, bool) {
	switch e.Kind {
	case DialFailed:
		return attempt.DialFailed, s == BeforeDial || s == Dialing
	case ConnectionFailed:
		return attempt.ConnectionLost, s >= ConnectedUnsent
	case ResponseTruncated, ResponseMalformed:
		return attempt.BadAnswer, s >= ConnectedUnsent
	case ResponseComplete:
		return e.Classification.Kind, s == Responding && isMeaning(e.Classification)
	case DeadlineExceeded:
		if s <= Dialing {
			return attempt.DialFailed, true
		}
		return attempt.TimedOut, true
	case AttemptCanceled, HostKilled:
		return attempt.Canceled, true
	}
	return 0, false
}

// isMeaning tells whether a complete response can have this meaning. Only a
// refusal or a failure can be declared as "not run".
func isMeaning(m Classification) bool {
	switch m.Kind {
	case attempt.ServerError, attempt.Shed, attempt.Draining:
		return true
	case attempt.Answered:
		return !m.NotRun
	}
	return false
}
