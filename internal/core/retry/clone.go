package retry

import "maps"

// Clone returns a copy that shares no state with the budget.
func (b *SharedBudget) Clone() *SharedBudget {
	out, own, fleet := *b, *b.own, *b.fleet
	out.own, out.fleet, out.heard = &own, &fleet, maps.Clone(b.heard)
	return &out
}
