package revision

import (
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// Reason tells why a proposal was refused.
type Reason uint8

// Reasons of a refusal.
const (
	// NotRefused is the reason of an accepted proposal.
	NotRefused Reason = iota
	// StaleBase: another proposal for the same base came first in the log.
	StaleBase
	// FutureBase: the base is higher than the active revision.
	FutureBase
	// Withdrawn: a withdrawal came first in the log.
	Withdrawn
	// InvalidDocument: the delta doesn't apply or the result is not valid.
	InvalidDocument
	// WrongContentHash: the result differs from what its author approved.
	ContentHashMismatch
	reasonCount
)

// Valid reports whether r is a known reason.
func (r Reason) Valid() bool { return r < reasonCount }

// String returns the reason in words.
func (r Reason) String() string {
	if !r.Valid() {
		return "unknown"
	}
	return [...]string{"none", "stale base", "future base", "withdrawn", "invalid document", "wrong content hash"}[r]
}

// Result is the decision about one proposal.
type Result struct {
	ID       string
	Base     uint64
	Accepted bool
	// Revision and Chain are those of the accepted proposal.
	Revision uint64
	Chain    document.Hash
	// Offset and Time are those of the record that decided.
	Offset int64
	Time   time.Time
	Reason Reason
	// Winner is the proposal that was accepted for the same base, and
	// WinnerRevision its revision; empty when it is no longer in the history.
	Winner         string
	WinnerRevision uint64
	// Detail is the validation error, cut to maxDetailBytes.
	Detail string
	Author string
	Note   string
}

const (
	// MaxResults bounds the history; at 5,300 changes a day it covers 4.6 hours.
	MaxResults = 1024
	// maxDetailBytes keeps snapshots small.
	maxDetailBytes = 200
)

// history keeps the newest results, oldest first.
type history struct {
	list []Result
	byID map[string]Result
}

func newHistory(list []Result) history {
	h := history{byID: map[string]Result{}}
	for _, r := range list {
		h.add(r)
	}
	return h
}

func (h *history) add(r Result) {
	h.list = append(h.list, r)
	h.byID[r.ID] = r
	if len(h.list) > MaxResults {
		delete(h.byID, h.list[0].ID)
		h.list = h.list[1:]
	}
}

// accepted returns the proposal that became a revision, if it is kept.
func (h *history) accepted(revision uint64) (Result, bool) {
	for i := len(h.list) - 1; i >= 0; i-- {
		if r := h.list[i]; r.Accepted && r.Revision <= revision {
			return r, r.Revision == revision
		}
	}
	return Result{}, false
}

// cut returns valid UTF-8, which the encoding of a snapshot requires.
func cut(s string) string {
	if len(s) > maxDetailBytes {
		s = s[:maxDetailBytes]
	}
	return strings.ToValidUTF8(s, "")
}
