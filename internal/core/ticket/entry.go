package ticket

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// Header is one header line of a stored response.
type Header struct {
	Name, Value string
}

// Response is a stored response.
type Response struct {
	Status  int
	Headers []Header
	Body    []byte
}

// responseOverhead is an estimate of the memory of a stored response apart
// from its texts, and of one header line.
const (
	responseOverhead = 128
	headerOverhead   = 32
)

// size returns the bytes that a stored response counts for.
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
	// run numbers the runs under this ticket, so that a late end of an earlier
	// run has no effect.
	run uint32
	// at is the leaving incarnation that the request runs at, zero if it runs
	// here or has ended.
	at Issuer
	// response is nil unless an answer was stored.
	response *Response
}

// Ending is how a run ended.
type Completion struct {
	// Outcome is Answered, NotRun or Unknown.
	Outcome outcome.Outcome
	// Response is set for Answered. The table keeps it, it must not change.
	Response *Response
}

// End stores the outcome of a run that Admit started. It returns false when
// the run is not the current one, or the ticket has expired.
func (t *Table) Complete(now time.Time, id ID, run uint32, end Completion) bool {
	t.advance(now)
	e := t.entries[id]
	if e == nil || e.at != (Issuer{}) || e.run != run || e.state != outcome.Pending {
		return false
	}
	t.setEnded(e, end)
	return true
}

// setEnded stores an ending, and queues it for the successor when the snapshot
// holds the request as running.
func (t *Table) setEnded(e *entry, end Completion) {
	e.at = Issuer{}
	e.state = end.Outcome
	if e.state != outcome.Answered && e.state != outcome.NotRun {
		e.state = outcome.Unknown
	}
	if e.state == outcome.Answered {
		e.response = t.kept(end.Response)
		t.bytes += e.response.size()
	}
	if t.handover != nil {
		t.handover.ended = append(t.handover.ended, exportEntry(e))
	}
}

// kept returns the response if there is room for it, else nil: that the
// request was answered is never forgotten.
func (t *Table) kept(r *Response) *Response {
	if r == nil || len(r.Body) > t.cfg.MaxBodyBytes || t.bytes+r.size() > t.cfg.MaxBytes {
		return nil
	}
	return r
}
