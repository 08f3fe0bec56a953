package ticket

import (
	"errors"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Errors of a Table.
var (
	// ErrFull: too many unexpired tickets, or too many stored bytes.
	ErrFull = errors.New("ticket: the table is full")
	// ErrClosed: the table has stopped admitting for good.
	ErrClosed = errors.New("ticket: the table is closed")
)

// Table issues the tickets of one incarnation, admits them and stores their
// outcomes.
type Table struct {
	cfg  Config
	self Issuer
	// now is the latest time seen; it never moves back.
	now     time.Time
	serial  uint64
	issuers map[Issuer]*issuer
	entries map[ID]*entry
	// expiries orders the entries by expiry.
	expiries expiryHeap
	// issued counts unexpired tickets by expiry, oldest first.
	issued      []batch
	outstanding int
	bytes       int
	closed      bool
	handover    *handover
	imports     map[Issuer]*importState
}

// right tells who may admit an issuer's tickets.
type right int

const (
	// admits: this table does.
	admits right = iota
	// passed: the successor does, or nobody if there is none.
	passed
	// lapsed: nobody does.
	lapsed
)

// issuer is what a table knows about an incarnation whose tickets it holds.
type issuer struct {
	key   Key
	right right
	// horizon is a time by which an earlier holder may have dropped outcomes.
	horizon time.Time
	// lastExpiry is the latest expiry of its tickets.
	lastExpiry time.Time
	// outstanding is the number of unexpired tickets when it was taken over.
	outstanding int
}

type batch struct {
	expiry time.Time
	n      int
}

// New returns the table of an incarnation. The key must be random and must not
// leave the process except by Export.
func New(cfg Config, self Issuer, key Key, now time.Time) *Table {
	t := &Table{
		cfg: cfg, now: now.Round(0),
		issuers: map[Issuer]*issuer{}, entries: map[ID]*entry{}, imports: map[Issuer]*importState{},
	}
	t.become(self, key)
	return t
}

// become starts to issue as an incarnation.
func (t *Table) become(self Issuer, key Key) {
	t.self = self
	t.issuers[self] = &issuer{key: key}
}

// Self returns the incarnation that the table issues for.
func (t *Table) Self() Issuer { return t.self }

// Issue returns up to n new tickets: fewer when the table gets full, and
// ErrFull when there is room for none.
func (t *Table) Issue(now time.Time, n int) ([]Ticket, error) {
	t.advance(now)
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
	// Rounded up to the resolution of the encoding.
	expiry := time.UnixMilli(t.now.Add(t.cfg.Lifetime).UnixMilli() + 1)
	own.lastExpiry = expiry
	t.issued = append(t.issued, batch{expiry, n})
	t.outstanding += n
	list := make([]Ticket, n)
	for i := range list {
		t.serial++
		list[i] = Ticket{ID: ID{t.self, t.serial}, Expiry: expiry}.sign(own.key)
	}
	return list, nil
}

// Resume must be called after a pause of the process, before anything else. The
// table issues as a new incarnation and never again admits tickets of earlier
// ones, nor tickets that were taken over: tickets never admitted are not run.
// A closed table stays closed.
func (t *Table) Resume(now time.Time, incarnation ident.Incarnation, key Key) error {
	t.advance(now)
	if t.closed {
		return ErrClosed
	}
	if incarnation <= t.self.Incarnation {
		return errors.New("ticket: a new incarnation must be higher")
	}
	for _, i := range t.issuers {
		i.right = lapsed
	}
	for from, im := range t.imports {
		if !im.complete {
			t.release(im)
			delete(t.imports, from)
		}
	}
	t.become(Issuer{t.self.Host, incarnation}, key)
	return nil
}

// Usage is how full a table is.
type Usage struct {
	// Outstanding counts unexpired tickets issued here.
	Outstanding int
	// Entries counts admitted tickets, including taken over ones.
	Entries int
	// Bytes counts stored responses.
	Bytes int
}

// Usage returns how full the table is.
func (t *Table) Usage() Usage {
	return Usage{Outstanding: t.outstanding, Entries: len(t.entries), Bytes: t.bytes}
}

// Tick drops what has expired.
func (t *Table) Tick(now time.Time) { t.advance(now) }
