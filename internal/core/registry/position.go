package registry

import (
	"cmp"
	"fmt"
)

// Position identifies a record of the store. The store increases the era each time it comes back
// from a copy that lacks acknowledged records. It then assigns the same offsets again, so offsets
// are comparable only within an era. The era of a store that states none is 0.
type Position struct {
	Era    uint64
	Offset int64
}

// noPosition precedes the positions of all records.
var noPosition = Position{Offset: -1}

// Compare orders positions by era and offset. It returns a negative number if p precedes o, 0 if
// both are equal, and a positive number otherwise.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Offset, o.Offset))
}

// Before reports whether p precedes o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// Later returns the later one of two positions.
func (p Position) Later(o Position) Position {
	if p.Before(o) {
		return o
	}
	return p
}

// Next returns the position after p, and Previous the one before it, in the same era.
func (p Position) Next() Position     { return Position{p.Era, p.Offset + 1} }
func (p Position) Previous() Position { return Position{p.Era, p.Offset - 1} }

// String returns the position as it appears in logs.
func (p Position) String() string {
	if p.Era == 0 {
		return fmt.Sprint(p.Offset)
	}
	return fmt.Sprintf("%d/%d", p.Era, p.Offset)
}
