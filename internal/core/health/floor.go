package health

import (
	"cmp"
	"slices"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// floorTolerance allows for rounding errors in sums of weighted slots.
const floorTolerance = 1e-9

// Rotation returns the targets that may get requests of a class, and a version
// that changes whenever a rotation changes. The slice is shared: callers must
// not modify it.
func (t *Tracker) Rotation(class ident.ClassName) ([]Member, uint64) {
	if r, ok := t.rotations[class]; ok {
		return r, t.version
	}
	return t.rotation, t.version
}

// rebuildIfDirty rebuilds the rotations after a change of a state or weight.
func (t *Tracker) rebuildIfDirty() {
	if !t.dirty {
		return
	}
	t.dirty = false
	changed := false
	capacity, declared := t.capacity()
	base := make([]Member, 0, len(t.order))
	for _, target := range t.order {
		if target.state.inRotation() {
			base = append(base, Member{Target: target.ID, Weight: target.weight})
		}
	}
	t.rotation = reuseIfEqual(t.rotation, base, &changed)
	rotations := make(map[ident.ClassName][]Member, len(t.cfg.Floors))
	for _, f := range t.cfg.Floors {
		next := t.rotation
		need := clampUnit(f.Floor)*declared - capacity
		if need > floorTolerance {
			next = t.raiseToFloor(need)
		}
		rotations[f.Class] = reuseIfEqual(t.rotations[f.Class], next, &changed)
	}
	changed = changed || len(rotations) != len(t.rotations)
	t.rotations = rotations
	if changed {
		t.version++
	}
}

// reuseIfEqual returns the old slice if the new one is equal to it, and otherwise
// sets changed and returns the new one.
func reuseIfEqual(old, next []Member, changed *bool) []Member {
	if old != nil && slices.Equal(old, next) {
		return old
	}
	*changed = true
	return next
}

// capacity returns the weighted slots in rotation and the declared slots that the
// floor is a fraction of: those of the targets that are not draining.
func (t *Tracker) capacity() (capacity, declared float64) {
	for _, target := range t.order {
		if target.state != Draining {
			declared += target.slots()
		}
		if target.state.inRotation() {
			capacity += target.slots() * target.weight
		}
	}
	return capacity, declared
}

// slots returns the declared slots of a target, or 1 if it declares none.
func (t *target) slots() float64 { return float64(max(t.Slots, 1)) }

// raiseToFloor returns a rotation with need more weighted slots. Ramping targets get
// full weight first, because they passed their trials; then the removed targets with
// the lowest unhealthiness are added.
func (t *Tracker) raiseToFloor(need float64) []Member {
	var candidates []*target
	for _, target := range t.notHealthy {
		if target.state != Draining {
			candidates = append(candidates, target)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *target) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}
		return cmp.Compare(a.unhealthiness(), b.unhealthiness())
	})
	raised := map[*target]bool{}
	for _, target := range candidates {
		if need <= floorTolerance {
			break
		}
		raised[target] = true
		need -= target.slots() * (1 - target.weight)
	}
	list := make([]Member, 0, len(t.order))
	for _, target := range t.order {
		switch {
		case raised[target]:
			list = append(list, Member{Target: target.ID, Weight: 1})
		case target.state.inRotation():
			list = append(list, Member{Target: target.ID, Weight: target.weight})
		}
	}
	return list
}

// unhealthiness is the sort key of removed targets for the floor: the score, raised
// by repeated removals and lowered by successful trials.
func (t *target) unhealthiness() float64 {
	score := max(float64(t.removedScore), t.cusum.score())
	return score + float64(t.penaltyLevel) - float64(t.trialSuccesses)
}

func clampUnit(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, 1)
}
