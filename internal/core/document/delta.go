package document

import (
	"bytes"
	"sort"

	"github.com/pkg/errors"
)

// Delta is the set of section changes between two section sets.
type Delta struct {
	// Changed holds the added and modified sections in key order.
	Changed []Section
	// Deleted holds the keys of removed sections in key order.
	Deleted []string
}

// Diff returns the delta that transforms a into b.
func Diff(a, b SectionSet) Delta {
	var d Delta
	forEachChange(a, b, func(before, after *entry) {
		if after == nil {
			d.Deleted = append(d.Deleted, before.Key)
			return
		}
		d.Changed = append(d.Changed, after.Section)
	})
	return d
}

// forEachChange calls visit for every section that differs between a and b, in key
// order. The argument before is nil for an added section, after for a removed one.
func forEachChange(a, b SectionSet, visit func(before, after *entry)) {
	i, j := 0, 0
	for i < len(a.entries) || j < len(b.entries) {
		switch {
		case j == len(b.entries) || (i < len(a.entries) && a.entries[i].Key < b.entries[j].Key):
			visit(a.entries[i], nil)
			i++
		case i == len(a.entries) || b.entries[j].Key < a.entries[i].Key:
			visit(nil, b.entries[j])
			j++
		default:
			if !a.entries[i].equal(b.entries[j]) {
				visit(a.entries[i], b.entries[j])
			}
			i++
			j++
		}
	}
}

func (e *entry) equal(o *entry) bool {
	return e == o || (e.hash == o.hash && bytes.Equal(e.Data, o.Data))
}

// Apply returns set with the delta applied. It returns an error if the delta
// names a section twice or deletes a missing one. A NewerFormatError takes
// precedence over errors in other sections.
func Apply(set SectionSet, d Delta) (SectionSet, error) {
	changes, err := d.entries()
	if err != nil {
		return SectionSet{}, err
	}
	merged := make([]*entry, 0, len(set.entries)+len(d.Changed))
	rest := set.entries
	for _, c := range changes {
		n := sort.Search(len(rest), func(i int) bool { return rest[i].Key >= c.Key })
		merged = append(merged, rest[:n]...)
		rest = rest[n:]
		present := len(rest) > 0 && rest[0].Key == c.Key
		if present {
			rest = rest[1:]
		}
		if c.value != nil {
			merged = append(merged, c)
		} else if !present {
			return SectionSet{}, errors.Errorf("section %s: deleted but not present", c.Key)
		}
	}
	return newHashedSet(append(merged, rest...)), nil
}

// entries returns the changes sorted by key. An entry without a value is a
// deletion.
func (d Delta) entries() ([]*entry, error) {
	set, err := NewSectionSet(d.Changed)
	if err != nil {
		return nil, err
	}
	list := set.entries
	for _, k := range d.Deleted {
		list = append(list, &entry{Section: Section{Key: k}})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	for i := 1; i < len(list); i++ {
		if list[i].Key == list[i-1].Key {
			return nil, errors.Errorf("section %s: named twice in the delta", list[i].Key)
		}
	}
	return list, nil
}
