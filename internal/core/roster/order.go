package roster

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// Learn takes hosts from the registry or from another host.
func (r *Roster) Learn(hosts []registry.Host) {
	for _, h := range hosts {
		p := r.hosts[h.ID]
		switch {
		case p == nil:
			p = &peer{Host: h}
			r.hosts[h.ID] = p
			r.insert(p)
		case p.Host != h:
			r.order = slices.DeleteFunc(r.order, func(o *peer) bool { return o == p })
			if p.Incarnation != h.Incarnation {
				p.leaving = false
			}
			p.Host = h
			r.insert(p)
		}
	}
}

// insert adds a host of this region to the order: most processor first, then by a
// hash of the name, which spreads the work over zones.
func (r *Roster) insert(p *peer) {
	if p.Location.Region != r.self.Location.Region {
		return
	}
	at, _ := slices.BinarySearchFunc(r.order, p, func(a, b *peer) int { return before(&a.Host, &b.Host) })
	r.order = slices.Insert(r.order, at, p)
}

func before(a, b *registry.Host) int {
	if a.Millicores != b.Millicores {
		return b.Millicores - a.Millicores
	}
	if x, y := hash(a.ID), hash(b.ID); x != y {
		if x < y {
			return -1
		}
		return 1
	}
	return 0
}

func hash(id ident.HostID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// first returns the first hosts of a region in the order of coordination that are
// not known to leave.
func (r *Roster) first(region ident.Region, n int) []registry.Host {
	var list []registry.Host
	for _, p := range r.hosts {
		if p.Location.Region != region || p.leaving {
			continue
		}
		at, _ := slices.BinarySearchFunc(list, p.Host, func(a, b registry.Host) int { return before(&a, &b) })
		if at < n {
			list = slices.Insert(list, at, p.Host)
			list = list[:min(n, len(list))]
		}
	}
	return list
}

// follows reports whether this host coordinates or has ever followed a coordinator.
func (r *Roster) follows() bool { return r.coordinator != "" }

// isolated reports whether this host follows no other one. A coordinator does not: its
// seeds may know another one, which started with other hosts.
func (r *Roster) isolated() bool { return !r.follows() || r.coordinator == r.self.ID }

// Coordinates reports whether this host coordinates its region. One that coordinates
// goes on until it leaves or hears a host before it in the order.
func (r *Roster) Coordinates(now time.Time) bool {
	if r.leaving {
		return false
	}
	if r.coordinator == r.self.ID {
		return true
	}
	rank := r.takeoverRank()
	if !r.follows() {
		return now.Sub(r.startedAt) >= r.startWait(now)+r.takeoverWait(rank)
	}
	current := r.hosts[r.coordinator]
	if rank == 0 && current != nil && current.leaving {
		return true
	}
	return now.Sub(r.beaconAt) >= r.cfg.SilenceLimit+r.cfg.TakeoverStep+r.takeoverWait(rank)
}

// startWait is how long a host that has just started waits before it coordinates. Where
// others have a copy of the registry one of them is to take over: what has left since
// is missing in a list that is read anew, and the others would never hear of it.
func (r *Roster) startWait(now time.Time) time.Duration {
	switch {
	case r.hearsReady(now):
		return r.cfg.SilenceLimit + (maxTakeoverSteps+1)*r.cfg.TakeoverStep
	case len(r.hosts) > 1:
		return r.cfg.StartWait
	case len(r.seeds) > 0:
		return r.cfg.SeedWait
	}
	return 0
}

// hearsReady reports whether a host of the region that can serve callers lives.
func (r *Roster) hearsReady(now time.Time) bool {
	return slices.ContainsFunc(r.order, func(p *peer) bool {
		return p.ID != r.self.ID && !p.heard.IsZero() && !p.starting && now.Sub(p.heard) < r.cfg.SilenceLimit
	})
}

// takeoverRank is the number of hosts that take over before this one.
func (r *Roster) takeoverRank() int {
	rank := 0
	for _, p := range r.order {
		if p.ID == r.self.ID {
			break
		}
		if !p.leaving && p.ID != r.coordinator {
			rank++
		}
	}
	return rank
}

const (
	// maxTakeoverSteps is the number of hosts that take over one after the other.
	maxTakeoverSteps = 4
	// takeoverSpread is the mean time between two of the others, which take over in
	// an order by their names: the first one that does is heard by the rest.
	takeoverSpread = 20 * time.Millisecond
	// spreadSteps is the number of moments over which they are spread.
	spreadSteps = 1 << 10
)

// takeoverWait is how much longer than the first one a host waits.
func (r *Roster) takeoverWait(rank int) time.Duration {
	if rank <= maxTakeoverSteps {
		return time.Duration(rank) * r.cfg.TakeoverStep
	}
	spread := takeoverSpread * time.Duration(len(r.order))
	return maxTakeoverSteps*r.cfg.TakeoverStep + spread/spreadSteps*time.Duration(hash(r.self.ID)%spreadSteps)
}
