package configlog

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// NewID returns an ID that is unique among all proposals and chunk sequences.
func NewID() string {
	var b [16]byte
	// crypto/rand documents that Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Draft returns a proposal with a new ID that changes the active configuration into
// doc.
func (f *Follower) Draft(doc *document.Document, author, note string) (revision.Proposal, error) {
	active := f.ActiveConfig()
	if err := doc.Validate(); err != nil {
		return revision.Proposal{}, err
	}
	set, err := document.Sections(doc)
	if err != nil {
		return revision.Proposal{}, err
	}
	return revision.Proposal{
		ID:          NewID(),
		Base:        active.Revision,
		Delta:       document.Diff(active.Sections, set),
		ContentHash: set.Hash(),
		Author:      author,
		Note:        note,
	}, nil
}

// Preview returns the difference between the active configuration and a document.
// After a refusal it shows the operator how the document differs from the accepted
// one.
func (f *Follower) Preview(doc *document.Document) (string, error) {
	set, err := document.Sections(doc)
	if err != nil {
		return "", err
	}
	return document.DiffText(f.ActiveConfig().Sections, set), nil
}

// Writer appends proposals to the log. The status of a proposal is unknown unless the
// follower receives the log's records, from the log or from peers.
type Writer struct {
	log      port.Log
	follower *Follower
	cfg      revision.AppendConfig
}

// NewWriter returns a writer.
func NewWriter(log port.Log, follower *Follower, cfg revision.AppendConfig) *Writer {
	return &Writer{log: log, follower: follower, cfg: cfg}
}

// appendOutcome is the outcome of one append.
type appendOutcome struct {
	payload revision.Payload
	result  revision.AppendResult
	offset  int64
}

// Propose appends a proposal and waits for its status. It returns an error if the
// proposal cannot be encoded, in which case nothing was appended. If ctx is done
// first the status is unknown.
//
// Propose reads from the log before it appends. If the read fails it does not
// append, because the outcome could remain unknown for the whole outage.
func (w *Writer) Propose(ctx context.Context, p revision.Proposal) (revision.Report, error) {
	proposal, err := logcodec.Records(NewID(), p)
	if err != nil {
		return revision.Report{}, err
	}
	withdrawal, err := logcodec.Records(NewID(), revision.Withdrawal{ID: p.ID, Base: p.Base})
	if err != nil {
		return revision.Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := w.checkLog(ctx); err != nil {
		return revision.Report{ID: p.ID, ProposalStatus: revision.ProposalNotAppended, Err: err}, nil
	}
	run := &proposalRun{writer: w, id: p.ID, payloads: [...][][]byte{proposal, withdrawal}, results: make(chan appendOutcome, 1)}
	return run.execute(ctx), nil
}

// checkLog reads at most one record and returns an error if the log service is not
// available.
func (w *Writer) checkLog(ctx context.Context) error {
	_, err := w.log.Read(ctx, w.follower.Status().AsOf+1, 1, 0)
	var truncated *port.TruncatedError
	if errors.As(err, &truncated) {
		return nil
	}
	return err
}

// proposalRun executes one revision.Append state machine.
type proposalRun struct {
	writer   *Writer
	id       string
	payloads [2][][]byte
	// results has a buffer for the one append in flight, so that its goroutine can
	// also end after the report.
	results chan appendOutcome
	machine *revision.Append
}

func (p *proposalRun) execute(ctx context.Context) revision.Report {
	applied, cancel := p.writer.follower.SubscribeApplied()
	defer cancel()
	var actions []revision.Action
	p.machine, actions = revision.NewAppend(time.Now(), p.writer.cfg, p.id)
	for {
		if report, done := p.runActions(ctx, actions); done {
			return report
		}
		next, _ := p.machine.NextTick()
		if now := time.Now(); !next.After(now) {
			actions = p.machine.Tick(now)
			continue
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case outcome := <-p.results:
			actions = p.machine.HandleAppendResult(time.Now(), outcome.payload, outcome.result, outcome.offset)
			actions = append(actions, p.checkApplied()...)
		case <-applied:
			actions = p.checkApplied()
		case <-timer.C:
			actions = p.machine.Tick(time.Now())
		case <-ctx.Done():
			actions = []revision.Action{revision.Report{ID: p.id, ProposalStatus: revision.ProposalUnknown, Err: ctx.Err()}}
		}
		timer.Stop()
	}
}

func (p *proposalRun) checkApplied() []revision.Action {
	return p.machine.HandleApplied(p.writer.follower.resultAsOf(p.id))
}

func (p *proposalRun) runActions(ctx context.Context, actions []revision.Action) (revision.Report, bool) {
	for _, a := range actions {
		switch a := a.(type) {
		case revision.Report:
			return a, true
		case revision.Send:
			go p.send(ctx, a.Payload)
		}
	}
	return revision.Report{}, false
}

func (p *proposalRun) send(ctx context.Context, payload revision.Payload) {
	offset, err := appendAll(ctx, p.writer.log, p.payloads[payload])
	outcome := appendOutcome{payload: payload, result: revision.Acknowledged, offset: offset}
	var unavailable *port.LogUnavailableError
	switch {
	case errors.As(err, &unavailable):
		outcome.result = revision.NotAppended
	case err != nil:
		outcome.result = revision.AppendUnknown
	}
	p.results <- outcome
}

// appendAll appends records in order. If an append other than the last fails, the
// remaining records are not sent, so the sequence is certain to stay incomplete and
// the error is a LogUnavailableError.
func appendAll(ctx context.Context, log port.Log, records [][]byte) (offset int64, err error) {
	for i, data := range records {
		offset, err = log.Append(ctx, data)
		if err != nil && i < len(records)-1 {
			return 0, &port.LogUnavailableError{Cause: err}
		}
	}
	return offset, err
}
