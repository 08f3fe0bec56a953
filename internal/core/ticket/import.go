package ticket

import (
	"container/heap"
	"errors"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// Errors of a handover on the successor.
var (
	// ErrNotSuccessor is returned when the handover is for another incarnation.
	// A retry cannot succeed: that incarnation may have admitted tickets
	// before it ended.
	ErrNotSuccessor = errors.New("ticket: handover is for another incarnation")
	// ErrImportFull is returned when an import would exceed Config.MaxImported.
	ErrImportFull = errors.New("ticket: import exceeds the ticket limit")
	// ErrNotImported is returned for an update that arrives before all chunks of
	// the handover were imported.
	ErrNotImported = errors.New("ticket: handover is not complete")
	ErrBadChunk    = errors.New("ticket: malformed handover chunk")
)

// importState is the state of a handover from one leaving incarnation.
type importState struct {
	to     Issuer
	count  int
	chunks map[int]Chunk
	// entries and bytes are the number of entries and the size of the responses
	// in chunks. They are 0 once the import is complete.
	entries, bytes int
	complete       bool
	// discardAt is when the state may be removed. For a complete import, this is when
	// all its tickets have expired. For an incomplete one, it is one ticket
	// lifetime after the first chunk, when the leaving host has stopped retrying.
	discardAt time.Time
}

// Import adds a chunk of a handover. The handover takes effect with the last
// missing chunk; from then on, Import returns true, also for repeated chunks.
func (t *Table) Import(now time.Time, c Chunk) (complete bool, err error) {
	t.advanceTime(now)
	im := t.imports[c.From]
	if im != nil && im.to == c.To {
		if _, known := im.chunks[c.Index]; known || im.complete {
			return im.complete, nil
		}
	}
	if err := t.validateChunk(c, im); err != nil {
		return false, err
	}
	if im == nil {
		im = &importState{to: c.To, count: c.Count, chunks: map[int]Chunk{}, discardAt: t.now.Add(t.cfg.Lifetime)}
		t.imports[c.From] = im
	}
	t.storeChunk(im, c)
	if len(im.chunks) == im.count {
		t.completeImport(c.From, im)
	}
	return im.complete, nil
}

// storeChunk adds a chunk to an import, without responses that exceed the limits.
func (t *Table) storeChunk(im *importState, c Chunk) {
	c.Entries = slices.Clone(c.Entries)
	for i := range c.Entries {
		x := &c.Entries[i]
		x.Response = t.storableResponse(x.Response)
		im.bytes += x.Response.size()
		t.bytes += x.Response.size()
	}
	im.chunks[c.Index] = c
	im.entries += len(c.Entries)
}

// releaseChunks removes the stored chunks of an import.
func (t *Table) releaseChunks(im *importState) {
	t.bytes -= im.bytes
	im.bytes, im.entries, im.chunks = 0, 0, nil
}

// validateChunk checks whether a chunk can be added to import im, which is nil for
// the first chunk to arrive.
func (t *Table) validateChunk(c Chunk, im *importState) error {
	switch {
	case c.To != t.self, im != nil && im.to != c.To:
		return ErrNotSuccessor
	case t.closed:
		return ErrClosed
	case c.From == c.To, c.Count <= 0, c.Index < 0, c.Index >= c.Count, (c.Index == 0) != (len(c.Issuers) > 0):
		return ErrBadChunk
	case im != nil && im.count != c.Count:
		return ErrBadChunk
	}
	tickets, entries := t.importedTickets(), len(c.Entries)
	for _, i := range c.Issuers {
		if i.Outstanding < 0 {
			return ErrBadChunk
		}
		tickets += i.Outstanding
	}
	for _, pending := range t.imports {
		entries += pending.entries
	}
	// Each chunk contains at least one entry unless it is the only chunk, so
	// the limit applies to c.Count too.
	if max(tickets, entries, c.Count) > t.cfg.MaxImported {
		return ErrImportFull
	}
	return nil
}

// importedTickets returns the number of tickets imported from other issuers.
func (t *Table) importedTickets() int {
	n := 0
	for id, i := range t.issuers {
		if id != t.self {
			n += i.outstanding
		}
	}
	return n
}

// completeImport applies a handover whose chunks have all arrived. Issuers that
// are already in the table are skipped, because the state in the table is at least
// as recent.
func (t *Table) completeImport(from Issuer, im *importState) {
	im.complete = true
	im.discardAt = time.Time{}
	chunks := im.chunks
	t.releaseChunks(im)
	added := map[Issuer]bool{}
	for _, x := range chunks[0].Issuers {
		im.discardAt = latestTime(im.discardAt, x.LastExpiry)
		if t.issuers[x.Issuer] != nil {
			continue
		}
		added[x.Issuer] = true
		i := &issuer{key: x.Key, authority: authorityRevoked, horizon: x.Horizon, lastExpiry: x.LastExpiry, outstanding: x.Outstanding}
		if x.Admits {
			i.authority = authorityHeld
		}
		t.issuers[x.Issuer] = i
	}
	for index := range im.count {
		for _, x := range chunks[index].Entries {
			if added[x.ID.Issuer] {
				t.insertImported(from, x)
			}
		}
	}
}

// insertImported adds an entry of a handover.
func (t *Table) insertImported(from Issuer, x ExportedEntry) {
	if t.expired(x.Expiry) || t.entries[x.ID] != nil {
		return
	}
	e := &entry{
		id: x.ID, expiry: x.Expiry, fingerprint: x.Fingerprint,
		state: x.State, run: x.Run, response: t.storableResponse(x.Response),
	}
	if x.State == outcome.Pending {
		e.runsAt = from
	}
	t.bytes += e.response.size()
	t.entries[x.ID] = e
	heap.Push(&t.expiries, e)
}

// ApplyUpdate records outcomes of requests that ran on the leaving host. A
// repeated update has no effect: entries that no longer run on the leaving host are
// not changed.
func (t *Table) ApplyUpdate(now time.Time, u Update) error {
	t.advanceTime(now)
	im := t.imports[u.From]
	switch {
	case im != nil && im.to != u.To, im == nil && u.To != t.self:
		return ErrNotSuccessor
	case im == nil || !im.complete:
		return ErrNotImported
	}
	for _, x := range u.Entries {
		e := t.entries[x.ID]
		if e != nil && e.runsAt == u.From && x.State != outcome.Pending {
			t.recordCompletion(e, Completion{Outcome: x.State, Response: x.Response})
		}
	}
	return nil
}

// MarkLost completes the requests that run on a leaving incarnation that has
// stopped, with outcome Unknown.
func (t *Table) MarkLost(now time.Time, leavingIncarnation Issuer) {
	t.advanceTime(now)
	for _, e := range t.entries {
		if leavingIncarnation != (Issuer{}) && e.runsAt == leavingIncarnation {
			t.recordCompletion(e, Completion{Outcome: outcome.Unknown})
		}
	}
}
