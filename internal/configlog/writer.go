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
	// Read never fails, by crypto/rand's documentation.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Draft returns the proposal that turns the active configuration into doc,
// with a new ID.
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

// Preview describes what a document would change in the active configuration.
// After a refusal it shows the operator how their document differs from the one
// that won.
func (f *Follower) Preview(doc *document.Document) (string, error) {
	set, err := document.Sections(doc)
	if err != nil {
		return "", err
	}
	return document.DiffText(f.ActiveConfig().Sections, set), nil
}

// Writer appends proposals. The follower has to get the log's records, from
// the log or from peers, for a verdict other than unknown.
type Writer struct {
	log      port.Log
	follower *Follower
	cfg      revision.AppendConfig
}

// NewWriter returns a writer.
func NewWriter(log port.Log, follower *Follower, cfg revision.AppendConfig) *Writer {
	return &Writer{log: log, follower: follower, cfg: cfg}
}

// sent is the end of one append.
type sent struct {
	payload revision.Payload
	result  revision.AppendResult
	offset  int64
}

// Propose appends a proposal and waits for its verdict. An error means that it
// can't be encoded and nothing was appended. When ctx ends first the verdict is
// unknown.
//
// It reads from the log before it appends: a service that does not answer reads
// gets no append, whose outcome would be unknown for as long as the outage lasts.
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
	run := &proposing{writer: w, id: p.ID, payloads: [...][][]byte{proposal, withdrawal}, results: make(chan sent, 1)}
	return run.loop(ctx), nil
}

// checkLog reads one record and returns an error if the log service is not
// available.
func (w *Writer) checkLog(ctx context.Context) error {
	_, err := w.log.Read(ctx, w.follower.Status().AsOf+1, 1, 0)
	var truncated *port.TruncatedError
	if errors.As(err, &truncated) {
		return nil
	}
	return err
}

// proposing drives one revision.Append.
type proposing struct {
	writer   *Writer
	id       string
	payloads [2][][]byte
	// results has room for the one append in flight, so that its goroutine
	// ends after the report, too.
	results chan sent
	machine *revision.Append
}

func (p *proposing) loop(ctx context.Context) revision.Report {
	applied, cancel := p.writer.follower.SubscribeApplied()
	defer cancel()
	var actions []revision.Action
	p.machine, actions = revision.NewAppend(time.Now(), p.writer.cfg, p.id)
	for {
		if report, done := p.perform(ctx, actions); done {
			return report
		}
		next, _ := p.machine.NextTick()
		if now := time.Now(); !next.After(now) {
			actions = p.machine.Tick(now)
			continue
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case s := <-p.results:
			actions = p.machine.HandleAppendResult(time.Now(), s.payload, s.result, s.offset)
			actions = append(actions, p.check()...)
		case <-applied:
			actions = p.check()
		case <-timer.C:
			actions = p.machine.Tick(time.Now())
		case <-ctx.Done():
			actions = []revision.Action{revision.Report{ID: p.id, ProposalStatus: revision.ProposalUnknown, Err: ctx.Err()}}
		}
		timer.Stop()
	}
}

func (p *proposing) check() []revision.Action {
	return p.machine.HandleApplied(p.writer.follower.lookup(p.id))
}

func (p *proposing) perform(ctx context.Context, actions []revision.Action) (revision.Report, bool) {
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

func (p *proposing) send(ctx context.Context, payload revision.Payload) {
	offset, err := appendAll(ctx, p.writer.log, p.payloads[payload])
	s := sent{payload: payload, result: revision.Acknowledged, offset: offset}
	var unavailable *port.LogUnavailableError
	switch {
	case errors.As(err, &unavailable):
		s.result = revision.NotAppended
	case err != nil:
		s.result = revision.AppendUnknown
	}
	p.results <- s
}

// appendAll appends records in order. When one that is not the last fails, the
// rest is not sent, so the sequence certainly stays incomplete.
func appendAll(ctx context.Context, log port.Log, records [][]byte) (offset int64, err error) {
	for i, data := range records {
		offset, err = log.Append(ctx, data)
		if err != nil && i < len(records)-1 {
			return 0, &port.LogUnavailableError{Cause: err}
		}
	}
	return offset, err
}
