// Package balance selects a target for an attempt among the candidates of one
// request class.
//
// The nearest distance with an available candidate is used. At that distance
// the candidate with the least load relative to its slots is selected; own
// attempts count fully and the load that the target reports with a small weight.
// Candidates with equal load take turns in proportion to their capacity, and
// ramping candidates get work only in their turn. The
// figures behind this rule are in docs/decisions/006-selection.md. Selection
// and updates take logarithmic time in the number of candidates.
package balance

import (
	"container/heap"
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
	Slots float64
	// Weight is the ramp weight, above 0 and up to 1.
	Weight   float64
	Distance Distance
}

func (c Candidate) capacity() float64 { return c.Slots * c.Weight }

// ReportedWeight is the weight of a request that others report, relative to an
// own attempt. Reports are up to a second old, so they mostly decide between
// targets with equal own load; docs/decisions/006-selection.md has the figures.
const OtherLoadWeight = 0.1

// Load combines own attempts and the reported requests of others.
func CombinedLoad(own int, reported float64) float64 {
	return float64(own) + OtherLoadWeight*reported
}

// Picker selects among a fixed list of candidates, which are identified by
// their index in that list.
type Picker struct {
	candidates []Candidate
	entries    []entry
	groups     [distances]group
}

// group holds the available candidates at one distance.
type group struct {
	ready entryHeap
	// waiting holds ramping candidates until their next turn, since a target
	// that ramps is idle more often than others and would get too much work.
	waiting entryHeap
	// turn is the latest turn that a pick used.
	turn float64
	// clock advances by 1/capacity with each pick, where capacity is the sum
	// over all candidates. A candidate with capacity c is due once in 1/c.
	clock    float64
	capacity float64
	// idleLoad is the load of the idle candidate with the fewest slots. Lower
	// loads count as equal to it, so that idle candidates take turns.
	idleLoad float64
}

// halfRequest is added to the load before it is divided by the slots, as in
// Webster's method of apportionment: without it small targets, and with a
// whole request large targets, would get more than their share.
const halfRequest = 0.5

// New returns a picker whose candidates are all unavailable. Their first turns
// are random, so that hosts do not select the same targets in step.
func New(candidates []Candidate, rng *rand.Rand) *Picker {
	p := &Picker{candidates: candidates, entries: make([]entry, len(candidates))}
	for i := range p.groups {
		p.groups[i].waiting.byDue = true
	}
	for i, c := range candidates {
		phase := rng.Float64() / c.capacity()
		p.entries[i] = entry{candidate: i, turn: phase, due: phase}
		g := &p.groups[c.Distance]
		g.capacity += c.capacity()
		g.idleLoad = max(g.idleLoad, halfRequest/c.Slots)
	}
	return p
}

// Set updates the load of a candidate, in requests, and whether it can take
// another attempt.
func (p *Picker) Set(candidate int, load float64, available bool) {
	c := p.candidates[candidate]
	e := &p.entries[candidate]
	g := &p.groups[c.Distance]
	load = max(g.idleLoad, (load+halfRequest)/c.Slots)
	changed := e.load != load
	e.load = load
	switch {
	case !available && e.in != nil:
		heap.Remove(e.in, e.position)
	case available && e.in == nil:
		e.turn = max(e.turn, g.turn)
		p.insert(g, e)
	case available && changed:
		heap.Fix(e.in, e.position)
	}
}

func (p *Picker) insert(g *group, e *entry) {
	if p.candidates[e.candidate].Weight < 1 && e.due > g.clock {
		heap.Push(&g.waiting, e)
		return
	}
	heap.Push(&g.ready, e)
}

// Available reports whether any candidate can take another attempt.
func (p *Picker) Available() bool {
	for i := range p.groups {
		if p.groups[i].ready.Len() > 0 || p.groups[i].waiting.Len() > 0 {
			return true
		}
	}
	return false
}

// Pick selects an available candidate that is not excluded.
func (p *Picker) Pick(excluded []int) (int, bool) {
	for i := range p.groups {
		if e := p.pickAt(Distance(i), excluded); e != nil {
			return e.candidate, true
		}
	}
	return 0, false
}

// maxExcluded bounds the exclusions of one Pick; further ones are ignored.
const maxExcluded = 16

func (p *Picker) pickAt(d Distance, excluded []int) *entry {
	g := &p.groups[d]
	var hidden [maxExcluded]*entry
	n := 0
	for _, c := range excluded[:min(len(excluded), maxExcluded)] {
		if e := &p.entries[c]; p.candidates[c].Distance == d && e.in != nil {
			heap.Remove(e.in, e.position)
			hidden[n] = e
			n++
		}
	}
	best := p.next(g)
	for _, e := range hidden[:n] {
		p.insert(g, e)
	}
	return best
}

// next selects the least loaded ready candidate. A ramping one whose turn has
// not come is selected only when no other is available.
func (p *Picker) next(g *group) *entry {
	for g.waiting.Len() > 0 && g.waiting.entries[0].due <= g.clock {
		heap.Push(&g.ready, heap.Pop(&g.waiting))
	}
	from := &g.ready
	if from.Len() == 0 {
		from = &g.waiting
	}
	if from.Len() == 0 {
		return nil
	}
	best := heap.Pop(from).(*entry)
	g.turn = max(g.turn, best.turn)
	g.clock += 1 / g.capacity
	share := 1 / p.candidates[best.candidate].capacity()
	best.turn = g.turn + share
	// A candidate that could not take its turns catches up by at most one.
	best.due = max(best.due, g.clock-share) + share
	p.insert(g, best)
	return best
}
