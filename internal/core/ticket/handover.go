package ticket

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// Errors of a hand-over at the leaving host.
var (
	ErrSuccessorConflict = errors.New("ticket: another successor was named before")
	ErrNoSuccessor    = errors.New("ticket: the table was closed without a successor")
	ErrNotClosed      = errors.New("ticket: the table still admits")
	ErrUnknownChunk        = errors.New("ticket: no such chunk")
)

// ExportedIssuer is an issuer whose tickets are handed over.
type ExportedIssuer struct {
	Issuer Issuer
	Key    Key
	// Admits tells that the successor may admit its tickets.
	Admits      bool
	Horizon     time.Time
	LastExpiry  time.Time
	Outstanding int
}

// ExportedEntry is an admitted ticket. Pending means that the request runs at
// the leaving host.
type ExportedEntry struct {
	ID          ID
	Expiry      time.Time
	Fingerprint Fingerprint
	State       outcome.Outcome
	Run         uint32
	Response    *Response
}

// Chunk is one part of a hand-over.
type Chunk struct {
	From, To Issuer
	// Index counts from 0 to Count-1.
	Index, Count int
	// Issuers is set in the first chunk.
	Issuers []ExportedIssuer
	Entries []ExportedEntry
}

// Update carries outcomes of requests that ran at the leaving host when it
// closed. First numbers the first entry, from 0.
type Update struct {
	From, To Issuer
	First    int
	Entries  []ExportedEntry
}

// handover is the leaving side.
type handover struct {
	from, to Issuer
	issuers  []ExportedIssuer
	// chunks is the frozen snapshot.
	chunks [][]ExportedEntry
	// ended holds outcomes since Close that were not acknowledged.
	ended []ExportedEntry
	// acked counts the acknowledged ones.
	acked int
}

// Close stops admitting and issuing for good and names the one successor. With
// no successor (the zero Issuer), tickets that were never admitted are not run.
// Repeats with the same successor have no effect.
func (t *Table) Close(now time.Time, successor Issuer) error {
	t.advance(now)
	if t.closed {
		if t.successor() != successor {
			return ErrSuccessorConflict
		}
		return nil
	}
	if successor == t.self {
		return errors.New("ticket: a table can't succeed itself")
	}
	t.closed = true
	if successor != (Issuer{}) {
		t.handover = t.freeze(successor)
	}
	for _, i := range t.issuers {
		if i.right == admits {
			i.right = passed
		}
	}
	return nil
}

// successor returns the named successor, zero if none.
func (t *Table) successor() Issuer {
	if t.handover == nil {
		return Issuer{}
	}
	return t.handover.to
}

// freeze takes the snapshot that is handed over.
func (t *Table) freeze(successor Issuer) *handover {
	h := &handover{from: t.self, to: successor}
	for id, i := range t.issuers {
		outstanding := i.outstanding
		if id == t.self {
			outstanding = t.outstanding
		}
		h.issuers = append(h.issuers, ExportedIssuer{
			Issuer: id, Key: i.key, Admits: i.right == admits,
			Horizon: later(t.now, i.horizon), LastExpiry: i.lastExpiry, Outstanding: outstanding,
		})
	}
	slices.SortFunc(h.issuers, func(a, b ExportedIssuer) int { return compareIssuers(a.Issuer, b.Issuer) })
	var entries []ExportedEntry
	for _, e := range t.entries {
		entries = append(entries, exportEntry(e))
	}
	slices.SortFunc(entries, func(a, b ExportedEntry) int { return compareIDs(a.ID, b.ID) })
	h.chunks = split(entries, t.cfg.MaxChunkBytes)
	return h
}

func later(a, b time.Time) time.Time {
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

// entryOverhead is an estimate of an encoded entry less host ID and response.
const entryOverhead = 160

// split cuts entries into chunks; there is always a first one.
func split(entries []ExportedEntry, maxBytes int) [][]ExportedEntry {
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

// Chunks returns the number of chunks of the hand-over, 0 if there is none.
func (t *Table) ChunkCount() int {
	if t.handover == nil {
		return 0
	}
	return len(t.handover.chunks)
}

// Export returns a chunk of the snapshot that Close took. Every call returns
// the same.
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

// Updates returns outcomes since Close that were not acknowledged, up to the
// size of a chunk; ok is false when there are none.
func (t *Table) NextUpdate() (u Update, ok bool) {
	h := t.handover
	if h == nil || len(h.ended) == 0 {
		return Update{}, false
	}
	entries := split(h.ended, t.cfg.MaxChunkBytes)[0]
	return Update{From: h.from, To: h.to, First: h.acked, Entries: entries}, true
}

// Acknowledge drops the entries of an update that the successor has applied.
func (t *Table) Acknowledge(u Update) {
	h := t.handover
	if h == nil || u.From != h.from || u.First != h.acked || len(u.Entries) > len(h.ended) {
		return
	}
	h.ended = h.ended[len(u.Entries):]
	h.acked += len(u.Entries)
}

// Running counts requests that run here, which a leaving host waits for.
func (t *Table) RunningRequests() int {
	n := 0
	for _, e := range t.entries {
		if e.state == outcome.Pending && e.at == (Issuer{}) {
			n++
		}
	}
	return n
}
