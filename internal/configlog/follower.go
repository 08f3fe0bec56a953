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

// NotKeptError reports that a peer asked for records that this host no longer
// keeps, or that records from a peer leave a gap. A snapshot helps.
type MissingRecordsError struct{ After int64 }

func (e *MissingRecordsError) Error() string {
	return fmt.Sprintf("records after offset %d are missing, a snapshot is needed", e.After)
}

// Status is what a follower knows.
type Status struct {
	AsOf     int64
	Revision uint64
	Chain    document.Hash
	// Reading tells that the follower reads the log itself.
	Reading bool
	// Contacted tells that a read has succeeded since reading was switched on.
	LogReached bool
	// LogErr is the error of the last read, nil when it succeeded.
	LogErr error
	// Err is a StoppedError when a record is from a newer version.
	Err error
}

// Active is the active configuration. The document is shared and must not be
// modified; it is nil before the first one is accepted.
type ActiveConfig struct {
	AsOf     int64
	Revision uint64
	Chain    document.Hash
	Document *document.Document
	Sections document.SectionSet
}

// Follower applies the log to a state. It is safe for concurrent use.
type Follower struct {
	log port.Log
	cfg Config

	mu      sync.Mutex
	state   *revision.State
	window  window
	logErr  error
	reading bool
	// contacted tells that a read has succeeded since reading was switched on.
	contacted bool
	// stopReading cancels a read in progress.
	stopReading context.CancelFunc

	switched  notifier
	applied   notifier
	activated notifier
}

// NewFollower returns a follower that does not read the log until SetReading.
func NewFollower(log port.Log, cfg Config) *Follower {
	return &Follower{
		log:         log,
		cfg:         cfg,
		state:       revision.New(cfg.Decode),
		window:      window{maxRecords: cfg.WindowRecords, maxBytes: cfg.WindowBytes},
		stopReading: func() {},
	}
}

// Subscribe returns a channel that gets a value when a new revision is active,
// and a function that ends the subscription.
func (f *Follower) Subscribe() (<-chan struct{}, func()) { return f.activated.subscribe() }

// SubscribeApplied returns a channel that gets a value when AsOf has risen, and
// a function that ends the subscription.
func (f *Follower) SubscribeApplied() (<-chan struct{}, func()) { return f.applied.subscribe() }

// Status returns the current status.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Status{
		AsOf:      f.state.AsOf(),
		Revision:  f.state.Revision(),
		Chain:     f.state.Chain(),
		Reading:   f.reading,
		LogReached: f.contacted,
		LogErr:    f.logErr,
		Err:       f.state.Err(),
	}
}

// Active returns the active configuration.
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
	_, res := f.lookup(id)
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

func (f *Follower) lookup(id string) (asOf int64, res *revision.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.state.Result(id); ok {
		res = &r
	}
	return f.state.AsOf(), res
}

// RecordsAfter returns up to limit records after an offset for a peer, and
// fewer when they are large; none when the peer has all. The error is a
// NotKeptError when the peer needs a snapshot.
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

// Snapshot returns the state for a peer.
func (f *Follower) Snapshot() revision.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Snapshot()
}

// AdoptSnapshot takes a peer's snapshot and reports whether it was newer than
// the own state.
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

// ApplyFromPeer applies records that a peer sent, in offset order. Records
// that are already applied are passed over. The error is a NotKeptError when
// records are missing before the first new one, or a StoppedError.
func (f *Follower) ApplyFromPeer(records []revision.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.apply(records)
}

func (f *Follower) apply(records []revision.Record) error {
	before := f.state.AsOf()
	var err error
	for _, r := range records {
		if err = f.applyOne(r); err != nil {
			break
		}
	}
	if f.state.AsOf() != before {
		f.applied.notify()
	}
	return err
}

func (f *Follower) applyOne(r revision.Record) error {
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
	f.report(out)
	return nil
}

func (f *Follower) report(out revision.Outcome) {
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
