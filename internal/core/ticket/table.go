package ticket

import (
	"errors"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Errors of a Table.
var (
	// ErrFull is returned when Config.MaxTickets or Config.MaxBytes is reached.
	ErrFull = errors.New("ticket: table is full")
	// ErrClosed is returned by operations that are not possible after
	// Table.Close.
	ErrClosed = errors.New("ticket: table is closed")
)

// Table issues and admits the tickets of one incarnation and stores their
// outcomes.
type Table struct {
	cfg  Config
	self Issuer
	// now is the latest time passed to the table; it never decreases.
	now     time.Time
	serial  uint64
	issuers map[Issuer]*issuer
	entries map[ID]*entry
	// expiries contains the entries ordered by expiry.
	expiries expiryHeap
	// issued contains the unexpired tickets issued by this table, grouped by
	// expiry, earliest first.
	issued      []issuedBatch
	outstanding int
	bytes       int
	closed      bool
	handover    *handover
	imports     map[Issuer]*importState
}

// authority is the right to admit an issuer's tickets, as seen by a table.
type authority int

const (
	// authorityHeld: this table may admit them.
	authorityHeld authority = iota
	// authorityTransferred: the successor may admit them, or no table if there
	// is no successor.
	authorityTransferred
	// authorityRevoked: no table may admit them.
	authorityRevoked
)

// issuer is the state of an incarnation whose tickets the table stores.
type issuer struct {
	key       Key
	authority authority
	// horizon is the time of the leaving table at handover. That table may have
	// removed the outcomes of tickets that expired up to then.
	horizon time.Time
	// lastExpiry is the latest expiry of the issuer's tickets.
	lastExpiry time.Time
	// outstanding is the number of unexpired tickets at import. It is 0 for
	// incarnations of the table itself.
	outstanding int
}

// issuedBatch is a number of tickets that were issued with the same expiry.
type issuedBatch struct {
	expiry time.Time
	count  int
}

// New returns the table of an incarnation. The key must be random and must not
// leave the process except through Export.
func New(cfg Config, self Issuer, key Key, now time.Time) *Table {
	t := &Table{
		cfg: cfg, now: now.Round(0),
		issuers: map[Issuer]*issuer{}, entries: map[ID]*entry{}, imports: map[Issuer]*importState{},
	}
	t.startIncarnation(self, key)
	return t
}

// startIncarnation makes the table issue tickets as the given incarnation.
func (t *Table) startIncarnation(self Issuer, key Key) {
	t.self = self
	t.issuers[self] = &issuer{key: key}
}

// Self returns the incarnation as which the table issues tickets.
func (t *Table) Self() Issuer { return t.self }

// Issue returns up to n new tickets. It returns fewer if the limit of tickets
// allows no more, and ErrFull if it cannot issue any.
func (t *Table) Issue(now time.Time, n int) ([]Ticket, error) {
	t.advanceTime(now)
	if t.closed {
		return nil, ErrClosed
	}
	if t.bytes >= t.cfg.MaxBytes {
		return nil, ErrFull
	}
	n = min(n, t.cfg.MaxTickets-t.outstanding)
	if n <= 0 {
		return nil, ErrFull
	}
	own := t.issuers[t.self]
	// Round up to the millisecond resolution of the encoding.
	expiry := time.UnixMilli(t.now.Add(t.cfg.Lifetime).UnixMilli() + 1)
	own.lastExpiry = expiry
	t.issued = append(t.issued, issuedBatch{expiry, n})
	t.outstanding += n
	list := make([]Ticket, n)
	for i := range list {
		t.serial++
		list[i] = Ticket{ID: ID{t.self, t.serial}, Expiry: expiry}.sign(own.key)
	}
	return list, nil
}

// Resume switches the table to a new incarnation. It must be called after the
// process was suspended, before any other method. Tickets of earlier incarnations
// and imported tickets are no longer admitted; requests whose tickets were never
// admitted are reported as not run. A closed table remains closed.
func (t *Table) Resume(now time.Time, incarnation ident.Incarnation, key Key) error {
	t.advanceTime(now)
	if t.closed {
		return ErrClosed
	}
	if incarnation <= t.self.Incarnation {
		return errors.New("ticket: new incarnation must be higher than the current one")
	}
	for _, i := range t.issuers {
		i.authority = authorityRevoked
	}
	for from, im := range t.imports {
		if !im.complete {
			t.releaseChunks(im)
			delete(t.imports, from)
		}
	}
	t.startIncarnation(Issuer{t.self.Host, incarnation}, key)
	return nil
}

// Usage contains the resources that a table uses.
type Usage struct {
	// Outstanding is the number of unexpired tickets issued by this table.
	Outstanding int
	// Entries is the number of admitted tickets, including imported ones.
	Entries int
	// Bytes is the size of the stored responses, including those in chunks of
	// incomplete imports.
	Bytes int
}

// Usage returns the resources that the table uses.
func (t *Table) Usage() Usage {
	return Usage{Outstanding: t.outstanding, Entries: len(t.entries), Bytes: t.bytes}
}

// Tick advances the time of the table and removes expired state.
func (t *Table) Tick(now time.Time) { t.advanceTime(now) }
