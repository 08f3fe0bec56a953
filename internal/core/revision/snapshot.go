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
	// Chain is the hash of Previous, Revision, ActiveID and the sections.
	Chain    document.Hash
	Previous document.Hash
	ActiveID string
	Sections document.SectionSet
	// Withdrawn holds the sorted IDs of withdrawn proposals whose base is
	// Revision.
	Withdrawn  []string
	Results    []Result
	Checkpoint CheckpointInfo
	Pending    ChunkSequence
}

// ConflictError reports two histories that differ at the same revision. It is
// caused by a defective build or by data corruption; neither side adopts the
// other's state.
type ConflictError struct {
	Revision      uint64
	Local, Remote document.Hash
	Cause         string
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

// Adopt replaces the state with a snapshot and reports whether it did. It
// ignores a snapshot whose AsOf is not higher than that of the state. The caller
// then applies the records that follow the snapshot's AsOf.
func (s *State) Adopt(snap Snapshot) (bool, error) {
	if err := s.checkConflict(snap); err != nil {
		return false, err
	}
	if snap.AsOf <= s.asOf {
		return false, nil
	}
	doc, err := snap.validate()
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

// checkConflict returns a ConflictError if the histories differ at a revision
// that both contain.
func (s *State) checkConflict(snap Snapshot) error {
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
		if r, ok := s.results.findAccepted(snap.Revision); ok && r.Chain != snap.Chain {
			return &ConflictError{Revision: snap.Revision, Local: r.Chain, Remote: snap.Chain, Cause: "different history"}
		}
	}
	return nil
}

// validate checks that a snapshot is self-consistent and returns its document.
func (snap *Snapshot) validate() (*document.Document, error) {
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
	doc, err := buildDocument(snap.Sections)
	if err != nil {
		return nil, errors.Wrap(err, "snapshot")
	}
	return doc, nil
}

// applyCheckpoint records the newest usable checkpoint, so that hosts do not
// append another one too early. It does not change the configuration.
func (s *State) applyCheckpoint(start Record, snap Snapshot) (Outcome, error) {
	if snap.AsOf >= start.Offset {
		return Outcome{}, errors.Errorf("checkpoint as of %d begins at offset %d", snap.AsOf, start.Offset)
	}
	if err := s.checkConflict(snap); err != nil {
		return Outcome{}, err
	}
	if _, err := snap.validate(); err != nil {
		return Outcome{}, err
	}
	if snap.AsOf <= s.checkpoint.AsOf {
		return Outcome{}, errors.Errorf("checkpoint as of %d is not the newest", snap.AsOf)
	}
	s.checkpoint = CheckpointInfo{AsOf: snap.AsOf, Since: snap.AsOfTime}
	if snap.AsOf+1 == start.Offset {
		// No record lies between AsOf and the checkpoint, so the checkpoint record
		// is the first one needed for a rebuild. If the log has been idle, the
		// record at AsOf can be much older.
		s.checkpoint.Since = start.Time
	}
	return Outcome{Checkpoint: true}, nil
}
