// Package balance selects a target for an attempt from the candidates of one request
// class.
//
// It uses the nearest distance with an available candidate. At that distance it
// selects the candidate with the lowest load relative to its slots; the host's own
// attempts have full weight, the load reported by the target a small one. Candidates
// with equal load are picked in proportion to their capacity, and ramping candidates
// only when they are due. docs/decisions/006-selection.md has the figures behind this
// rule. Selection and updates take logarithmic time in the number of candidates.
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
	distanceCount
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

// OtherLoadWeight is the weight of a request reported by others relative to an own
// attempt. Reports are up to a second old, so they mostly decide between targets
// with equal own load; docs/decisions/006-selection.md has the figures.
const OtherLoadWeight = 0.1

// CombinedLoad combines the host's own attempts with the reported requests of others.
func CombinedLoad(own int, reported float64) float64 {
	return float64(own) + OtherLoadWeight*reported
}

// Picker selects from a fixed list of candidates, which are identified by their
// index.
type Picker struct {
	candidates []Candidate
	entries    []entry
	groups     [distanceCount]distanceGroup
}

// distanceGroup holds the available candidates at one distance.
type distanceGroup struct {
	ready entryHeap
	// ramping holds ramping candidates until they are due, since a ramping target
	// is idle more often than others and would otherwise receive too many requests.
	ramping entryHeap
	// virtualTime is the highest virtual time of a picked candidate.
	virtualTime float64
	// clock advances by 1/capacity with each pick, where capacity is the sum over
	// all candidates. A candidate with capacity c is due once per 1/c.
	clock    float64
	capacity float64
	// minLoad is the load of the idle candidate with the fewest slots. Lower loads
	// are raised to it, so that idle candidates are picked in turn.
	minLoad float64
}

// loadOffset is added to the load before it is divided by the slots, as in
// Webster's apportionment method. Without it small targets would receive more than
// their share, with a whole request large ones.
const loadOffset = 0.5

// New returns a picker with all candidates unavailable. Their initial virtual times
// are random, so that hosts do not select the same targets in the same order.
func New(candidates []Candidate, rng *rand.Rand) *Picker {
	p := &Picker{candidates: candidates, entries: make([]entry, len(candidates))}
	for i := range p.groups {
		p.groups[i].ramping.byDueTime = true
	}
	for i, c := range candidates {
		phase := rng.Float64() / c.capacity()
		p.entries[i] = entry{candidate: i, virtualTime: phase, dueAt: phase}
		g := &p.groups[c.Distance]
		g.capacity += c.capacity()
		g.minLoad = max(g.minLoad, loadOffset/c.Slots)
	}
	return p
}

// Set updates the load of a candidate, in requests, and whether it can accept
// another attempt.
func (p *Picker) Set(candidate int, load float64, available bool) {
	c := p.candidates[candidate]
	e := &p.entries[candidate]
	g := &p.groups[c.Distance]
	load = max(g.minLoad, (load+loadOffset)/c.Slots)
	changed := e.load != load
	e.load = load
	switch {
	case !available && e.inHeap != nil:
		heap.Remove(e.inHeap, e.position)
	case available && e.inHeap == nil:
		e.virtualTime = max(e.virtualTime, g.virtualTime)
		p.insert(g, e)
	case available && changed:
		heap.Fix(e.inHeap, e.position)
	}
}

func (p *Picker) insert(g *distanceGroup, e *entry) {
	if p.candidates[e.candidate].Weight < 1 && e.dueAt > g.clock {
		heap.Push(&g.ramping, e)
		return
	}
	heap.Push(&g.ready, e)
}

// Available reports whether any candidate can accept another attempt.
func (p *Picker) Available() bool {
	for i := range p.groups {
		if p.groups[i].ready.Len() > 0 || p.groups[i].ramping.Len() > 0 {
			return true
		}
	}
	return false
}

// Pick selects an available candidate that is not excluded.
func (p *Picker) Pick(excluded []int) (int, bool) {
	for i := range p.groups {
		if e := p.pickAtDistance(Distance(i), excluded); e != nil {
			return e.candidate, true
		}
	}
	return 0, false
}

// maxExcluded bounds the exclusions of one Pick; further ones are ignored.
const maxExcluded = 16

func (p *Picker) pickAtDistance(d Distance, excluded []int) *entry {
	g := &p.groups[d]
	var excludedEntries [maxExcluded]*entry
	n := 0
	for _, c := range excluded[:min(len(excluded), maxExcluded)] {
		if e := &p.entries[c]; p.candidates[c].Distance == d && e.inHeap != nil {
			heap.Remove(e.inHeap, e.position)
			excludedEntries[n] = e
			n++
		}
	}
	best := p.selectFrom(g)
	for _, e := range excludedEntries[:n] {
		p.insert(g, e)
	}
	return best
}

// selectFrom selects the least loaded ready candidate. A ramping candidate that is
// not due yet is selected only if no other is available.
func (p *Picker) selectFrom(g *distanceGroup) *entry {
	for g.ramping.Len() > 0 && g.ramping.entries[0].dueAt <= g.clock {
		heap.Push(&g.ready, heap.Pop(&g.ramping))
	}
	from := &g.ready
	if from.Len() == 0 {
		from = &g.ramping
	}
	if from.Len() == 0 {
		return nil
	}
	best := heap.Pop(from).(*entry)
	g.virtualTime = max(g.virtualTime, best.virtualTime)
	g.clock += 1 / g.capacity
	share := 1 / p.candidates[best.candidate].capacity()
	best.virtualTime = g.virtualTime + share
	// A candidate that was unavailable when due catches up by at most one pick.
	best.dueAt = max(best.dueAt, g.clock-share) + share
	p.insert(g, best)
	return best
}
