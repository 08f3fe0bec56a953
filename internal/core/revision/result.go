package revision

import (
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// Reason is the reason for which a proposal was refused.
type Reason uint8

// Reason values.
const (
	// NotRefused is the reason of an accepted proposal.
	NotRefused Reason = iota
	// StaleBase: the base is lower than the active revision, because another
	// proposal for the same base precedes this one in the log.
	StaleBase
	// FutureBase: the base is higher than the active revision.
	FutureBase
	// Withdrawn: a withdrawal precedes the proposal in the log.
	Withdrawn
	// InvalidDocument: the delta cannot be applied or the resulting document is
	// invalid.
	InvalidDocument
	// ContentHashMismatch: the resulting document differs from the one that its
	// author approved.
	ContentHashMismatch
	reasonCount
)

// Valid reports whether r is a known reason.
func (r Reason) Valid() bool { return r < reasonCount }

// String returns r in words, such as "stale base", or "unknown" if r is not valid.
func (r Reason) String() string {
	if !r.Valid() {
		return "unknown"
	}
	return [...]string{"none", "stale base", "future base", "withdrawn", "invalid document", "wrong content hash"}[r]
}

// Result is the decision on one proposal.
type Result struct {
	ID       string
	Base     uint64
	Accepted bool
	// Revision and Chain are the revision number and chain hash that an accepted
	// proposal led to.
	Revision uint64
	Chain    document.Hash
	// Offset and Time are those of the record that caused the decision.
	Offset int64
	Time   time.Time
	Reason Reason
	// Winner is the ID of the proposal that was accepted for the same base, and
	// WinnerRevision its revision. Both are zero if it is no longer in the
	// history.
	Winner         string
	WinnerRevision uint64
	// Detail is the validation error, truncated to maxDetailBytes.
	Detail string
	Author string
	Note   string
}

const (
	// MaxResults limits the length of the history; at 5,300 changes a day it
	// covers 4.6 hours.
	MaxResults = 1024
	// maxDetailBytes limits Result.Detail to keep snapshots small.
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

// findAccepted returns the result of the proposal that became the given
// revision, if it is still in the history.
func (h *history) findAccepted(revision uint64) (Result, bool) {
	for i := len(h.list) - 1; i >= 0; i-- {
		if r := h.list[i]; r.Accepted && r.Revision <= revision {
			return r, r.Revision == revision
		}
	}
	return Result{}, false
}

// truncateDetail limits s to maxDetailBytes and removes invalid UTF-8, which the
// encoding of a snapshot does not allow.
func truncateDetail(s string) string {
	if len(s) > maxDetailBytes {
		s = s[:maxDetailBytes]
	}
	return strings.ToValidUTF8(s, "")
}
