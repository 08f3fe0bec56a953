package admission

import (
	"maps"
	"time"
)

// Clone returns a copy that shares no state with the controller.
func (c *Controller) Clone() *Controller {
	out := *c
	out.own = c.own.clone()
	out.hosts = maps.Clone(c.hosts)
	for id, h := range out.hosts {
		copied := h.clone()
		out.hosts[id] = &copied
	}
	out.arrivals, out.credits = maps.Clone(c.arrivals), maps.Clone(c.credits)
	out.fractions, out.teams = maps.Clone(c.fractions), maps.Clone(c.teams)
	out.counted.Demand = append([]Demand(nil), c.counted.Demand...)
	return &out
}

func (h *hostRates) clone() hostRates {
	out := *h
	out.demand = maps.Clone(h.demand)
	return out
}

// Inputs describes the reports from which the levels are computed.
type Inputs struct {
	// Reporting is the number of other hosts whose reports are in use, OldestReport the age of
	// the oldest of these reports.
	Reporting    int
	OldestReport time.Duration
	// SinceUpdate is the time since the levels were computed, negative if they never were.
	SinceUpdate time.Duration
}

// Inputs returns the age of what the levels are computed from.
func (c *Controller) Inputs(now time.Time) Inputs {
	in := Inputs{SinceUpdate: -1}
	if !c.updatedAt.IsZero() {
		in.SinceUpdate = now.Sub(c.updatedAt)
	}
	for _, h := range c.hosts {
		if !h.expired(now) {
			in.Reporting++
			in.OldestReport = max(in.OldestReport, now.Sub(h.heardAt))
		}
	}
	return in
}
