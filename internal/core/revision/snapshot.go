package revision

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// Snapshot is the state as of a log offset.
type Snapshot struct {
	AsOf     int64
	AsOfTime time.Time
	Revision uint64
	// Chain covers Previous, Revision, ActiveID and the sections.
	Chain    document.Hash
	Previous document.Hash
	ActiveID string
	Sections document.SectionSet
	// Withdrawn holds the sorted IDs whose base is Revision.
	Withdrawn  []string
	Results    []Result
	Checkpoint CheckpointInfo
	Pending    ChunkSequence
}

// ConflictError reports two histories that differ at the same revision. It
// means a fault in a build or damage; neither side is adopted.
type ConflictError struct {
	Revision    uint64
	Local, Remote document.Hash
	Cause       string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict at revision %d: own chain %s, other chain %s: %s", e.Revision, e.Local, e.Remote, e.Cause)
}

// Snapshot exports the state. It shares the sections with the state.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{
		AsOf:       s.asOf,
		AsOfTime:   s.asOfTime,
		Revision:   s.revision,
		Chain:      s.chain,
		Previous:   s.previous,
		ActiveID:   s.activeID,
		Sections:   s.sections,
		Results:    s.Results(),
		Checkpoint: s.checkpoint,
		Pending:    s.pending,
	}
	for id := range s.withdrawn {
		snap.Withdrawn = append(snap.Withdrawn, id)
	}
	slices.Sort(snap.Withdrawn)
	return snap
}

// Adopt replaces the state by a snapshot and reports whether it did. It
// ignores a snapshot whose AsOf is not higher than the own one. After adopting,
// the records after the snapshot's AsOf have to be applied.
func (s *State) Adopt(snap Snapshot) (bool, error) {
	if err := s.conflict(snap); err != nil {
		return false, err
	}
	if snap.AsOf <= s.asOf {
		return false, nil
	}
	doc, err := snap.check()
	if err != nil {
		return false, err
	}
	s.asOf, s.asOfTime = snap.AsOf, snap.AsOfTime
	s.revision, s.chain, s.previous, s.activeID = snap.Revision, snap.Chain, snap.Previous, snap.ActiveID
	s.sections, s.document = snap.Sections, doc
	s.withdrawn = map[string]bool{}
	for _, id := range snap.Withdrawn {
		s.withdrawn[id] = true
	}
	s.results = newHistory(snap.Results)
	s.checkpoint, s.pending = snap.Checkpoint, snap.Pending
	s.stopped = nil
	return true, nil
}

// conflict compares the histories as far as both are known.
func (s *State) conflict(snap Snapshot) error {
	switch {
	case snap.Revision == s.revision && snap.Chain != s.chain:
		return &ConflictError{Revision: s.revision, Local: s.chain, Remote: snap.Chain, Cause: "different hash"}
	case snap.AsOf == s.asOf && snap.Revision != s.revision,
		snap.AsOf > s.asOf && snap.Revision < s.revision,
		snap.AsOf < s.asOf && snap.Revision > s.revision:
		return &ConflictError{Revision: s.revision, Local: s.chain, Remote: snap.Chain,
			Cause: fmt.Sprintf("revision %d at offset %d, own offset %d", snap.Revision, snap.AsOf, s.asOf)}
	case snap.Revision > s.revision && s.revision > 0:
		for _, r := range snap.Results {
			if r.Accepted && r.Revision == s.revision && r.Chain != s.chain {
				return &ConflictError{Revision: s.revision, Local: s.chain, Remote: r.Chain, Cause: "different history"}
			}
		}
	case snap.Revision < s.revision:
		if r, ok := s.results.accepted(snap.Revision); ok && r.Chain != snap.Chain {
			return &ConflictError{Revision: snap.Revision, Local: r.Chain, Remote: snap.Chain, Cause: "different history"}
		}
	}
	return nil
}

// check verifies that a snapshot is consistent in itself and returns its
// document.
func (snap *Snapshot) check() (*document.Document, error) {
	if snap.AsOf < NoOffset {
		return nil, errors.Errorf("snapshot: as_of %d is out of range", snap.AsOf)
	}
	if snap.Revision == 0 {
		if snap.Sections.Len() != 0 || snap.Chain != (document.Hash{}) {
			return nil, errors.New("snapshot: revision 0 has content")
		}
		return nil, nil
	}
	if snap.Chain != chainHash(snap.Previous, snap.Revision, snap.Sections.Hash(), snap.ActiveID) {
		return nil, errors.New("snapshot: the chain hash does not match the sections")
	}
	doc, err := build(snap.Sections)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	return doc, nil
}

// noteCheckpoint remembers a usable checkpoint, so that hosts don't append
// another one too early. The state itself does not change.
func (s *State) noteCheckpoint(start Record, snap Snapshot) (Outcome, error) {
	if snap.AsOf >= start.Offset {
		return Outcome{}, errors.Errorf("checkpoint as of %d begins at offset %d", snap.AsOf, start.Offset)
	}
	if err := s.conflict(snap); err != nil {
		return Outcome{}, err
	}
	if _, err := snap.check(); err != nil {
		return Outcome{}, err
	}
	if snap.AsOf <= s.checkpoint.AsOf {
		return Outcome{}, errors.Errorf("checkpoint as of %d is not the newest", snap.AsOf)
	}
	s.checkpoint = CheckpointInfo{AsOf: snap.AsOf, Since: snap.AsOfTime}
	if snap.AsOf+1 == start.Offset {
		// Nothing was appended in between: the checkpoint's own record is the
		// first one needed. In a quiet log the one at AsOf can be much older.
		s.checkpoint.Since = start.Time
	}
	return Outcome{Checkpoint: true}, nil
}
