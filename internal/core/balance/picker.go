// Package balance selects a target for an attempt among the candidates of one
// request class.
//
// The nearest distance with an available candidate is used. At that distance
// two candidates are sampled with probability proportional to their capacity,
// and the one with the lower load relative to its capacity is selected. The
// figures behind this rule are in docs/decisions/006-selection.md. Selection
// and updates take logarithmic time in the number of candidates.
package balance

import (
	"math"
	"math/rand/v2"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Distance orders targets by the cost of reaching them.
type Distance int

// Distances from a host to a target.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
	distances
)

// DistanceBetween returns the distance between two locations.
func DistanceBetween(a, b ident.Location) Distance {
	switch {
	case a.Region != b.Region:
		return OtherRegion
	case a.Zone != b.Zone:
		return SameRegion
	default:
		return SameZone
	}
}

// Candidate is a target in the rotation of a class.
type Candidate struct {
	// Capacity is the number of slots times the ramp weight.
	Capacity float64
	Distance Distance
}

// Loads returns the current load of a candidate, in requests.
type Loads interface{ Load(candidate int) float64 }

// Picker selects among a fixed list of candidates, which are identified by
// their index in that list.
type Picker struct {
	candidates []Candidate
	groups     [distances]group
	positions  []int
}

// group holds the candidates at one distance; unavailable ones have weight 0.
type group struct {
	members []int
	tree    sumTree
}

// weightUnit is the sampling weight of one slot; ramp weights are rounded to
// its inverse.
const weightUnit = 1024

// New returns a picker whose candidates are all unavailable.
func New(candidates []Candidate) *Picker {
	p := &Picker{candidates: candidates, positions: make([]int, len(candidates))}
	for i, c := range candidates {
		g := &p.groups[c.Distance]
		p.positions[i] = len(g.members)
		g.members = append(g.members, i)
	}
	for i := range p.groups {
		p.groups[i].tree = newSumTree(make([]int64, len(p.groups[i].members)))
	}
	return p
}

// SetAvailable tells whether a candidate can take another attempt.
func (p *Picker) SetAvailable(candidate int, available bool) {
	c := p.candidates[candidate]
	weight := int64(0)
	if available {
		weight = max(1, int64(math.Round(c.Capacity*weightUnit)))
	}
	p.groups[c.Distance].tree.set(p.positions[candidate], weight)
}

// Available reports whether any candidate can take another attempt.
func (p *Picker) Available() bool {
	for i := range p.groups {
		if p.groups[i].tree.total > 0 {
			return true
		}
	}
	return false
}

// Pick selects an available candidate that is not excluded.
func (p *Picker) Pick(rng *rand.Rand, loads Loads, excluded []int) (int, bool) {
	for i := range p.groups {
		g := &p.groups[i]
		if g.tree.total == 0 {
			continue
		}
		if candidate, ok := p.pickAt(Distance(i), rng, loads, excluded); ok {
			return candidate, true
		}
	}
	return 0, false
}

// maxExcluded bounds the exclusions of one Pick; further ones are ignored.
const maxExcluded = 16

func (p *Picker) pickAt(d Distance, rng *rand.Rand, loads Loads, excluded []int) (int, bool) {
	g := &p.groups[d]
	var saved [maxExcluded]int64
	excluded = excluded[:min(len(excluded), maxExcluded)]
	for i, c := range excluded {
		saved[i] = p.hide(d, c)
	}
	candidate, ok := p.twoChoices(g, rng, loads)
	for i := len(excluded) - 1; i >= 0; i-- {
		p.restore(d, excluded[i], saved[i])
	}
	return candidate, ok
}

// hide removes a candidate from sampling and returns its weight.
func (p *Picker) hide(d Distance, candidate int) int64 {
	if p.candidates[candidate].Distance != d {
		return 0
	}
	tree := &p.groups[d].tree
	weight := tree.weights[p.positions[candidate]]
	tree.set(p.positions[candidate], 0)
	return weight
}

func (p *Picker) restore(d Distance, candidate int, weight int64) {
	if weight > 0 {
		p.groups[d].tree.set(p.positions[candidate], weight)
	}
}

// twoChoices samples two different members and returns the less loaded one,
// or the first one when both have the same relative load.
func (p *Picker) twoChoices(g *group, rng *rand.Rand, loads Loads) (int, bool) {
	if g.tree.total == 0 {
		return 0, false
	}
	position := g.tree.find(rng.Int64N(g.tree.total))
	first := g.members[position]
	weight := g.tree.weights[position]
	if weight == g.tree.total {
		return first, true
	}
	g.tree.set(position, 0)
	second := g.members[g.tree.find(rng.Int64N(g.tree.total))]
	g.tree.set(position, weight)
	if p.relative(second, loads) < p.relative(first, loads) {
		return second, true
	}
	return first, true
}

func (p *Picker) relative(candidate int, loads Loads) float64 {
	return loads.Load(candidate) / p.candidates[candidate].Capacity
}
