package revision

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// Status tells what Apply did with a record.
type Status int

// Statuses of Apply.
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

// String returns the name of the status.
func (s Status) String() string {
	return [...]string{"applied", "already applied", "needs snapshot", "stopped"}[s]
}

// Outcome is the effect of one record.
type Outcome struct {
	Status Status
	// Result is the decision that the record led to, if any.
	Result *Result
	// Activated tells that the record made a new revision active.
	Activated bool
	// Checkpoint tells that the record completed a usable checkpoint.
	Checkpoint bool
	// Ignored tells why an applied record had no effect.
	Ignored error
	// Err is a StoppedError when Status is Stopped.
	Err error
}

// Mark describes the newest usable checkpoint.
type CheckpointInfo struct {
	// AsOf is the checkpoint's AsOf; NoOffset without a checkpoint.
	AsOf int64
	// Since is a time that is not later than the record after AsOf, by the
	// log's record times. When that record expires, the log can no longer be
	// rebuilt from this checkpoint. Without a checkpoint it is the time of the
	// first accepted proposal.
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

// AsOf returns the offset of the last record applied.
func (s *State) AsOf() int64 { return s.asOf }

// Revision returns the active revision; 0 before the first document.
func (s *State) Revision() uint64 { return s.revision }

// Chain returns the hash that covers the active revision and all before it.
func (s *State) Chain() document.Hash { return s.chain }

// Sections returns the active document as sections.
func (s *State) Sections() document.SectionSet { return s.sections }

// Document returns the active document, nil at revision 0. It must not be
// modified.
func (s *State) Document() *document.Document { return s.document }

// Checkpoint returns the newest usable checkpoint.
func (s *State) Checkpoint() CheckpointInfo { return s.checkpoint }

// AsOfTime returns the log's time of the last record applied.
func (s *State) AsOfTime() time.Time { return s.asOfTime }

// Err returns a StoppedError when no further records can be applied.
func (s *State) Err() error {
	if s.stopped == nil {
		return nil
	}
	return s.stopped
}

// Result returns the decision about a recent proposal.
func (s *State) Result(id string) (Result, bool) {
	r, ok := s.results.byID[id]
	return r, ok
}

// Results returns the recent decisions, oldest first.
func (s *State) Results() []Result { return append([]Result(nil), s.results.list...) }

// Apply applies the record after AsOf. Any other record changes nothing.
func (s *State) Apply(r Record) Outcome {
	switch {
	case s.stopped != nil:
		return Outcome{Status: Stopped, Err: s.stopped}
	case r.Offset <= s.asOf:
		return Outcome{Status: AlreadyApplied}
	case r.Offset != s.asOf+1:
		return Outcome{Status: NeedsSnapshot}
	}
	out, err := s.applyData(r)
	if isNewer(err) {
		s.stopped = &StoppedError{Offset: r.Offset, Cause: err}
		return Outcome{Status: Stopped, Err: s.stopped}
	}
	out.Ignored = err
	s.asOf = r.Offset
	s.asOfTime = r.Time
	return out
}

// applyData decodes a record. It changes the state only after everything that
// can report a newer version.
func (s *State) applyData(r Record) (Outcome, error) {
	e, err := s.decode(r.Data)
	if err != nil {
		return Outcome{}, err
	}
	chunk, ok := e.(Chunk)
	if !ok {
		return s.applyEntry(r, r, e)
	}
	next, whole, err := s.pending.add(r, chunk)
	if whole == nil {
		s.pending = next
		return Outcome{}, err
	}
	e, err = s.decode(whole)
	if isNewer(err) {
		return Outcome{}, err
	}
	start := Record{Offset: s.pending.Start, Time: s.pending.StartTime}
	if err != nil {
		s.pending = next
		return Outcome{}, err
	}
	out, err := s.applyEntry(r, start, e)
	if !isNewer(err) {
		s.pending = next
	}
	return out, err
}

// applyEntry applies a whole entry whose first record is start and
// whose last one is r.
func (s *State) applyEntry(r, start Record, e Entry) (Outcome, error) {
	switch e := e.(type) {
	case Proposal:
		return s.propose(r, e)
	case Withdrawal:
		return s.withdraw(r, e)
	case Checkpoint:
		return s.noteCheckpoint(start, e.Snapshot)
	}
	return Outcome{}, errors.Errorf("%T inside chunks", e)
}

func isNewer(err error) bool {
	var record *NewerRecordError
	var format *document.NewerFormatError
	return errors.As(err, &record) || errors.As(err, &format)
}

// chainHash covers a revision and, through previous, all revisions before it.
func chainHash(previous document.Hash, revision uint64, content document.Hash, id string) document.Hash {
	h := sha256.New()
	h.Write(previous[:])
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], revision)
	h.Write(number[:])
	h.Write(content[:])
	h.Write([]byte(id))
	var sum document.Hash
	h.Sum(sum[:0])
	return sum
}
