package roster

import (
	"math"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// selectActive selects the active hosts, as many in each zone as its load requires. A
// host is eligible if it is alive and not leaving, and ready if it can serve callers.
// Active hosts stay selected while they are alive, so that callers keep their host and
// connections are reused.
func (r *Roster) selectActive(now time.Time) []ident.HostID {
	eligible := map[ident.Zone][]*hostState{}
	var zones []ident.Zone
	for _, p := range r.order {
		zone := p.Location.Zone
		if !slices.Contains(zones, zone) {
			zones = append(zones, zone)
		}
		leaving := p.leaving || (p.ID == r.self.ID && r.leaving)
		if !leaving && r.alive(now, p) {
			eligible[zone] = append(eligible[zone], p)
		}
	}
	slices.Sort(zones)
	var selected []ident.HostID
	for _, zone := range zones {
		selected = append(selected, r.selectActiveInZone(now, zone, readyHosts(eligible[zone]))...)
	}
	return selected
}

// readyHosts returns the hosts that can serve callers, or all hosts if there is none:
// callers then wait on those hosts for the first configuration.
func readyHosts(hosts []*hostState) []*hostState {
	var ready []*hostState
	for _, p := range hosts {
		if !p.starting {
			ready = append(ready, p)
		}
	}
	if len(ready) == 0 {
		return hosts
	}
	return ready
}

// selectActiveInZone selects the active hosts of one zone from its eligible hosts, which
// are given in coordination order.
func (r *Roster) selectActiveInZone(now time.Time, zone ident.Zone, eligible []*hostState) []ident.HostID {
	load := max(r.load(now, zone), r.peakLoad[zone]*r.cfg.LoadDecay)
	r.peakLoad[zone] = load
	var selected []ident.HostID
	capacity := 0.0
	add := func(p *hostState) {
		selected = append(selected, p.ID)
		capacity += r.capacity(p)
	}
	enough := func() bool { return len(selected) >= r.cfg.MinPerZone && capacity >= load }
	for _, alreadyActive := range []bool{true, false} {
		for _, p := range eligible {
			if enough() {
				return selected
			}
			if slices.Contains(r.active, p.ID) == alreadyActive && !slices.Contains(selected, p.ID) {
				add(p)
			}
		}
	}
	return selected
}

// load returns the current request rate of the zone's live hosts, in requests per
// second.
func (r *Roster) load(now time.Time, zone ident.Zone) float64 {
	sum := 0.0
	for _, p := range r.order {
		if p.Location.Zone != zone {
			continue
		}
		switch {
		case p.ID == r.self.ID:
			sum += r.rate
		case r.alive(now, p):
			sum += p.rate
		}
	}
	return sum
}

// capacity returns the request rate that a host is expected to serve, in requests per
// second.
func (r *Roster) capacity(p *hostState) float64 {
	return math.Max(1, float64(p.Millicores)/1000*r.cfg.RatePerCore)
}
