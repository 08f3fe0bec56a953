package roster

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// Learn adds or updates hosts that the registry or another host listed.
func (r *Roster) Learn(hosts []registry.Host) {
	for _, h := range hosts {
		p := r.hosts[h.ID]
		switch {
		case p == nil:
			r.ownersOf = nil
			p = &hostState{Host: h, learnedAt: r.lastTick, hash: uint32(hashID(h.ID))}
			r.hosts[h.ID] = p
			r.insert(p)
		case p.Host != h:
			r.order = slices.DeleteFunc(r.order, func(o *hostState) bool { return o == p })
			if p.Incarnation != h.Incarnation {
				p.leaving, p.learnedAt = false, r.lastTick
			}
			p.Host = h
			r.insert(p)
		}
	}
}

// insert adds a host of this region to the coordination order: most CPU first, then by
// a hash of the ID, which spreads the coordinators over zones.
func (r *Roster) insert(p *hostState) {
	if p.Location.Region != r.self.Location.Region {
		return
	}
	at, _ := slices.BinarySearchFunc(r.order, p, func(a, b *hostState) int { return compareHosts(&a.Host, &b.Host) })
	r.order = slices.Insert(r.order, at, p)
}

func compareHosts(a, b *registry.Host) int {
	if a.Millicores != b.Millicores {
		return b.Millicores - a.Millicores
	}
	if x, y := hashID(a.ID), hashID(b.ID); x != y {
		if x < y {
			return -1
		}
		return 1
	}
	return 0
}

func hashID(id ident.HostID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// firstHosts returns up to n hosts of a region in coordination order, without those
// known to be leaving.
func (r *Roster) firstHosts(region ident.Region, n int) []registry.Host {
	var list []registry.Host
	for _, p := range r.hosts {
		if p.Location.Region != region || p.leaving {
			continue
		}
		at, _ := slices.BinarySearchFunc(list, p.Host, func(a, b registry.Host) int { return compareHosts(&a, &b) })
		if at < n {
			list = slices.Insert(list, at, p.Host)
			list = list[:min(n, len(list))]
		}
	}
	return list
}

// hasCoordinator reports whether this host coordinates or has ever followed a
// coordinator.
func (r *Roster) hasCoordinator() bool { return r.coordinator != "" }

// followsNoHost reports whether this host follows no other host. That includes a
// coordinator: its seeds may know another coordinator, elected by hosts that started
// from different seeds.
func (r *Roster) followsNoHost() bool { return !r.hasCoordinator() || r.coordinator == r.self.ID }

// IsCoordinator reports whether this host coordinates its region. A coordinator keeps the
// role until it leaves or receives a beacon of a host that precedes it in the order. The
// others stop following it if it receives none of their messages.
func (r *Roster) IsCoordinator(now time.Time) bool {
	if r.leaving {
		return false
	}
	if r.coordinator == r.self.ID {
		return true
	}
	if !r.hasCoordinator() {
		return now.Sub(r.startedAt) >= r.startWait(now)+r.takeoverWait(r.takeoverRank())
	}
	current := r.hosts[r.coordinator]
	mustReplace := current != nil && (current.leaving || r.coordinatorIsolated)
	silence := now.Sub(r.lastBeaconAt) - r.cfg.FailureTimeout - r.cfg.TakeoverStep
	if !mustReplace && silence < 0 {
		// The rank is not needed, whose cost grows with the region.
		return false
	}
	rank := r.takeoverRank()
	return (mustReplace && rank == 0) || silence >= r.takeoverWait(rank)
}

// startWait returns how long a starting host waits before it coordinates. If other
// hosts have a copy of the registry, one of them takes over instead: a starting host reads
// its targets from scratch, so that every other host would have to transfer the whole list.
func (r *Roster) startWait(now time.Time) time.Duration {
	switch {
	case r.hasReadyPeer(now):
		return r.cfg.FailureTimeout + (maxTakeoverSteps+1)*r.cfg.TakeoverStep
	case len(r.hosts) > 1:
		return r.cfg.StartWait
	case len(r.seeds) > 0:
		return r.cfg.SeedWait
	}
	return 0
}

// hasReadyPeer reports whether another live host of the region can serve callers.
func (r *Roster) hasReadyPeer(now time.Time) bool {
	return slices.ContainsFunc(r.order, func(p *hostState) bool {
		return p.ID != r.self.ID && !p.lastHeard.IsZero() && !p.starting && now.Sub(p.lastHeard) < r.cfg.FailureTimeout
	})
}

// takeoverRank returns the number of hosts that take over before this one. If the live hosts
// are known, the others do not count: records of hosts that were removed for good may precede
// all live hosts. A host that the coordinator has not heard takes over after those.
func (r *Roster) takeoverRank() int {
	rank, live := 0, 0
	for _, p := range r.order {
		if p.ID == r.self.ID {
			break
		}
		if !p.leaving && p.ID != r.coordinator {
			rank++
			if r.isSuccessor(p) {
				live++
			}
		}
	}
	if r.isSuccessor(r.hosts[r.self.ID]) {
		return live
	}
	return max(rank, len(r.successors))
}

const (
	// maxTakeoverSteps is the number of hosts that take over in strict succession,
	// TakeoverStep apart.
	maxTakeoverSteps = 4
	// takeoverSpread is the mean interval between takeovers of the remaining hosts,
	// which are ordered by a hash of their IDs. The first one to take over is heard by
	// the others.
	takeoverSpread = 20 * time.Millisecond
	// spreadSteps is the number of time slots over which those takeovers are
	// spread.
	spreadSteps = 1 << 10
)

// takeoverWait returns the additional time that a host of a rank waits before it takes
// over.
func (r *Roster) takeoverWait(rank int) time.Duration {
	if rank <= maxTakeoverSteps {
		return time.Duration(rank) * r.cfg.TakeoverStep
	}
	spread := takeoverSpread * time.Duration(len(r.order))
	return maxTakeoverSteps*r.cfg.TakeoverStep + spread/spreadSteps*time.Duration(hashID(r.self.ID)%spreadSteps)
}
