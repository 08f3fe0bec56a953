package revision

import (
	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// applyProposal decides on a proposal. The order of the checks is part of the
// decision rules: a stale or withdrawn proposal is refused regardless of its
// document.
func (s *State) applyProposal(r Record, p Proposal) (Outcome, error) {
	if _, ok := s.results.byID[p.ID]; ok {
		return Outcome{}, errors.Errorf("proposal %s is repeated", p.ID)
	}
	res := Result{ID: p.ID, Base: p.Base, Offset: r.Offset, Time: r.Time, Author: p.Author, Note: p.Note}
	if s.withdrawn[p.ID] {
		return s.refuse(res, Withdrawn, nil)
	}
	if p.Base < s.revision {
		return s.refuseStale(res, StaleBase)
	}
	if p.Base > s.revision {
		return s.refuse(res, FutureBase, nil)
	}
	set, doc, reason, err := resultingDocument(s.sections, p)
	if isNewerVersion(err) {
		return Outcome{}, err
	}
	if reason != NotRefused {
		return s.refuse(res, reason, err)
	}
	return s.accept(res, set, doc), nil
}

// resultingDocument applies the proposal's delta to base and validates the
// result.
func resultingDocument(base document.SectionSet, p Proposal) (document.SectionSet, *document.Document, Reason, error) {
	set, err := document.Apply(base, p.Delta)
	if err != nil {
		return set, nil, InvalidDocument, err
	}
	if set.Hash() != p.ContentHash {
		return set, nil, ContentHashMismatch, nil
	}
	doc, err := document.FromSections(set)
	if err == nil {
		// The base document is valid, because only valid documents become active.
		err = doc.ValidateChange(p.Delta)
	}
	if err != nil {
		return set, nil, InvalidDocument, err
	}
	return set, doc, NotRefused, nil
}

func buildDocument(set document.SectionSet) (*document.Document, error) {
	doc, err := document.FromSections(set)
	if err != nil {
		return nil, err
	}
	return doc, doc.Validate()
}

func (s *State) accept(res Result, set document.SectionSet, doc *document.Document) Outcome {
	if s.revision == 0 && s.checkpoint.AsOf == NoOffset {
		s.checkpoint.Since = res.Time
	}
	s.revision++
	s.previous = s.chain
	s.chain = chainHash(s.previous, s.revision, set.Hash(), res.ID)
	s.activeID = res.ID
	s.sections, s.document = set, doc
	// The base of every withdrawn ID is the previous revision, so a later
	// proposal with such an ID is refused as stale.
	clear(s.withdrawn)
	res.Accepted, res.Revision, res.Chain = true, s.revision, s.chain
	s.results.add(res)
	return Outcome{Result: &res, Activated: true}
}

func (s *State) refuse(res Result, reason Reason, err error) (Outcome, error) {
	res.Reason = reason
	if err != nil {
		res.Detail = truncateDetail(err.Error())
	}
	s.results.add(res)
	return Outcome{Result: &res}, nil
}

// refuseStale refuses a proposal whose base is lower than the active revision
// and records the winner. A proposal that is itself the winner for its base is
// ignored as a duplicate: it was accepted, and its result is no longer in the
// history.
func (s *State) refuseStale(res Result, reason Reason) (Outcome, error) {
	res.Winner, res.WinnerRevision = s.winner(res.Base)
	if res.Winner == res.ID {
		return Outcome{}, errors.Errorf("proposal %s is repeated", res.ID)
	}
	return s.refuse(res, reason, nil)
}

func (s *State) winner(base uint64) (id string, revision uint64) {
	if base+1 == s.revision {
		return s.activeID, s.revision
	}
	if w, ok := s.results.findAccepted(base + 1); ok {
		return w.ID, w.Revision
	}
	return "", 0
}

// applyWithdrawal decides on a withdrawal. A withdrawal whose base is higher
// than the active revision has no effect: no writer that applied a prefix of the
// log can have seen that base.
func (s *State) applyWithdrawal(r Record, w Withdrawal) (Outcome, error) {
	known, decided := s.results.byID[w.ID]
	switch {
	case known.Accepted:
		return Outcome{}, errors.Errorf("proposal %s is already accepted", w.ID)
	case w.Base > s.revision:
		return Outcome{}, errors.Errorf("withdrawal of %s has a future base", w.ID)
	}
	if w.Base == s.revision {
		s.withdrawn[w.ID] = true
	}
	if decided {
		return Outcome{}, errors.Errorf("proposal %s is already refused", w.ID)
	}
	res := Result{ID: w.ID, Base: w.Base, Offset: r.Offset, Time: r.Time}
	if w.Base == s.revision {
		return s.refuse(res, Withdrawn, nil)
	}
	if id, _ := s.winner(w.Base); id == "" {
		// The proposal may have been accepted and be no longer in the history.
		return Outcome{}, errors.Errorf("withdrawal of %s: the history does not contain the proposal accepted for its base", w.ID)
	}
	return s.refuseStale(res, Withdrawn)
}
