package ticket

import (
	"container/heap"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// Verdict is what to do with a request that carries a ticket.
type Verdict int

// Verdicts.
const (
	// Run: admitted; run it now and call End.
	Run Verdict = iota
	// InProgress: the first request runs; its outcome is not known yet.
	InProgress
	// Stored: answered; Response is the stored response.
	Stored
	// AnsweredNotStored: answered, but the response was too large to store.
	AnsweredNotStored
	// EndedUnknown: it may have run, and stays unknown.
	OutcomeUnknown
	// NeverAdmitted: it has not run and never will under this ticket.
	NeverAdmitted
	// OtherRequest: the ticket was used for a different request.
	RequestMismatch
	// Invalid: the ticket was not issued by the host that it names.
	Invalid
	// Expired: the outcome, if there was one, has been dropped.
	Expired
	// Elsewhere: only Admission.Host can tell.
	OtherHost
	// Gone: this host is not the incarnation that issued the ticket, and what
	// that one knew is lost.
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

// Outcome returns what a caller may conclude from a verdict that is not Run.
// OtherRequest is unknown: a new revision can change the fingerprint of a request,
// so it may be the repeat of one that has run.
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

// Admission is the answer of Admit.
type Admission struct {
	Verdict Verdict
	// Run numbers the run, for End.
	Run uint32
	// Response is set for Stored.
	Response *Response
	// Host is set for Elsewhere: the issuer, or the successor of this host. A
	// host that got the request by relay must not relay it again.
	Host ident.HostID
}

// Admit decides about a request with a ticket.
func (t *Table) Admit(now time.Time, tk Ticket, fp Fingerprint) Admission {
	t.advance(now)
	i := t.issuers[tk.Issuer]
	if i == nil {
		return t.foreign(tk)
	}
	if !tk.verify(i.key) {
		return Admission{Verdict: Invalid}
	}
	e := t.entries[tk.ID]
	if e != nil {
		return t.repeat(i, e, fp)
	}
	if t.past(tk.Expiry) || !tk.Expiry.After(i.horizon) {
		return Admission{Verdict: Expired}
	}
	if i.right != admits {
		return t.notHere(i)
	}
	e = &entry{id: tk.ID, expiry: tk.Expiry, fingerprint: fp}
	t.entries[tk.ID] = e
	heap.Push(&t.expiries, e)
	return e.start()
}

// foreign decides about a ticket whose issuer this table does not know.
func (t *Table) foreign(tk Ticket) Admission {
	switch {
	case t.past(tk.Expiry):
		return Admission{Verdict: Expired}
	case tk.Issuer.Host == t.self.Host:
		return Admission{Verdict: IssuerLost}
	}
	return Admission{Verdict: OtherHost, Host: tk.Issuer.Host}
}

// notHere decides about a ticket that this table may not admit any more.
func (t *Table) notHere(i *issuer) Admission {
	if i.right == passed && t.handover != nil {
		return Admission{Verdict: OtherHost, Host: t.handover.to.Host}
	}
	return Admission{Verdict: NeverAdmitted}
}

// repeat decides about a ticket that was admitted before.
func (t *Table) repeat(i *issuer, e *entry, fp Fingerprint) Admission {
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
		if i.right != admits {
			return t.notHere(i)
		}
		return e.start()
	}
	return Admission{Verdict: OutcomeUnknown}
}

// start begins a run.
func (e *entry) start() Admission {
	e.state = outcome.Pending
	e.run++
	return Admission{Verdict: Run, Run: e.run}
}
