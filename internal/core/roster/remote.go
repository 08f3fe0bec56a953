package roster

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// remoteRegion is the latest beacon received from the coordinator of another region.
type remoteRegion struct {
	coordinator ident.HostID
	active      []ident.HostID
	heardAt     time.Time
	// incarnation and sequence are those of the beacon.
	incarnation ident.Incarnation
	sequence    uint64
	nonOwners   []ident.HostID
}

// receiveRemoteBeacon handles a beacon of another region. Beacons go to the first hosts of
// this region, of which none may be the coordinator: it keeps its role when hosts that
// precede it start. They pass a new beacon on to it.
func (r *Roster) receiveRemoteBeacon(now time.Time, region ident.Region, b Beacon) []Action {
	last := r.regions[region]
	if b.Isolated && b.From.ID != last.coordinator && now.Sub(last.heardAt) < r.cfg.RemoteFailureTimeout {
		// The hosts of that region follow the other coordinator, whose messages they answer.
		return nil
	}
	isNew := b.From.ID != last.coordinator || b.From.Incarnation != last.incarnation || b.Sequence > last.sequence
	r.regions[region] = remoteRegion{coordinator: b.From.ID, active: b.Active, heardAt: now, incarnation: b.From.Incarnation, sequence: b.Sequence, nonOwners: b.NonOwners}
	coordinator := r.hosts[r.coordinator]
	if !isNew || coordinator == nil || coordinator.ID == r.self.ID {
		return nil
	}
	return []Action{SendBeacon{Beacon: b, To: []Delivery{{Host: coordinator.Host}}}}
}

// sendRemoteBeacon announces the active hosts to the coordinators of the other regions
// with every RemoteBeaconEvery-th beacon. It also goes to the first hosts of each
// region in coordination order, so that it arrives before the coordinator there is
// known.
func (r *Roster) sendRemoteBeacon(now time.Time) []Action {
	if r.beaconsSent%uint64(r.cfg.RemoteBeaconEvery) != 0 {
		return nil
	}
	firstHosts := map[ident.Region][]registry.Host{}
	for _, p := range r.hosts {
		if region := p.Location.Region; region != r.self.Location.Region && firstHosts[region] == nil {
			firstHosts[region] = r.firstHosts(region, r.cfg.ReportFanout)
		}
	}
	var to []Delivery
	for region, hosts := range firstHosts {
		for _, h := range hosts {
			to = append(to, Delivery{Host: h})
		}
		known := r.hosts[r.regions[region].coordinator]
		if known != nil && !slices.Contains(hosts, known.Host) {
			to = append(to, Delivery{Host: known.Host})
		}
	}
	if len(to) == 0 {
		return nil
	}
	slices.SortFunc(to, func(a, b Delivery) int { return compareHosts(&a.Host, &b.Host) })
	b := r.currentBeacon(now)
	b.Remote, b.RemoteCoordinators, b.ActiveCapacity = nil, nil, nil
	b.NonOwners = r.ownNonOwners()
	return []Action{SendBeacon{Beacon: b, To: to}}
}

// remoteActive returns the active hosts of the other regions from the beacons received
// within RemoteFailureTimeout.
func (r *Roster) remoteActive(now time.Time) []ident.HostID {
	var list []ident.HostID
	for _, region := range r.regions {
		if now.Sub(region.heardAt) < r.cfg.RemoteFailureTimeout {
			list = append(list, region.active...)
		}
	}
	slices.Sort(list)
	return list
}

// liveRemoteCoordinators returns the coordinators of the other regions whose beacons were
// received within RemoteFailureTimeout.
func (r *Roster) liveRemoteCoordinators(now time.Time) []ident.HostID {
	var list []ident.HostID
	for _, region := range r.regions {
		if now.Sub(region.heardAt) < r.cfg.RemoteFailureTimeout {
			list = append(list, region.coordinator)
		}
	}
	slices.Sort(list)
	return list
}

// RemotePeers returns the active hosts of the other regions.
func (r *Roster) RemotePeers() []registry.Host {
	var list []registry.Host
	for _, id := range r.remoteHosts {
		if p := r.hosts[id]; p != nil {
			list = append(list, p.Host)
		}
	}
	return list
}
