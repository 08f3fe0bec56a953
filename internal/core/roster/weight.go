package roster

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// capacityLifetime is the time without a measurement of a zone, or without a beacon, after which
// its callers are spread evenly. A takeover is over by then.
const capacityLifetime = 5 * time.Second

// zoneTraffic is what the coordinator measures of a zone.
type zoneTraffic struct {
	// bytesPerRequest is smoothed over the measurements, which are counted up to the number at
	// which the weight of the newest one is bytesSmoothing.
	bytesPerRequest float64
	measurements    int
	measuredAt      time.Time
	// weighted is set while a link limits what an active host of the zone carries.
	weighted bool
}

// measure adds a measurement. The first ones count equally, so that the mean does not start
// at 0 after a takeover.
func (z *zoneTraffic) measure(now time.Time, rate, byteRate float64) {
	if rate <= 0 {
		return
	}
	if !z.known(now) {
		z.measurements = 0
	}
	z.measurements = min(z.measurements+1, int(1/bytesSmoothing))
	z.bytesPerRequest += (byteRate/rate - z.bytesPerRequest) / float64(z.measurements)
	z.measuredAt = now
}

// known reports whether the zone was measured within capacityLifetime.
func (z *zoneTraffic) known(now time.Time) bool { return now.Sub(z.measuredAt) < capacityLifetime }

// zoneTrafficOf returns what is measured of a zone.
func (r *Roster) zoneTrafficOf(zone ident.Zone) *zoneTraffic {
	z := r.traffic[zone]
	if z == nil {
		z = &zoneTraffic{}
		r.traffic[zone] = z
	}
	return z
}

// capacities returns the requests per second that each active host carries, by its processor
// and its link, 0 in the zones whose callers are spread evenly: those in which all active hosts
// have a link that is wide for what their processors serve. It returns nil if that is all zones.
func (r *Roster) capacities(now time.Time, selected []ident.HostID) []uint32 {
	weighted := map[ident.Zone]bool{}
	for _, id := range selected {
		p := r.hosts[id]
		z := r.zoneTrafficOf(p.Location.Zone)
		if z.known(now) && r.narrow(p, !z.weighted, z.bytesPerRequest) {
			weighted[p.Location.Zone] = true
		}
	}
	tookOver := now.Sub(r.tookOverAt) < capacityLifetime
	list := make([]uint32, len(selected))
	anyKnown := false
	for i, id := range selected {
		p := r.hosts[id]
		z := r.zoneTrafficOf(p.Location.Zone)
		z.weighted = weighted[p.Location.Zone]
		switch {
		case z.weighted:
			list[i] = uint32(max(1, math.Round(min(math.MaxInt32, r.capacity(p, z.bytesPerRequest)))))
		case tookOver && !z.known(now):
			// Those of the previous coordinator hold until the zone is measured.
			list[i] = r.activeCapacity[id]
		}
		anyKnown = anyKnown || list[i] > 0
	}
	if !anyKnown {
		return nil
	}
	return list
}

// setCapacities sets the capacities of the active hosts.
func (r *Roster) setCapacities(list []uint32) {
	r.activeCapacity = nil
	if len(list) == 0 || len(list) != len(r.active) {
		return
	}
	r.activeCapacity = make(map[ident.HostID]uint32, len(list))
	for i, id := range r.active {
		r.activeCapacity[id] = list[i]
	}
}

// announcedCapacities returns the capacities in the order of the active hosts, nil if none is
// known.
func (r *Roster) announcedCapacities() []uint32 {
	if r.activeCapacity == nil {
		return nil
	}
	list := make([]uint32, len(r.active))
	for i, id := range r.active {
		list[i] = r.activeCapacity[id]
	}
	return list
}

// CallersWeighted reports whether the capacity of any active host was announced.
func (r *Roster) CallersWeighted() bool { return r.activeCapacity != nil }

// CallerCapacities returns the number of active hosts whose capacity was announced, the least and
// the largest of their capacities in requests per second.
func (r *Roster) CallerCapacities() (hosts int, least, largest uint32) {
	for _, c := range r.activeCapacity {
		if c == 0 {
			continue
		}
		if hosts++; hosts == 1 || c < least {
			least = c
		}
		largest = max(largest, c)
	}
	return hosts, least, largest
}

// ForCallers returns the hosts of one response to a caller in a zone: those of Active, without
// some of the smaller ones if a link limits what they carry. draw is a random number, 0 to 1.
// Callers that choose evenly among the hosts of their responses choose each one in proportion
// to its capacity.
func (r *Roster) ForCallers(zone ident.Zone, draw float64) []registry.Host {
	hosts := r.Active(zone)
	if r.activeCapacity == nil || r.lastTick.Sub(r.lastBeaconAt) >= capacityLifetime {
		return hosts
	}
	capacities := make([]uint32, len(hosts))
	total := 0.0
	for i, h := range hosts {
		capacities[i] = r.activeCapacity[h.ID]
		if capacities[i] == 0 {
			return hosts
		}
		total += float64(capacities[i])
	}
	least := leastCapacity(capacities, draw*total)
	return slices.DeleteFunc(hosts, func(h registry.Host) bool { return r.activeCapacity[h.ID] < least })
}

// leastCapacity returns the least capacity of the hosts in a response. The k largest hosts make
// up a response with a probability of k times the difference between the capacity of the last
// of them and that of the next host, over the total. Of each response a host gets the k-th part,
// which adds up to its capacity over the total. The largest hosts are in every response.
func leastCapacity(capacities []uint32, draw float64) uint32 {
	sorted := slices.Clone(capacities)
	slices.SortFunc(sorted, func(a, b uint32) int { return cmp.Compare(b, a) })
	for i, c := range sorted {
		next := uint32(0)
		if i+1 < len(sorted) {
			next = sorted[i+1]
		}
		if draw -= float64(i+1) * float64(c-next); draw < 0 {
			return c
		}
	}
	return 0
}
