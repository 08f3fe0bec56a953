package ticket

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// Header is one header line of a stored response.
type Header struct {
	Name, Value string
}

// Response is the response stored for an answered request.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Estimated memory overhead in bytes of a stored response, without its strings
// and body, and of one header line.
const (
	responseOverhead = 128
	headerOverhead   = 32
)

// size returns the bytes that the response counts towards Config.MaxBytes.
func (r *Response) size() int {
	if r == nil {
		return 0
	}
	n := responseOverhead + len(r.Body)
	for _, h := range r.Headers {
		n += headerOverhead + len(h.Name) + len(h.Value)
	}
	return n
}

// entry is an admitted ticket.
type entry struct {
	id          ID
	expiry      time.Time
	fingerprint Fingerprint
	// state is Pending while the request runs.
	state outcome.Outcome
	// run is the number of the latest run under this ticket. It lets Complete
	// ignore a late completion of an earlier run.
	run uint32
	// runsAt is the leaving incarnation on which the request runs; zero if it
	// runs on this host or has completed.
	runsAt Issuer
	// response is nil unless a response is stored.
	response *Response
}

// Completion is the result of a run.
type Completion struct {
	// Outcome is Answered, NotRun or Unknown.
	Outcome outcome.Outcome
	// Response is set for Answered. The table retains it, so the caller must
	// not modify it.
	Response *Response
}

// Complete stores the outcome of a run that Admit started. It returns false if
// the run is not the current one or the ticket has expired.
func (t *Table) Complete(now time.Time, id ID, run uint32, completion Completion) bool {
	t.advanceTime(now)
	e := t.entries[id]
	if e == nil || e.runsAt != (Issuer{}) || e.run != run || e.state != outcome.Pending {
		return false
	}
	t.recordCompletion(e, completion)
	return true
}

// recordCompletion stores a completion. During a handover it also queues it for
// the successor, whose snapshot contains the request as running.
func (t *Table) recordCompletion(e *entry, completion Completion) {
	e.runsAt = Issuer{}
	e.state = completion.Outcome
	if e.state != outcome.Answered && e.state != outcome.NotRun {
		e.state = outcome.Unknown
	}
	if e.state == outcome.Answered {
		e.response = t.storableResponse(completion.Response)
		t.bytes += e.response.size()
	}
	if t.handover != nil {
		t.handover.completed = append(t.handover.completed, exportEntry(e))
	}
}

// storableResponse returns the response if it fits into the limits, and nil
// otherwise. The entry still records that the request was answered.
func (t *Table) storableResponse(r *Response) *Response {
	if r == nil || len(r.Body) > t.cfg.MaxBodyBytes || t.bytes+r.size() > t.cfg.MaxBytes {
		return nil
	}
	return r
}
