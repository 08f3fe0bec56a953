package revision

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// Status is the result of Apply for a record.
type Status int

// Status values.
const (
	// Applied: AsOf is now the record's offset.
	Applied Status = iota
	// AlreadyApplied: the record is at or before AsOf.
	AlreadyApplied
	// NeedsSnapshot: records between AsOf and this one are missing.
	NeedsSnapshot
	// Stopped: this or an earlier record is from a newer version.
	Stopped
)

// String returns s in words, such as "needs snapshot"; it panics on an unknown s.
func (s Status) String() string {
	return [...]string{"applied", "already applied", "needs snapshot", "stopped"}[s]
}

// Outcome is the effect of applying one record.
type Outcome struct {
	Status Status
	// Result is the decision that the record caused, if any.
	Result *Result
	// Activated is set if the record made a new revision active.
	Activated bool
	// Checkpoint is set if the record completed a usable checkpoint.
	Checkpoint bool
	// Ignored is the reason why an applied record had no effect.
	Ignored error
	// Err is a StoppedError if Status is Stopped.
	Err error
}

// CheckpointInfo describes the newest usable checkpoint.
type CheckpointInfo struct {
	// AsOf is the checkpoint's AsOf, or NoOffset if there is no checkpoint.
	AsOf int64
	// Since is a lower bound for the log's time of the record after AsOf. Once
	// that record expires, the state can no longer be rebuilt from this
	// checkpoint. Without a checkpoint, Since is the time of the first accepted
	// proposal.
	Since time.Time
}

// State is the configuration as of a log offset. It is not safe for concurrent
// use.
type State struct {
	decode     Decode
	asOf       int64
	asOfTime   time.Time
	revision   uint64
	chain      document.Hash
	previous   document.Hash
	activeID   string
	sections   document.SectionSet
	document   *document.Document
	withdrawn  map[string]bool
	results    history
	checkpoint CheckpointInfo
	pending    ChunkSequence
	stopped    *StoppedError
}

// New returns the state before the first record of the log.
func New(decode Decode) *State {
	return &State{
		decode:     decode,
		asOf:       NoOffset,
		withdrawn:  map[string]bool{},
		results:    newHistory(nil),
		checkpoint: CheckpointInfo{AsOf: NoOffset},
	}
}

// AsOf returns the offset of the last applied record.
func (s *State) AsOf() int64 { return s.asOf }

// Revision returns the active revision; 0 before the first document.
func (s *State) Revision() uint64 { return s.revision }

// Chain returns the chain hash, which covers the active revision and all earlier
// ones.
func (s *State) Chain() document.Hash { return s.chain }

// Sections returns the active document as sections.
func (s *State) Sections() document.SectionSet { return s.sections }

// Document returns the active document, or nil at revision 0. The caller must
// not modify it.
func (s *State) Document() *document.Document { return s.document }

// Checkpoint returns the newest usable checkpoint.
func (s *State) Checkpoint() CheckpointInfo { return s.checkpoint }

// AsOfTime returns the log's time of the last applied record.
func (s *State) AsOfTime() time.Time { return s.asOfTime }

// Err returns a StoppedError if no further records can be applied.
func (s *State) Err() error {
	if s.stopped == nil {
		return nil
	}
	return s.stopped
}

// Result returns the decision on a recent proposal.
func (s *State) Result(id string) (Result, bool) {
	r, ok := s.results.byID[id]
	return r, ok
}

// Results returns the recent decisions, oldest first.
func (s *State) Results() []Result { return append([]Result(nil), s.results.list...) }

// Apply applies the record that follows AsOf. Any other record has no effect.
func (s *State) Apply(r Record) Outcome {
	switch {
	case s.stopped != nil:
		return Outcome{Status: Stopped, Err: s.stopped}
	case r.Offset <= s.asOf:
		return Outcome{Status: AlreadyApplied}
	case r.Offset != s.asOf+1:
		return Outcome{Status: NeedsSnapshot}
	}
	out, err := s.applyRecord(r)
	if isNewerVersion(err) {
		s.stopped = &StoppedError{Offset: r.Offset, Cause: err}
		return Outcome{Status: Stopped, Err: s.stopped}
	}
	out.Ignored = err
	s.asOf = r.Offset
	s.asOfTime = r.Time
	return out
}

// applyRecord decodes and applies a record. It changes the state only after all
// steps that can fail because of a newer version.
func (s *State) applyRecord(r Record) (Outcome, error) {
	e, err := s.decode(r.Data)
	if err != nil {
		return Outcome{}, err
	}
	chunk, ok := e.(Chunk)
	if !ok {
		return s.applyEntry(r, r, e)
	}
	next, data, err := s.pending.add(r, chunk)
	if data == nil {
		s.pending = next
		return Outcome{}, err
	}
	e, err = s.decode(data)
	if isNewerVersion(err) {
		return Outcome{}, err
	}
	start := Record{Offset: s.pending.Start, Time: s.pending.StartTime}
	if err != nil {
		s.pending = next
		return Outcome{}, err
	}
	out, err := s.applyEntry(r, start, e)
	if !isNewerVersion(err) {
		s.pending = next
	}
	return out, err
}

// applyEntry applies a complete entry, whose first record is start and whose
// last record is r.
func (s *State) applyEntry(r, start Record, e Entry) (Outcome, error) {
	switch e := e.(type) {
	case Proposal:
		return s.applyProposal(r, e)
	case Withdrawal:
		return s.applyWithdrawal(r, e)
	case Checkpoint:
		return s.applyCheckpoint(start, e.Snapshot)
	}
	return Outcome{}, errors.Errorf("%T inside chunks", e)
}

func isNewerVersion(err error) bool {
	var record *NewerRecordError
	var format *document.NewerFormatError
	return errors.As(err, &record) || errors.As(err, &format)
}

// chainHash returns a hash that covers a revision and, through previous, all
// earlier revisions.
func chainHash(previous document.Hash, revision uint64, content document.Hash, id string) document.Hash {
	h := sha256.New()
	h.Write(previous[:])
	var revisionBytes [8]byte
	binary.BigEndian.PutUint64(revisionBytes[:], revision)
	h.Write(revisionBytes[:])
	h.Write(content[:])
	h.Write([]byte(id))
	var sum document.Hash
	h.Sum(sum[:0])
	return sum
}
