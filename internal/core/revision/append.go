package revision

import (
	"time"

	"github.com/pkg/errors"
)

// AppendConfig holds the timeouts of an append.
type AppendConfig struct {
	// ResultTimeout is the time after which a proposal is withdrawn if the
	// result of its append is unknown; default 10s.
	ResultTimeout time.Duration
	// RetryInterval is the delay between attempts to append the withdrawal;
	// default 2s.
	RetryInterval time.Duration
	// Deadline is the time after which the result is reported as unknown;
	// default 60s.
	Deadline time.Duration
}

// DefaultAppendConfig returns the defaults stated at the fields of AppendConfig.
func DefaultAppendConfig() AppendConfig {
	return AppendConfig{ResultTimeout: 10 * time.Second, RetryInterval: 2 * time.Second, Deadline: time.Minute}
}

// Payload selects the entry that Send appends.
type Payload int

// Payload values.
const (
	ProposalPayload Payload = iota
	WithdrawalPayload
)

// AppendResult is the result of appending a payload.
type AppendResult int

// AppendResult values.
const (
	// Acknowledged: the log returned an offset.
	Acknowledged AppendResult = iota
	// NotAppended: the log definitely does not hold the complete payload.
	NotAppended
	// AppendUnknown: the log may have appended the payload.
	AppendUnknown
)

// Action is a request to the driver of an Append: Send or Report.
type Action interface{ action() }

// Send requests that a payload be appended to the log.
type Send struct{ Payload Payload }

// ProposalStatus is the final status reported to the writer.
type ProposalStatus int

// ProposalStatus values.
const (
	// ProposalAccepted: Report.Result has the revision, chain and offset.
	ProposalAccepted ProposalStatus = iota
	// ProposalRefused: Report.Result has the reason.
	ProposalRefused
	// ProposalNotAppended: the proposal is definitely not in the log.
	ProposalNotAppended
	// ProposalUnknown: the proposal may still be accepted. Its result can be
	// queried later by ID.
	ProposalUnknown
)

// String returns s in words, such as "not appended"; it panics on an unknown s.
func (s ProposalStatus) String() string {
	return [...]string{"accepted", "refused", "not appended", "unknown"}[s]
}

// Report is the last action of an append.
type Report struct {
	ID             string
	ProposalStatus ProposalStatus
	Result         Result
	// Err is the cause of ProposalNotAppended and ProposalUnknown.
	Err error
}

func (Send) action()   {}
func (Report) action() {}

type appendPhase int

const (
	sending appendPhase = iota
	waiting
	withdrawing
	reported
)

// Append is the state machine that appends one proposal and waits for its
// result. It emits exactly one Report. It is not safe for concurrent use.
type Append struct {
	cfg         AppendConfig
	id          string
	phase       appendPhase
	started     time.Time
	acked       bool
	ackOffset   int64
	inFlight    bool
	nextAttempt time.Time
}

// NewAppend starts appending the proposal with the given ID.
func NewAppend(now time.Time, cfg AppendConfig, id string) (*Append, []Action) {
	a := &Append{cfg: cfg, id: id, started: now, inFlight: true}
	return a, []Action{Send{Payload: ProposalPayload}}
}

// HandleAppendResult handles the result of a Send. The offset is that of the
// last appended record and is used only with Acknowledged.
func (a *Append) HandleAppendResult(now time.Time, p Payload, res AppendResult, offset int64) []Action {
	if a.phase == reported {
		return nil
	}
	a.inFlight = false
	if p == WithdrawalPayload {
		a.nextAttempt = now.Add(a.cfg.RetryInterval)
		if res == Acknowledged {
			a.acked, a.ackOffset = true, offset
		}
		return nil
	}
	a.phase = waiting
	switch res {
	case NotAppended:
		return a.report(Report{ProposalStatus: ProposalNotAppended, Err: errors.New("the log service did not take the proposal")})
	case Acknowledged:
		a.acked, a.ackOffset = true, offset
	}
	return nil
}

// HandleApplied handles an update of the state: its AsOf and its decision on the
// proposal, nil if there is none.
func (a *Append) HandleApplied(asOf int64, res *Result) []Action {
	if a.phase == reported {
		return nil
	}
	if res != nil {
		status := ProposalRefused
		if res.Accepted {
			status = ProposalAccepted
		}
		return a.report(Report{ProposalStatus: status, Result: *res})
	}
	if !a.acked || asOf < a.ackOffset {
		return nil
	}
	if a.phase == withdrawing {
		return a.report(Report{ProposalStatus: ProposalUnknown, Err: errors.New("the result is no longer in the history")})
	}
	// The last record was applied without a decision, because the chunk sequence
	// was interleaved with another one. A withdrawal makes sure that the proposal
	// is never accepted.
	return a.withdraw()
}

// Tick handles expired timeouts.
func (a *Append) Tick(now time.Time) []Action {
	elapsed := now.Sub(a.started)
	switch {
	case a.phase == reported:
		return nil
	case elapsed >= a.cfg.Deadline:
		return a.report(Report{ProposalStatus: ProposalUnknown, Err: errors.Errorf("no result was read from the log within %s; query the proposal by its ID", a.cfg.Deadline)})
	case a.phase == waiting && !a.acked && elapsed >= a.cfg.ResultTimeout:
		return a.withdraw()
	case a.phase == withdrawing && !a.acked && !a.inFlight && !now.Before(a.nextAttempt):
		return a.withdraw()
	}
	return nil
}

// NextTick returns the time at which Tick has to be called next, and false after
// the report.
func (a *Append) NextTick() (time.Time, bool) {
	deadline := a.started.Add(a.cfg.Deadline)
	switch {
	case a.phase == waiting && !a.acked:
		return earlier(a.started.Add(a.cfg.ResultTimeout), deadline), true
	case a.phase == withdrawing && !a.acked && !a.inFlight:
		return earlier(a.nextAttempt, deadline), true
	}
	return deadline, a.phase != reported
}

// withdraw requests an append of the withdrawal. It clears the acknowledgement
// of the proposal, because the result is final only once the withdrawal has been
// applied.
func (a *Append) withdraw() []Action {
	a.phase = withdrawing
	a.acked = false
	a.inFlight = true
	return []Action{Send{Payload: WithdrawalPayload}}
}

func (a *Append) report(r Report) []Action {
	a.phase = reported
	r.ID = a.id
	return []Action{r}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
