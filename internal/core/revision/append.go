package revision

import (
	"time"

	"github.com/pkg/errors"
)

// AppendConfig holds the times of an append.
type AppendConfig struct {
	// ResultTimeout is the time until a proposal whose append is unknown is
	// withdrawn; default 10s.
	ResultTimeout time.Duration
	// RetryInterval is the time between attempts to append the withdrawal;
	// default 2s.
	RetryInterval time.Duration
	// Deadline is the time until the result is reported as unknown; default 60s.
	Deadline time.Duration
}

// DefaultAppendConfig returns the defaults.
func DefaultAppendConfig() AppendConfig {
	return AppendConfig{ResultTimeout: 10 * time.Second, RetryInterval: 2 * time.Second, Deadline: time.Minute}
}

// Payload tells what an action appends.
type Payload int

// Payloads.
const (
	ProposalPayload Payload = iota
	WithdrawalPayload
)

// AppendResult tells how an append of a payload ended.
type AppendResult int

// Results of an append.
const (
	// Acknowledged: the log returned an offset.
	Acknowledged AppendResult = iota
	// NotAppended: the log certainly has not appended the payload as a whole.
	NotAppended
	// AppendUnknown: the log may have appended the payload.
	AppendUnknown
)

// Action is what the driver of an Append does next: Send or Report.
type Action interface{ action() }

// Send asks to append a payload.
type Send struct{ Payload Payload }

// Verdict is the final answer to the writer.
type ProposalStatus int

// Verdicts.
const (
	// ProposalAccepted: Report.Result has the revision, chain and offset.
	ProposalAccepted ProposalStatus = iota
	// ProposalRefused: Report.Result has the reason.
	ProposalRefused
	// ProposalNotAppended: the proposal is certainly not in the log.
	ProposalNotAppended
	// ProposalUnknown: the proposal may still be accepted. The result can be
	// queried by the ID later.
	ProposalUnknown
)

// String returns the name of the verdict.
func (v ProposalStatus) String() string {
	return [...]string{"accepted", "refused", "not appended", "unknown"}[v]
}

// Report ends an append.
type Report struct {
	ID      string
	ProposalStatus ProposalStatus
	Result  Result
	// Err tells why the verdict is not appended or unknown.
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

// Append is the state machine of one writer's proposal. It reports exactly one
// verdict. It is not safe for concurrent use.
type Append struct {
	cfg       AppendConfig
	id        string
	phase     appendPhase
	started   time.Time
	acked     bool
	ackOffset int64
	inFlight  bool
	nextTry   time.Time
}

// NewAppend starts an append of the proposal with an ID.
func NewAppend(now time.Time, cfg AppendConfig, id string) (*Append, []Action) {
	a := &Append{cfg: cfg, id: id, started: now, inFlight: true}
	return a, []Action{Send{Payload: ProposalPayload}}
}

// Appended tells the end of a Send. The offset is that of the last record and
// counts for Acknowledged only.
func (a *Append) HandleAppendResult(now time.Time, p Payload, res AppendResult, offset int64) []Action {
	if a.phase == reported {
		return nil
	}
	a.inFlight = false
	if p == WithdrawalPayload {
		a.nextTry = now.Add(a.cfg.RetryInterval)
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

// Applied tells the state's AsOf and its decision about the proposal, if any.
func (a *Append) HandleApplied(asOf int64, res *Result) []Action {
	if a.phase == reported {
		return nil
	}
	if res != nil {
		verdict := ProposalRefused
		if res.Accepted {
			verdict = ProposalAccepted
		}
		return a.report(Report{ProposalStatus: verdict, Result: *res})
	}
	if !a.acked || asOf < a.ackOffset {
		return nil
	}
	if a.phase == withdrawing {
		return a.report(Report{ProposalStatus: ProposalUnknown, Err: errors.New("the result has left the history")})
	}
	// The last record was applied and decided nothing: a chunk sequence was
	// interleaved with another one. A withdrawal makes that final.
	return a.withdraw()
}

// Tick advances timeouts.
func (a *Append) Tick(now time.Time) []Action {
	elapsed := now.Sub(a.started)
	switch {
	case a.phase == reported:
		return nil
	case elapsed >= a.cfg.Deadline:
		return a.report(Report{ProposalStatus: ProposalUnknown, Err: errors.Errorf("no result was read from the log within %s; query the proposal by its ID", a.cfg.Deadline)})
	case a.phase == waiting && !a.acked && elapsed >= a.cfg.ResultTimeout:
		return a.withdraw()
	case a.phase == withdrawing && !a.acked && !a.inFlight && !now.Before(a.nextTry):
		return a.withdraw()
	}
	return nil
}

// NextTick returns the time of the next Tick that can have an effect, and
// false after the report.
func (a *Append) NextTick() (time.Time, bool) {
	deadline := a.started.Add(a.cfg.Deadline)
	switch {
	case a.phase == waiting && !a.acked:
		return earlier(a.started.Add(a.cfg.ResultTimeout), deadline), true
	case a.phase == withdrawing && !a.acked && !a.inFlight:
		return earlier(a.nextTry, deadline), true
	}
	return deadline, a.phase != reported
}

// withdraw asks to append the withdrawal. The acknowledgement of the proposal
// no longer counts, because the withdrawal's position decides.
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
