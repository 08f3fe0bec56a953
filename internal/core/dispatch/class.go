package dispatch

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
)

// class holds the state of a request class and its rotation.
type class struct {
	Class
	ordinal     int
	removed     bool
	flow        *limit.Flow[*request]
	serviceTime limit.ServiceTime

	// members, weights and limits have the same order as the picker's
	// candidates; capacity is the sum of limits.
	synced          bool
	rotationVersion uint64
	members         []*target
	weights         []float64
	limits          []int
	capacity        int
	picker          *balance.Picker

	crossRegionAttempts uint64
	crossRegionBytes    uint64
}

func (c *class) refreshTarget(now time.Time, t *target) {
	i := t.rotationIndexes[c.ordinal]
	lim := 0
	if t.usable(now) {
		lim = t.inFlightLimit(now, c.weights[i])
	}
	c.capacity += lim - c.limits[i]
	c.limits[i] = lim
	c.picker.Set(i, t.load(now), t.inFlight < lim)
}

// pick selects a target in rotation that has a free slot, or returns nil.
func (c *class) pick(excluded []int) *target {
	i, ok := c.picker.Pick(excluded)
	if !ok {
		return nil
	}
	return c.members[i]
}

// syncRotations rebuilds the rotations that the health tracker has changed.
func (d *Dispatcher) syncRotations(now time.Time) {
	for _, c := range d.classList {
		d.syncRotation(now, c)
	}
}

func (d *Dispatcher) syncRotation(now time.Time, c *class) {
	rotation, rotationVersion := d.health.Rotation(c.Name)
	if c.synced && rotationVersion == c.rotationVersion {
		return
	}
	for _, t := range c.members {
		t.rotationIndexes[c.ordinal] = notInRotation
	}
	d.buildRotation(c, rotation)
	c.synced, c.rotationVersion = true, rotationVersion
	for _, t := range c.members {
		c.refreshTarget(now, t)
	}
}

func (d *Dispatcher) buildRotation(c *class, rotation []health.Member) {
	candidates := make([]balance.Candidate, 0, len(rotation))
	c.members, c.weights = c.members[:0], c.weights[:0]
	for _, m := range rotation {
		t := d.targets[m.Target]
		if t == nil || m.Weight <= 0 {
			continue
		}
		t.rotationIndexes[c.ordinal] = len(c.members)
		c.members = append(c.members, t)
		c.weights = append(c.weights, m.Weight)
		candidates = append(candidates, balance.Candidate{
			Slots:    float64(max(1, t.Slots)),
			Weight:   min(1, m.Weight),
			Distance: t.distance,
		})
	}
	c.limits = make([]int, len(c.members))
	c.capacity = 0
	c.picker = balance.New(candidates, d.rng)
}
