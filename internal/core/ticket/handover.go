package ticket

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// Errors of a handover on the leaving host.
var (
	ErrSuccessorConflict = errors.New("ticket: table was closed with a different successor")
	ErrNoSuccessor       = errors.New("ticket: table was closed without a successor")
	ErrNotClosed         = errors.New("ticket: table is not closed")
	ErrUnknownChunk      = errors.New("ticket: chunk index out of range")
)

// ExportedIssuer is an issuer whose tickets are part of a handover.
type ExportedIssuer struct {
	Issuer Issuer
	Key    Key
	// Admits reports whether the successor may admit tickets of the issuer.
	Admits      bool
	Horizon     time.Time
	LastExpiry  time.Time
	Outstanding int
}

// ExportedEntry is an admitted ticket in a handover. State is Pending while the
// request runs on the leaving host.
type ExportedEntry struct {
	ID          ID
	Expiry      time.Time
	Fingerprint Fingerprint
	State       outcome.Outcome
	Run         uint32
	Response    *Response
}

// Chunk is a part of the snapshot that a handover transfers.
type Chunk struct {
	From, To Issuer
	// Index is between 0 and Count-1.
	Index, Count int
	// Issuers is set in the first chunk only.
	Issuers []ExportedIssuer
	Entries []ExportedEntry
}

// Update transfers outcomes of requests that were running on the leaving host
// when its table was closed. First is the number of the first entry, counted from
// 0 over all updates.
type Update struct {
	From, To Issuer
	First    int
	Entries  []ExportedEntry
}

// handover is the state of a handover on the leaving host.
type handover struct {
	from, to Issuer
	issuers  []ExportedIssuer
	// chunks is the snapshot that Close took.
	chunks [][]ExportedEntry
	// completed holds the outcomes recorded since Close that the successor has
	// not acknowledged.
	completed []ExportedEntry
	// acknowledged is the number of outcomes that the successor has acknowledged.
	acknowledged int
}

// Close permanently stops issuing and admitting tickets and sets the only
// successor. Without a successor (the zero Issuer), requests whose tickets were
// never admitted are reported as not run. A repeated call with the same successor
// has no effect.
func (t *Table) Close(now time.Time, successor Issuer) error {
	t.advanceTime(now)
	if t.closed {
		if t.successor() != successor {
			return ErrSuccessorConflict
		}
		return nil
	}
	if successor == t.self {
		return errors.New("ticket: successor is the table's own incarnation")
	}
	t.closed = true
	if successor != (Issuer{}) {
		t.handover = t.takeSnapshot(successor)
	}
	for _, i := range t.issuers {
		if i.authority == authorityHeld {
			i.authority = authorityTransferred
		}
	}
	return nil
}

// successor returns the successor set by Close, or the zero Issuer.
func (t *Table) successor() Issuer {
	if t.handover == nil {
		return Issuer{}
	}
	return t.handover.to
}

// takeSnapshot returns a handover with a snapshot of the table, in sorted order.
func (t *Table) takeSnapshot(successor Issuer) *handover {
	h := &handover{from: t.self, to: successor}
	for id, i := range t.issuers {
		outstanding := i.outstanding
		if id == t.self {
			outstanding = t.outstanding
		}
		h.issuers = append(h.issuers, ExportedIssuer{
			Issuer: id, Key: i.key, Admits: i.authority == authorityHeld,
			Horizon: latestTime(t.now, i.horizon), LastExpiry: i.lastExpiry, Outstanding: outstanding,
		})
	}
	slices.SortFunc(h.issuers, func(a, b ExportedIssuer) int { return compareIssuers(a.Issuer, b.Issuer) })
	var entries []ExportedEntry
	for _, e := range t.entries {
		entries = append(entries, exportEntry(e))
	}
	slices.SortFunc(entries, func(a, b ExportedEntry) int { return compareIDs(a.ID, b.ID) })
	h.chunks = splitChunks(entries, t.cfg.MaxChunkBytes)
	return h
}

func latestTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func compareIssuers(a, b Issuer) int {
	if c := strings.Compare(string(a.Host), string(b.Host)); c != 0 {
		return c
	}
	return compare(uint64(a.Incarnation), uint64(b.Incarnation))
}

func compareIDs(a, b ID) int {
	if c := compareIssuers(a.Issuer, b.Issuer); c != 0 {
		return c
	}
	return compare(a.Serial, b.Serial)
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func exportEntry(e *entry) ExportedEntry {
	return ExportedEntry{
		ID: e.id, Expiry: e.expiry, Fingerprint: e.fingerprint,
		State: e.state, Run: e.run, Response: e.response,
	}
}

// entryOverhead is the estimated size in bytes of an encoded entry without host
// ID and response.
const entryOverhead = 160

// splitChunks splits entries into chunks of at most maxBytes, unless a single
// entry is larger. It returns at least one chunk, which may be empty.
func splitChunks(entries []ExportedEntry, maxBytes int) [][]ExportedEntry {
	var chunks [][]ExportedEntry
	start, size := 0, 0
	for i, e := range entries {
		n := entryOverhead + len(e.ID.Issuer.Host) + e.Response.size()
		if i > start && size+n > maxBytes {
			chunks = append(chunks, entries[start:i])
			start, size = i, 0
		}
		size += n
	}
	return append(chunks, entries[start:])
}

// ChunkCount returns the number of chunks of the handover, or 0 without one.
func (t *Table) ChunkCount() int {
	if t.handover == nil {
		return 0
	}
	return len(t.handover.chunks)
}

// Export returns a chunk of the snapshot that Close took. Calls with the same
// index return the same chunk.
func (t *Table) Export(index int) (Chunk, error) {
	h := t.handover
	switch {
	case !t.closed:
		return Chunk{}, ErrNotClosed
	case h == nil:
		return Chunk{}, ErrNoSuccessor
	case index < 0 || index >= len(h.chunks):
		return Chunk{}, ErrUnknownChunk
	}
	c := Chunk{From: h.from, To: h.to, Index: index, Count: len(h.chunks), Entries: h.chunks[index]}
	if index == 0 {
		c.Issuers = h.issuers
	}
	return c, nil
}

// NextUpdate returns the oldest outcomes since Close that are not acknowledged,
// up to the size of a chunk. It returns false if there are none.
func (t *Table) NextUpdate() (u Update, ok bool) {
	h := t.handover
	if h == nil || len(h.completed) == 0 {
		return Update{}, false
	}
	entries := splitChunks(h.completed, t.cfg.MaxChunkBytes)[0]
	return Update{From: h.from, To: h.to, First: h.acknowledged, Entries: entries}, true
}

// Acknowledge removes the outcomes of an update that the successor has applied.
func (t *Table) Acknowledge(u Update) {
	h := t.handover
	if h == nil || u.From != h.from || u.First != h.acknowledged || len(u.Entries) > len(h.completed) {
		return
	}
	h.completed = h.completed[len(u.Entries):]
	h.acknowledged += len(u.Entries)
}

// RunningRequests returns the number of requests that run on this host. A leaving
// host waits for them to complete.
func (t *Table) RunningRequests() int {
	n := 0
	for _, e := range t.entries {
		if e.state == outcome.Pending && e.runsAt == (Issuer{}) {
			n++
		}
	}
	return n
}
