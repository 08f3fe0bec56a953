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
// are given in coordination order. Hosts whose link is narrow for the zone's traffic are only
// selected if the others are not enough.
func (r *Roster) selectActiveInZone(now time.Time, zone ident.Zone, eligible []*hostState) []ident.HostID {
	rate, byteRate := r.load(now, zone)
	load := max(rate, r.peakLoad[zone]*r.cfg.LoadDecay)
	r.peakLoad[zone] = load
	traffic := r.zoneTrafficOf(zone)
	traffic.measure(now, rate, byteRate)
	perRequest := traffic.bytesPerRequest
	var selected []ident.HostID
	capacity := 0.0
	add := func(p *hostState) {
		selected = append(selected, p.ID)
		capacity += r.capacity(p, perRequest)
	}
	enough := func() bool { return len(selected) >= r.cfg.MinPerZone && capacity >= load }
	for _, narrow := range []bool{false, true} {
		for _, alreadyActive := range []bool{true, false} {
			for _, p := range eligible {
				if enough() {
					return selected
				}
				active := slices.Contains(r.active, p.ID)
				if active == alreadyActive && r.narrow(p, active, perRequest) == narrow {
					add(p)
				}
			}
		}
	}
	return selected
}

// load returns the current rates of the zone's live hosts: requests per second, and bytes per
// second that they exchange with targets.
func (r *Roster) load(now time.Time, zone ident.Zone) (rate, byteRate float64) {
	for _, p := range r.order {
		if p.Location.Zone != zone {
			continue
		}
		switch {
		case p.ID == r.self.ID:
			rate += r.rate
			byteRate += r.byteRate
		case r.alive(now, p):
			rate += p.rate
			byteRate += p.byteRate
		}
	}
	return rate, byteRate
}

const (
	// bytesSmoothing is the weight of the newest measurement in the bytes per request, after the
	// first ones.
	bytesSmoothing = 0.1
	// linkShare is the part of a host's link that its requests may take on average. The rest
	// is for bursts and for the control traffic.
	linkShare = 0.5
	// narrowShare is the part of its link that the requests of a host may take on average
	// before it counts as narrow, and narrowShareActive that of an active host, which is
	// higher so that hosts do not alternate. Responses are several times as large as their
	// mean, and arrive in bursts: at a fifth of a link of 10 Mbit/s a response of 540 KB takes
	// half a second.
	narrowShare, narrowShareActive = 0.15, 0.2
)

// narrow reports whether the link of a host is narrow for the requests that its processor can
// serve. A link of unknown bandwidth is not.
func (r *Roster) narrow(p *hostState, active bool, bytesPerRequest float64) bool {
	share := narrowShare
	if active {
		share = narrowShareActive
	}
	return p.LinkMbps > 0 && r.processorCapacity(p)*bytesPerRequest > share*linkBytesPerSecond(p)
}

func linkBytesPerSecond(p *hostState) float64 { return float64(p.LinkMbps) * 1e6 / 8 }

// capacity returns the request rate that a host is expected to serve, in requests per
// second.
func (r *Roster) capacity(p *hostState, bytesPerRequest float64) float64 {
	capacity := r.processorCapacity(p)
	if p.LinkMbps > 0 && bytesPerRequest > 0 {
		capacity = min(capacity, max(1, linkShare*linkBytesPerSecond(p)/bytesPerRequest))
	}
	return capacity
}

// processorCapacity returns the request rate that the processor share of a host serves.
func (r *Roster) processorCapacity(p *hostState) float64 {
	return math.Max(1, float64(p.Millicores)/1000*r.cfg.RatePerCore)
}
