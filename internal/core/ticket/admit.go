package ticket

import (
	"container/heap"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// Verdict is the admission decision about a request that carries a ticket.
type Verdict int

// Admission decisions.
const (
	// Run: the request is admitted. The caller executes it and calls
	// Table.Complete.
	Run Verdict = iota
	// InProgress: an earlier request with this ticket is still running; its
	// outcome is not known yet.
	InProgress
	// Stored: the request was answered; Admission.Response is the stored
	// response.
	Stored
	// AnsweredNotStored: the request was answered, but its response is not
	// stored, for example because it was too large.
	AnsweredNotStored
	// OutcomeUnknown: the request may have run; its outcome will not become
	// known.
	OutcomeUnknown
	// NeverAdmitted: the request has not run and never will under this ticket.
	NeverAdmitted
	// RequestMismatch: the ticket was used for a request with a different
	// fingerprint.
	RequestMismatch
	// Invalid: the ticket was not issued by the host that it names.
	Invalid
	// Expired: the ticket has expired, and its outcome, if any, may have been
	// dropped.
	Expired
	// OtherHost: only the host in Admission.Host can decide.
	OtherHost
	// IssuerLost: the ticket was issued by an earlier incarnation of this host
	// whose state is lost.
	IssuerLost
)

var verdictNames = [...]string{
	"run", "in_progress", "stored", "answered_not_stored", "ended_unknown",
	"never_admitted", "other_request", "invalid", "expired", "elsewhere", "gone",
}

// String returns the name of the verdict.
func (v Verdict) String() string {
	if v < 0 || int(v) >= len(verdictNames) {
		return "none"
	}
	return verdictNames[v]
}

// Outcome returns the outcome that a caller may conclude from a verdict other
// than Run. It is unknown for RequestMismatch: a new revision can change the
// fingerprint of a request, so the request may be a repeat of one that has run.
func (v Verdict) Outcome() outcome.Outcome {
	switch v {
	case Run:
		return outcome.Pending
	case Stored, AnsweredNotStored:
		return outcome.Answered
	case NeverAdmitted, Invalid:
		return outcome.NotRun
	}
	return outcome.Unknown
}

// Admission is the result of Table.Admit.
type Admission struct {
	Verdict Verdict
	// Run is the number of the run under this ticket, to be passed to
	// Table.Complete.
	Run uint32
	// Response is set for Stored.
	Response *Response
	// Host is set for OtherHost: the issuing host, or the successor of this
	// host. A host that received the request by relay must not relay it again.
	Host ident.HostID
}

// Admit decides whether a request with a ticket may run. It starts a run when
// the verdict is Run.
func (t *Table) Admit(now time.Time, tk Ticket, fp Fingerprint) Admission {
	t.advanceTime(now)
	i := t.issuers[tk.Issuer]
	if i == nil {
		return t.admitUnknownIssuer(tk)
	}
	if !tk.verify(i.key) {
		return Admission{Verdict: Invalid}
	}
	e := t.entries[tk.ID]
	if e != nil {
		return t.admitRepeat(i, e, fp)
	}
	if t.expired(tk.Expiry) || !tk.Expiry.After(i.horizon) {
		return Admission{Verdict: Expired}
	}
	if i.authority != authorityHeld {
		return t.rejectUnadmitted(i)
	}
	e = &entry{id: tk.ID, expiry: tk.Expiry, fingerprint: fp}
	t.entries[tk.ID] = e
	heap.Push(&t.expiries, e)
	return e.startRun()
}

// admitUnknownIssuer returns the verdict on a ticket whose issuer is not in this
// table.
func (t *Table) admitUnknownIssuer(tk Ticket) Admission {
	switch {
	case t.expired(tk.Expiry):
		return Admission{Verdict: Expired}
	case tk.Issuer.Host == t.self.Host:
		return Admission{Verdict: IssuerLost}
	}
	return Admission{Verdict: OtherHost, Host: tk.Issuer.Host}
}

// rejectUnadmitted returns the verdict on a ticket that is not admitted and that
// this table may no longer admit.
func (t *Table) rejectUnadmitted(i *issuer) Admission {
	if i.authority == authorityTransferred && t.handover != nil {
		return Admission{Verdict: OtherHost, Host: t.handover.to.Host}
	}
	return Admission{Verdict: NeverAdmitted}
}

// admitRepeat returns the verdict on a ticket that was admitted before. A request
// that did not run may run again.
func (t *Table) admitRepeat(i *issuer, e *entry, fp Fingerprint) Admission {
	if e.fingerprint != fp {
		return Admission{Verdict: RequestMismatch}
	}
	switch e.state {
	case outcome.Pending:
		return Admission{Verdict: InProgress}
	case outcome.Answered:
		if e.response == nil {
			return Admission{Verdict: AnsweredNotStored}
		}
		return Admission{Verdict: Stored, Response: e.response}
	case outcome.NotRun:
		if i.authority != authorityHeld {
			return t.rejectUnadmitted(i)
		}
		return e.startRun()
	}
	return Admission{Verdict: OutcomeUnknown}
}

// startRun starts a new run under the ticket.
func (e *entry) startRun() Admission {
	e.state = outcome.Pending
	e.run++
	return Admission{Verdict: Run, Run: e.run}
}
