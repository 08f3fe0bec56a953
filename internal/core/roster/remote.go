package roster

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// remoteRegion is what a coordinator of another region said.
type remoteRegion struct {
	coordinator ident.HostID
	active      []ident.HostID
	at          time.Time
}

// remoteBeacon tells the coordinators of the other regions which hosts are active
// here, now and then. Until a coordinator is heard of, the first hosts of its
// region in the order of coordination get it.
func (r *Roster) remoteBeacon() []Action {
	if r.beacons%uint64(r.cfg.RemoteBeaconEvery) != 0 {
		return nil
	}
	first := map[ident.Region][]registry.Host{}
	for _, p := range r.hosts {
		if region := p.Location.Region; region != r.self.Location.Region && first[region] == nil {
			first[region] = r.first(region, r.cfg.ReportFanout)
		}
	}
	var to []Delivery
	for region, hosts := range first {
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
	slices.SortFunc(to, func(a, b Delivery) int { return before(&a.Host, &b.Host) })
	b := r.currentBeacon()
	b.Remote = nil
	return []Action{SendBeacon{Beacon: b, To: to}}
}

// remoteActive returns the active hosts of the other regions as their coordinators
// said lately.
func (r *Roster) remoteActive(now time.Time) []ident.HostID {
	var list []ident.HostID
	for _, region := range r.regions {
		if now.Sub(region.at) < r.cfg.RemoteSilenceLimit {
			list = append(list, region.active...)
		}
	}
	slices.Sort(list)
	return list
}

// RemotePeers returns the active hosts of the other regions.
func (r *Roster) RemotePeers() []registry.Host {
	var list []registry.Host
	for _, id := range r.remote {
		if p := r.hosts[id]; p != nil {
			list = append(list, p.Host)
		}
	}
	return list
}
