package registry

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

const (
	// outageHold is how long targets removed around an outage of the store, or missing in a
	// full list because their records were overwritten, remain usable as a last resort. They
	// are registered again within about two seconds.
	outageHold = 2200 * time.Millisecond
	// removalHold is how long a target that was removed while the store was available
	// is still usable, as a removed target (see Entry.RemovedAt). It may serve requests
	// for a short time after its removal.
	removalHold = 500 * time.Millisecond
	// tombstoneTTL is how long a removal is kept so that other hosts learn of it.
	tombstoneTTL = 5 * time.Minute
)

// Entry is the state of one target.
type Entry struct {
	Target
	// Position is the position of the last record that changed the entry.
	Position Position
	// WarmUntil is the end of the target's warm-up, during which it is slow.
	WarmUntil time.Time
	// RemovedAt is the time at which the removal of the target was observed, zero while
	// it is registered. A removed target stays usable until heldUntil, if that is set.
	RemovedAt time.Time
	heldUntil time.Time
	// removedEra is the era in which the target was removed.
	removedEra uint64
	// overwritten is set while the store does not show the entry as its key's newest record,
	// because that one cannot be decoded or is an older one that a rollback brought back. The
	// entry stays in force until the next valid record or removal. A host that reads the list of
	// newest records meanwhile cannot know the entry, so the next valid record counts as a change
	// even if it equals the entry. With RemovedAt, no earlier record is known.
	overwritten bool
}

// rolledBack reports whether a record shows a target as it was before its removal: the store
// was rolled back to a copy that lacks the removal, or what it lost is written again.
func (e *Entry) rolledBack(r TargetRecord) bool {
	return !e.RemovedAt.IsZero() && r.Position.Era > e.removedEra && e.StartUnixMilli != 0 &&
		r.Target.StartUnixMilli == e.StartUnixMilli && r.Target.Service == e.Service && r.Target.Sequence <= e.Sequence
}

// Targets is the set of known targets. It is not safe for concurrent use.
//
// A set holds the effect of every record before its position, except of those that a rollback of
// the store brought back and that the set knows to be outdated. LastChange is before the
// position, and no record between the two changed a target. Other hosts rely on both: equal
// last changes mean equal sets, and a set that has a last change holds all changes up to it.
type Targets struct {
	entries map[ident.TargetID]*Entry
	// position is the position in the store of the next record to read.
	position Position
	// changed is the latest position of a record that changed an entry, noPosition before
	// the first one. It may exceed position, see LastChange.
	changed Position
	// removalsSince is the position from which the set holds every removal. A target that was
	// removed before may be missing without a trace.
	removalsSince Position
	// outageUntil is the time until which a removal may be the expiry of an entry
	// during an outage of the store.
	outageUntil time.Time
}

// NewTargets returns an empty set.
func NewTargets() *Targets {
	return &Targets{entries: map[ident.TargetID]*Entry{}, changed: noPosition}
}

// Position returns the position in the store of the next record to read.
func (t *Targets) Position() Position { return t.position }

// LastChange returns the position of the last record that changed an entry. Sets with the
// same value are equal. An entry of a full list may be newer than the position of the set;
// it does not count, because other changes before it may be missing.
func (t *Targets) LastChange() Position {
	if last := t.position.Previous(); last.Before(t.changed) {
		return last
	}
	return t.changed
}

// MarkStoreUnavailable records that the store was unavailable at a time.
func (t *Targets) MarkStoreUnavailable(now time.Time) { t.outageUntil = now.Add(outageHold) }

// Apply applies the store records from the position start up to the position end, and reports
// whether anything changed. It returns an error and applies nothing if records between the
// position of the set and start are missing, or if the records are of an earlier era.
func (t *Targets) Apply(now time.Time, start Position, records []TargetRecord, end Position) (changed bool, err error) {
	if t.position.Before(start) || start.Era != t.position.Era {
		return false, &MissingRecordsError{Position: t.position, Start: start}
	}
	for _, r := range records {
		if r.Position.Before(t.position) {
			continue
		}
		changed = t.apply(now, r) || changed
	}
	t.position = t.position.Later(end)
	return changed, nil
}

// MissingRecordsError is returned by Targets.Apply and Targets.Merge if records are missing.
type MissingRecordsError struct {
	// Position is that of the first record that the set may lack, and Start that of the first
	// record to apply.
	Position, Start Position
}

// Error implements error.
func (e *MissingRecordsError) Error() string {
	return fmt.Sprintf("registry: the records from %s to %s are missing", e.Position, e.Start)
}

// Replace replaces the set by the newest record of every target, read from the store at
// the position end. Targets without a record are removed. An end before the current
// position is ignored.
//
// The list does not show which record changed it last, as it lacks removals. Any record
// before end may have, so the last one counts as the last change.
func (t *Targets) Replace(now time.Time, records []TargetRecord, end Position) bool {
	return t.replace(now, Changes{Records: records, Full: true, Position: end, LastChange: end.Previous()})
}

// Restart prepares the set for a full list of another host of the same era or a later one, whose
// position may be before that of the set. The entries remain, so that records that are older
// than they are still recognized.
func (t *Targets) Restart() {
	t.position, t.changed, t.removalsSince = Position{Era: t.position.Era}, noPosition, Position{}
	for _, e := range t.entries {
		e.Position = noPosition
	}
}

// replace applies a full list.
func (t *Targets) replace(now time.Time, list Changes) bool {
	if list.Position.Before(t.position) {
		// This set holds all records before its position and so all that the list shows.
		t.changed = t.changed.Later(list.LastChange)
		return false
	}
	if list.Position.Era > t.position.Era && len(t.entries) > 0 {
		// The store may have lost the records of targets that are registered; they write
		// them again.
		t.MarkStoreUnavailable(now)
	}
	present, overwrittenAt := map[ident.TargetID]bool{}, map[ident.TargetID]Position{}
	changed := false
	for _, r := range list.Records {
		// A removal in the list of another host may be older than the entry here.
		present[r.ID] = r.Target != nil
		if r.Target == nil && r.Overwritten {
			// The target may have drained or have been removed before its key was
			// overwritten, so the entry here is not known to be the last valid one.
			overwrittenAt[r.ID] = r.Position
			if e := t.entries[r.ID]; e == nil || (!e.RemovedAt.IsZero() && e.Position.Before(r.Position)) {
				t.markOverwritten(now, r)
			}
			continue
		}
		changed = t.applyNewest(now, r) || changed
	}
	for id, e := range t.entries {
		if present[id] || !e.RemovedAt.IsZero() {
			continue
		}
		at, overwritten := overwrittenAt[id]
		changed = t.apply(now, TargetRecord{ID: id, Position: list.LastChange.Later(at)}) || changed
		if overwritten && !e.heldUntil.IsZero() {
			e.heldUntil = now.Add(outageHold)
		}
	}
	t.position = list.Position
	t.changed = t.changed.Later(list.LastChange)
	t.removalsSince = t.removalsSince.Later(list.LastChange.Next())
	return changed
}

// Changes is what a set holds beyond the last change of another one.
type Changes struct {
	Records []TargetRecord
	// Full is set if Records lists all targets: one without a record was removed. Otherwise
	// it lists those that changed after the position After.
	Full  bool
	After Position
	// Position and LastChange are those of the set that Records was taken from.
	Position, LastChange Position
}

// Merge applies the changes that another host's set holds beyond this one. Records with a
// later position in the store win. Those before the position are skipped: this set holds their
// effect, and a target that it lacks was removed since. It returns an error and applies
// nothing if changes between the last one of this set and the first one of c are missing.
func (t *Targets) Merge(now time.Time, c Changes) (changed bool, err error) {
	if c.Full {
		return t.replace(now, c), nil
	}
	if last := t.LastChange(); last.Before(c.After) {
		return false, &MissingRecordsError{Position: last.Next(), Start: c.After.Next()}
	}
	for _, r := range c.Records {
		if r.Position.Before(t.position) {
			continue
		}
		changed = t.applyNewest(now, r) || changed
	}
	t.position = t.position.Later(c.Position)
	t.changed = t.changed.Later(c.LastChange)
	return changed, nil
}

// applyNewest applies the newest record of a target, whose earlier ones this set may not have
// seen. The target may have changed between them even if the net result is equal to the entry
// here, so the entry counts as changed by the record.
func (t *Targets) applyNewest(now time.Time, r TargetRecord) bool {
	changed := t.apply(now, r)
	if e := t.entries[r.ID]; e != nil {
		e.Position = e.Position.Later(r.Position)
		t.changed = t.changed.Later(e.Position)
	}
	return changed
}

// apply applies one record and reports whether the result of Usable changed.
func (t *Targets) apply(now time.Time, r TargetRecord) bool {
	e := t.entries[r.ID]
	if e != nil && !e.Position.Before(r.Position) {
		return false
	}
	switch {
	case r.Target == nil && r.Overwritten:
		t.overwrite(now, e, r)
		return false
	case r.Target == nil:
		return t.remove(now, e, r)
	}
	if e != nil && (r.Target.olderThan(e.Target) || e.rolledBack(r)) {
		if e.RemovedAt.IsZero() && r.Position.Era > e.Position.Era && !e.overwritten && !e.Target.sameAs(*r.Target) {
			e.overwritten, e.Position = true, r.Position
			t.changed = t.changed.Later(r.Position)
		}
		return false
	}
	if e != nil && e.RemovedAt.IsZero() && e.Target.sameAs(*r.Target) {
		e.Sequence = r.Target.Sequence
		if e.overwritten != r.Overwritten {
			e.overwritten, e.Position = r.Overwritten, r.Position
			t.changed = t.changed.Later(r.Position)
		}
		return false
	}
	next := &Entry{Target: *r.Target, Position: r.Position, WarmUntil: now.Add(r.Target.WarmUpLeft), overwritten: r.Overwritten}
	t.entries[r.ID] = next
	t.changed = t.changed.Later(r.Position)
	return true
}

// overwrite applies a record that cannot be decoded. Only the first such record after a valid
// one counts as a change, so that a writer that repeats it causes no messages.
func (t *Targets) overwrite(now time.Time, e *Entry, r TargetRecord) {
	if e == nil || (e.RemovedAt.IsZero() && !e.overwritten) {
		t.markOverwritten(now, r)
	}
}

// markOverwritten records that the newest record of a key cannot be decoded. Of a key whose
// target is unknown, an entry is kept like that of a removed target, so that other hosts learn
// of it.
func (t *Targets) markOverwritten(now time.Time, r TargetRecord) {
	e := t.entries[r.ID]
	if e == nil {
		e = &Entry{Target: Target{ID: r.ID}, RemovedAt: now}
		t.entries[r.ID] = e
	}
	e.overwritten, e.Position = true, r.Position
	t.changed = t.changed.Later(r.Position)
}

func (t *Targets) remove(now time.Time, e *Entry, r TargetRecord) bool {
	t.changed = t.changed.Later(r.Position)
	if e == nil {
		// Keep a tombstone for other hosts that have the target.
		e = &Entry{Target: Target{ID: r.ID, Draining: r.Drained}, RemovedAt: now}
		t.entries[r.ID] = e
	}
	wasRemoved := !e.RemovedAt.IsZero()
	e.Position, e.overwritten = r.Position, false
	e.removedEra = max(r.Position.Era, r.RemovedEra)
	if r.Former != nil {
		e.removedEra = r.RemovedEra
		if e.StartUnixMilli == 0 || e.Target.olderThan(*r.Former) {
			// The removal is of this record, which the set may not have seen.
			e.Service, e.StartUnixMilli, e.Sequence = r.Former.Service, r.Former.StartUnixMilli, r.Former.Sequence
		}
	}
	if wasRemoved {
		return false
	}
	e.RemovedAt = now
	e.Draining = e.Draining || r.Drained
	switch {
	case e.Draining:
		// A target that drained before its removal is not held.
	case now.Before(t.outageUntil):
		e.heldUntil = t.outageUntil
	default:
		e.heldUntil = now.Add(removalHold)
	}
	return true
}

// Tick ends expired holds, deletes old tombstones and reports whether any hold ended.
func (t *Targets) Tick(now time.Time) bool {
	released := false
	for id, e := range t.entries {
		if e.RemovedAt.IsZero() {
			continue
		}
		if !e.heldUntil.IsZero() && !now.Before(e.heldUntil) {
			e.heldUntil = time.Time{}
			released = true
		}
		if now.Sub(e.RemovedAt) >= tombstoneTTL {
			delete(t.entries, id)
			t.removalsSince = t.removalsSince.Later(e.Position.Next())
		}
	}
	return released
}

// Usable returns the entries that may receive requests, ordered by ID: registered
// targets and removed targets that are still held.
func (t *Targets) Usable() []Entry {
	var list []Entry
	for _, e := range t.entries {
		if e.RemovedAt.IsZero() || !e.heldUntil.IsZero() {
			list = append(list, *e)
		}
	}
	sortEntries(list)
	return list
}

// Since returns, for another host, what this set holds beyond a last change of that host: the
// records of all entries that changed later, or of all entries if the set may lack removals
// since then. The remaining warm-up time is relative to now.
func (t *Targets) Since(now time.Time, lastChange Position) Changes {
	c := Changes{Full: lastChange.Before(t.removalsSince.Previous()), After: lastChange, Position: t.position, LastChange: t.LastChange()}
	for id, e := range t.entries {
		if !lastChange.Before(e.Position) && !c.Full {
			continue
		}
		r := TargetRecord{ID: id, Position: e.Position, Drained: !e.RemovedAt.IsZero() && e.Draining, Overwritten: e.overwritten}
		if e.RemovedAt.IsZero() {
			target := e.Target
			target.WarmUpLeft = max(0, e.WarmUntil.Sub(now))
			r.Target = &target
		} else if e.StartUnixMilli != 0 {
			former := e.Target
			r.Former, r.RemovedEra = &former, e.removedEra
		}
		c.Records = append(c.Records, r)
	}
	slices.SortFunc(c.Records, func(a, b TargetRecord) int { return a.Position.Compare(b.Position) })
	return c
}

func sortEntries(list []Entry) {
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
}
