package roster

import (
	"math"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// choose selects the active hosts: in each zone as many as its load needs. Hosts
// that are active stay, as long as they live, so that callers and connections
// stay with them.
func (r *Roster) choose(now time.Time) []ident.HostID {
	zones := map[ident.Zone][]*peer{}
	var names []ident.Zone
	for _, p := range r.order {
		zone := p.Location.Zone
		if !slices.Contains(names, zone) {
			names = append(names, zone)
		}
		leaving := p.leaving || (p.ID == r.self.ID && r.leaving)
		if !leaving && r.alive(now, p) {
			zones[zone] = append(zones[zone], p)
		}
	}
	slices.Sort(names)
	var chosen []ident.HostID
	for _, zone := range names {
		chosen = append(chosen, r.chooseIn(now, zone, readyOnes(zones[zone]))...)
	}
	return chosen
}

// readyOnes returns the hosts that can serve callers, or all if there is none:
// callers wait there for the first configuration.
func readyOnes(hosts []*peer) []*peer {
	var ready []*peer
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

// chooseIn selects the active hosts of one zone among its usable hosts, which
// are in the order of coordination.
func (r *Roster) chooseIn(now time.Time, zone ident.Zone, usable []*peer) []ident.HostID {
	load := max(r.load(now, zone), r.peaks[zone]*r.cfg.LoadDecay)
	r.peaks[zone] = load
	var chosen []ident.HostID
	capacity := 0.0
	take := func(p *peer) {
		chosen = append(chosen, p.ID)
		capacity += r.capacity(p)
	}
	enough := func() bool { return len(chosen) >= r.cfg.MinPerZone && capacity >= load }
	for _, stay := range []bool{true, false} {
		for _, p := range usable {
			if enough() {
				return chosen
			}
			if slices.Contains(r.active, p.ID) == stay && !slices.Contains(chosen, p.ID) {
				take(p)
			}
		}
	}
	return chosen
}

// load is the number of requests per second that the zone's hosts serve now.
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

// capacity is the number of requests per second that a host should serve.
func (r *Roster) capacity(p *peer) float64 {
	return math.Max(1, float64(p.Millicores)/1000*r.cfg.RatePerCore)
}
