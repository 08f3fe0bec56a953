package roster

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// Rank returns the position of this host in coordination order, after the coordinator. If the
// coordinator has announced which hosts are alive, the others do not count.
func (r *Roster) Rank() int {
	position := slices.IndexFunc(r.order, func(p *hostState) bool { return p.ID == r.self.ID })
	if r.coordinator == r.self.ID || len(r.successors) == 0 {
		return position
	}
	if i := slices.Index(r.successors, r.hosts[r.self.ID].hash); i >= 0 {
		return i + 1
	}
	return max(position, len(r.successors)+1)
}

// Coordinator returns the coordinator of the region and whether it is known.
func (r *Roster) Coordinator() (registry.Host, bool) {
	p := r.hosts[r.coordinator]
	if p == nil {
		return registry.Host{}, false
	}
	return p.Host, true
}

// Active returns the hosts that a caller in a zone should use: the active hosts of the
// zone, otherwise those of the region, otherwise this host.
func (r *Roster) Active(zone ident.Zone) []registry.Host {
	var inZone, all []registry.Host
	for _, id := range r.active {
		p := r.hosts[id]
		if p == nil || (id == r.self.ID && r.leaving) {
			continue
		}
		all = append(all, p.Host)
		if p.Location.Zone == zone {
			inZone = append(inZone, p.Host)
		}
	}
	switch {
	case len(inZone) > 0:
		return inZone
	case len(all) > 0:
		return all
	}
	return []registry.Host{r.self}
}

// Peers returns the active hosts of the region other than this one.
func (r *Roster) Peers() []registry.Host {
	var list []registry.Host
	for _, id := range r.active {
		if p := r.hosts[id]; p != nil && id != r.self.ID {
			list = append(list, p.Host)
		}
	}
	return list
}

// HasActive reports whether any active host is known.
func (r *Roster) HasActive() bool { return len(r.active) > 0 }

// IsActive reports whether this host is active.
func (r *Roster) IsActive() bool { return slices.Contains(r.active, r.self.ID) }

// Self returns this host.
func (r *Roster) Self() registry.Host { return r.self }

// Host returns a host by ID and whether it is known.
func (r *Roster) Host(id ident.HostID) (registry.Host, bool) {
	if p := r.hosts[id]; p != nil {
		return p.Host, true
	}
	return registry.Host{}, false
}

// ActiveHosts returns the IDs of the active hosts of the region. The caller must not
// modify the slice.
func (r *Roster) ActiveHosts() []ident.HostID { return r.active }

// ActiveCount returns the number of active hosts of the region, at least 1.
func (r *Roster) ActiveCount() int { return max(1, len(r.active)) }

// Member is a host of the region with its state as seen by this host.
type Member struct {
	registry.Host
	// State is self, active, leaving, alive or silent.
	State string
}

// Members returns the hosts of the region in coordination order.
func (r *Roster) Members(now time.Time) []Member {
	list := make([]Member, 0, len(r.order))
	for _, p := range r.order {
		state := "silent"
		switch {
		case p.ID == r.self.ID:
			state = "self"
		case p.leaving:
			state = "leaving"
		case slices.Contains(r.active, p.ID):
			state = "active"
		case r.alive(now, p):
			state = "alive"
		}
		list = append(list, Member{p.Host, state})
	}
	return list
}

// RegionCount returns the number of known hosts of this region.
func (r *Roster) RegionCount() int { return len(r.order) }

// Count returns the number of known hosts of all regions.
func (r *Roster) Count() int { return len(r.hosts) }
