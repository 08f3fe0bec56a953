package ticket

import (
	"container/heap"
	"errors"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// Errors of a hand-over at the successor.
var (
	// ErrNotSuccessor: another incarnation was named. It is final: that one may
	// have admitted tickets before it ended.
	ErrNotSuccessor = errors.New("ticket: this incarnation is not the named successor")
	// ErrImportFull: there is no room for so many tickets.
	ErrImportFull = errors.New("ticket: no room to take over so many tickets")
	// ErrNotImported: the hand-over is not complete yet; send its chunks first.
	ErrNotImported = errors.New("ticket: the hand-over is not complete")
	ErrBadChunk    = errors.New("ticket: malformed chunk of a hand-over")
)

// importState is a hand-over from one leaving incarnation.
type importState struct {
	to     Issuer
	count  int
	chunks map[int]Chunk
	// entries and bytes count what the chunks hold until the import is complete.
	entries, bytes int
	complete       bool
	// forget is when the state may be dropped: for a complete import when all
	// its tickets have expired, else when the leaving host has surely given up.
	forget time.Time
}

// Import takes a chunk. The hand-over takes effect with the last missing chunk;
// complete is then true, and for every repeat after it.
func (t *Table) Import(now time.Time, c Chunk) (complete bool, err error) {
	t.advance(now)
	im := t.imports[c.From]
	if im != nil && im.to == c.To {
		if _, known := im.chunks[c.Index]; known || im.complete {
			return im.complete, nil
		}
	}
	if err := t.importable(c, im); err != nil {
		return false, err
	}
	if im == nil {
		im = &importState{to: c.To, count: c.Count, chunks: map[int]Chunk{}, forget: t.now.Add(t.cfg.Lifetime)}
		t.imports[c.From] = im
	}
	t.hold(im, c)
	if len(im.chunks) == im.count {
		t.takeOver(c.From, im)
	}
	return im.complete, nil
}

// hold stores a chunk, without the responses for which there is no room.
func (t *Table) hold(im *importState, c Chunk) {
	c.Entries = slices.Clone(c.Entries)
	for i := range c.Entries {
		x := &c.Entries[i]
		x.Response = t.kept(x.Response)
		im.bytes += x.Response.size()
		t.bytes += x.Response.size()
	}
	im.chunks[c.Index] = c
	im.entries += len(c.Entries)
}

// release gives up the chunks that an import holds.
func (t *Table) release(im *importState) {
	t.bytes -= im.bytes
	im.bytes, im.entries, im.chunks = 0, 0, nil
}

// importable checks a chunk before it is stored.
func (t *Table) importable(c Chunk, im *importState) error {
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
	tickets, entries := t.taken(), len(c.Entries)
	for _, i := range c.Issuers {
		if i.Outstanding < 0 {
			return ErrBadChunk
		}
		tickets += i.Outstanding
	}
	for _, pending := range t.imports {
		entries += pending.entries
	}
	// A chunk holds at least one entry unless it is the only one.
	if max(tickets, entries, c.Count) > t.cfg.MaxImported {
		return ErrImportFull
	}
	return nil
}

// taken counts tickets that were taken over.
func (t *Table) taken() int {
	n := 0
	for id, i := range t.issuers {
		if id != t.self {
			n += i.outstanding
		}
	}
	return n
}

// takeOver puts a complete hand-over into effect. An issuer that this table
// already knows is left alone: what it knows about it is not older.
func (t *Table) takeOver(from Issuer, im *importState) {
	im.complete = true
	im.forget = time.Time{}
	chunks := im.chunks
	t.release(im)
	added := map[Issuer]bool{}
	for _, x := range chunks[0].Issuers {
		im.forget = later(im.forget, x.LastExpiry)
		if t.issuers[x.Issuer] != nil {
			continue
		}
		added[x.Issuer] = true
		i := &issuer{key: x.Key, right: lapsed, horizon: x.Horizon, lastExpiry: x.LastExpiry, outstanding: x.Outstanding}
		if x.Admits {
			i.right = admits
		}
		t.issuers[x.Issuer] = i
	}
	for index := range im.count {
		for _, x := range chunks[index].Entries {
			if added[x.ID.Issuer] {
				t.insert(from, x)
			}
		}
	}
}

// insert adds an entry that was handed over.
func (t *Table) insert(from Issuer, x ExportedEntry) {
	if t.past(x.Expiry) || t.entries[x.ID] != nil {
		return
	}
	e := &entry{
		id: x.ID, expiry: x.Expiry, fingerprint: x.Fingerprint,
		state: x.State, run: x.Run, response: t.kept(x.Response),
	}
	if x.State == outcome.Pending {
		e.at = from
	}
	t.bytes += e.response.size()
	t.entries[x.ID] = e
	heap.Push(&t.expiries, e)
}

// ApplyUpdate takes outcomes of requests that ran at the leaving host. Repeats
// have no effect: an entry that does not run there any more stays as it is.
func (t *Table) ApplyUpdate(now time.Time, u Update) error {
	t.advance(now)
	im := t.imports[u.From]
	switch {
	case im != nil && im.to != u.To, im == nil && u.To != t.self:
		return ErrNotSuccessor
	case im == nil || !im.complete:
		return ErrNotImported
	}
	for _, x := range u.Entries {
		e := t.entries[x.ID]
		if e != nil && e.at == u.From && x.State != outcome.Pending {
			t.setEnded(e, Completion{Outcome: x.State, Response: x.Response})
		}
	}
	return nil
}

// Lost ends the requests that run at a leaving host which is gone: their
// outcomes stay unknown.
func (t *Table) MarkLost(now time.Time, leaver Issuer) {
	t.advance(now)
	for _, e := range t.entries {
		if leaver != (Issuer{}) && e.at == leaver {
			t.setEnded(e, Completion{Outcome: outcome.Unknown})
		}
	}
}
