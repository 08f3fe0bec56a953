package dispatch

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
)

// class is a request class with its rotation.
type class struct {
	Class
	ordinal int
	removed bool
	flow    *limit.Flow[*request]
	service limit.ServiceTime

	// members, weights and limits are parallel to the picker's candidates;
	// capacity is the sum of limits.
	synced   bool
	version  uint64
	members  []*target
	weights  []float64
	limits   []int
	capacity int
	picker   *balance.Picker

	crossAttempts uint64
	crossBytes    uint64
}

func (c *class) refresh(now time.Time, t *target) {
	i := t.places[c.ordinal]
	lim := 0
	if t.usable(now) {
		lim = t.limitAt(now, c.weights[i])
	}
	c.capacity += lim - c.limits[i]
	c.limits[i] = lim
	c.picker.Set(i, t.load(now), t.inFlight < lim)
}

// pick selects a target in rotation with a free slot.
func (c *class) pick(excluded []int) *target {
	i, ok := c.picker.Pick(excluded)
	if !ok {
		return nil
	}
	return c.members[i]
}

// syncAll takes over rotations that changed.
func (d *Dispatcher) syncAll(now time.Time) {
	for _, c := range d.order {
		d.sync(now, c)
	}
}

func (d *Dispatcher) sync(now time.Time, c *class) {
	rotation, version := d.health.Rotation(c.Name)
	if c.synced && version == c.version {
		return
	}
	for _, t := range c.members {
		t.places[c.ordinal] = notInRotation
	}
	d.build(c, rotation)
	c.synced, c.version = true, version
	for _, t := range c.members {
		c.refresh(now, t)
	}
}

func (d *Dispatcher) build(c *class, rotation []health.Member) {
	candidates := make([]balance.Candidate, 0, len(rotation))
	c.members, c.weights = c.members[:0], c.weights[:0]
	for _, m := range rotation {
		t := d.targets[m.Target]
		if t == nil || m.Weight <= 0 {
			continue
		}
		t.places[c.ordinal] = len(c.members)
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
