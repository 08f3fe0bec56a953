package configlog

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// MissingRecordsError reports that a peer requested records that this host no
// longer keeps, or that records from a peer leave a gap. A snapshot is needed.
type MissingRecordsError struct{ After int64 }

func (e *MissingRecordsError) Error() string {
	return fmt.Sprintf("records after offset %d are missing, a snapshot is needed", e.After)
}

// Status is the status of a follower.
type Status struct {
	// AsOf is the offset of the last applied log record.
	AsOf     int64
	Revision uint64
	Chain    document.Hash
	// Reading reports whether the follower reads the log itself.
	Reading bool
	// LogReached reports whether a read has succeeded since reading was enabled.
	LogReached bool
	// LogErr is the error of the last read, nil if it succeeded.
	LogErr error
	// Err is a StoppedError if the follower stopped at a record from a newer version.
	Err error
}

// ActiveConfig is the active configuration. The document is shared and must not be
// modified; it is nil until the first one is accepted.
type ActiveConfig struct {
	// AsOf is the offset of the last applied log record.
	AsOf     int64
	Revision uint64
	Chain    document.Hash
	Document *document.Document
	Sections document.SectionSet
}

// Follower applies log records to a revision.State. It is safe for concurrent use.
type Follower struct {
	log port.Log
	cfg Config

	mu      sync.Mutex
	state   *revision.State
	window  window
	logErr  error
	reading bool
	// logReached reports whether a read has succeeded since reading was enabled.
	logReached bool
	// stopReading cancels the read in progress.
	stopReading context.CancelFunc

	readingChanged notifier
	applied        notifier
	activated      notifier
}

// NewFollower returns a follower. It does not read the log until SetReading enables
// reading.
func NewFollower(log port.Log, cfg Config) *Follower {
	return &Follower{
		log:         log,
		cfg:         cfg,
		state:       revision.New(cfg.Decode),
		window:      window{maxRecords: cfg.WindowRecords, maxBytes: cfg.WindowBytes},
		stopReading: func() {},
	}
}

// Subscribe returns a channel that receives a value when a new revision is active,
// and a function that ends the subscription.
func (f *Follower) Subscribe() (<-chan struct{}, func()) { return f.activated.subscribe() }

// SubscribeApplied returns a channel that receives a value when AsOf has increased,
// and a function that ends the subscription.
func (f *Follower) SubscribeApplied() (<-chan struct{}, func()) { return f.applied.subscribe() }

// Status returns the current status.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{
		AsOf:       f.state.AsOf(),
		Revision:   f.state.Revision(),
		Chain:      f.state.Chain(),
		Reading:    f.reading,
		LogReached: f.logReached,
		LogErr:     f.logErr,
		Err:        f.state.Err(),
	}
}

// ActiveConfig returns the active configuration.
func (f *Follower) ActiveConfig() ActiveConfig {
	f.mu.Lock()
	defer f.mu.Unlock()
	return ActiveConfig{
		AsOf:     f.state.AsOf(),
		Revision: f.state.Revision(),
		Chain:    f.state.Chain(),
		Document: f.state.Document(),
		Sections: f.state.Sections(),
	}
}

// Result returns the decision about a recent proposal.
func (f *Follower) Result(id string) (revision.Result, bool) {
	_, res := f.resultAsOf(id)
	if res == nil {
		return revision.Result{}, false
	}
	return *res, true
}

// Results returns the recent decisions, oldest first.
func (f *Follower) Results() []revision.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Results()
}

// resultAsOf returns the decision about a proposal, nil if there is none, and the
// log offset as of which this is known.
func (f *Follower) resultAsOf(id string) (asOf int64, res *revision.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.state.Result(id); ok {
		res = &r
	}
	return f.state.AsOf(), res
}

// RecordsAfter returns up to limit records after an offset for a peer, within
// MaxPeerReplyBytes. It returns none if the peer is up to date and a
// MissingRecordsError if the peer needs a snapshot.
func (f *Follower) RecordsAfter(offset int64, limit int) ([]revision.Record, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset >= f.state.AsOf() {
		return nil, nil
	}
	records, ok := f.window.after(offset, limit, f.cfg.MaxPeerReplyBytes)
	if !ok {
		return nil, &MissingRecordsError{After: offset}
	}
	return records, nil
}

// Snapshot returns a snapshot of the state for peers.
func (f *Follower) Snapshot() revision.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Snapshot()
}

// AdoptSnapshot replaces the local state by a peer's snapshot if the snapshot is
// newer, and reports whether it did.
func (f *Follower) AdoptSnapshot(snap revision.Snapshot) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.adopt(snap)
}

func (f *Follower) adopt(snap revision.Snapshot) (bool, error) {
	before := f.state.Revision()
	adopted, err := f.state.Adopt(snap)
	if isConflict(err) {
		f.emit(Event{Kind: Conflict, Err: err})
	}
	if !adopted {
		return false, err
	}
	f.window.reset()
	f.applied.notify()
	if f.state.Revision() != before {
		f.emit(Event{Kind: Activated})
		f.activated.notify()
	}
	return true, nil
}

// ApplyFromPeer applies records from a peer, which must be in offset order. It skips
// records that are already applied. It returns a MissingRecordsError if records are
// missing before the first new one, or a StoppedError.
func (f *Follower) ApplyFromPeer(records []revision.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.apply(records)
}

func (f *Follower) apply(records []revision.Record) error {
	before := f.state.AsOf()
	var err error
	for _, r := range records {
		if err = f.applyRecord(r); err != nil {
			break
		}
	}
	if f.state.AsOf() != before {
		f.applied.notify()
	}
	return err
}

func (f *Follower) applyRecord(r revision.Record) error {
	wasStopped := f.state.Err() != nil
	out := f.state.Apply(r)
	switch out.Status {
	case revision.NeedsSnapshot:
		return &MissingRecordsError{After: f.state.AsOf()}
	case revision.Stopped:
		if !wasStopped {
			f.emit(Event{Kind: Stopped, Err: out.Err})
		}
		return out.Err
	case revision.AlreadyApplied:
		return nil
	}
	f.window.add(r)
	f.emitOutcome(out)
	return nil
}

func (f *Follower) emitOutcome(out revision.Outcome) {
	switch {
	case out.Activated:
		f.emit(Event{Kind: Activated, Result: out.Result})
		f.activated.notify()
	case out.Result != nil:
		f.emit(Event{Kind: Refused, Result: out.Result})
	case out.Checkpoint:
		f.emit(Event{Kind: CheckpointSeen})
	case isConflict(out.Ignored):
		f.emit(Event{Kind: Conflict, Err: out.Ignored})
	case out.Ignored != nil:
		f.emit(Event{Kind: RecordIgnored, Err: out.Ignored})
	}
}

func isConflict(err error) bool {
	var conflict *revision.ConflictError
	return errors.As(err, &conflict)
}

func (f *Follower) emit(e Event) {
	e.AsOf, e.Revision = f.state.AsOf(), f.state.Revision()
	f.cfg.OnEvent(e)
}
