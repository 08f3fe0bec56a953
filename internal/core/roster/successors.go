package roster

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// maxSuccessors is the length of a list of successors. It covers the hosts that take over or
// read the store in turn, maxTakeoverSteps and the fallback and reserve readers of package
// discovery. Each one takes 4 bytes in a beacon.
const maxSuccessors = 16

// updateSuccessors determines the first live hosts in coordination order. They are announced in
// beacons, because only the coordinator receives reports of all hosts. The known hosts of a
// region include those that were removed for good until their records are deleted, and at a
// start it is unknown which ones those are.
func (r *Roster) updateSuccessors(now time.Time) {
	takingOver := now.Sub(r.tookOverAt) < r.cfg.FailureTimeout
	var list []uint32
	for _, p := range r.order {
		if len(list) == maxSuccessors {
			break
		}
		heard := !p.lastHeard.IsZero() && now.Sub(p.lastHeard) < r.cfg.FailureTimeout
		inherited := takingOver && p.ID != r.previousCoordinator && r.isSuccessor(p)
		if p.ID != r.self.ID && !p.leaving && (heard || inherited) {
			list = append(list, p.hash)
		}
	}
	// A coordinator that receives nothing does not know who is alive.
	if len(list) > 0 {
		r.setSuccessors(list)
	}
}

func (r *Roster) setSuccessors(list []uint32) {
	r.successors, r.lastSuccessor = list[:min(len(list), maxSuccessors)], nil
	if len(r.successors) < maxSuccessors {
		return
	}
	last := r.successors[maxSuccessors-1]
	if i := slices.IndexFunc(r.order, func(p *hostState) bool { return p.hash == last }); i >= 0 {
		r.lastSuccessor = r.order[i]
	}
}

// isSuccessor reports whether a host is in the latest list of successors.
func (r *Roster) isSuccessor(p *hostState) bool { return slices.Contains(r.successors, p.hash) }

// knownSilent reports whether the coordinator that announced the list of successors had not
// heard a host. A full list says nothing about the hosts behind its last one.
func (r *Roster) knownSilent(p *hostState) bool {
	if len(r.successors) == 0 || r.isSuccessor(p) || slices.Contains(r.active, p.ID) {
		return false
	}
	if len(r.successors) < maxSuccessors {
		return true
	}
	return r.lastSuccessor != nil && compareHosts(&p.Host, &r.lastSuccessor.Host) < 0
}

// SilentHosts returns the hosts of the region that have not been heard for hostForgetTime while
// this host has coordinated. They have been removed for good, or are on the other side of a
// partition, whose coordinator registers them again.
func (r *Roster) SilentHosts(now time.Time) []registry.Host {
	if r.coordinator != r.self.ID || r.leaving || now.Sub(r.tookOverAt) < hostForgetTime || now.Sub(r.lastMessageAt) >= r.cfg.FailureTimeout {
		return nil
	}
	var list []registry.Host
	for _, p := range r.order {
		if p.ID != r.self.ID && now.Sub(p.learnedAt) >= hostForgetTime && now.Sub(p.lastHeard) >= hostForgetTime {
			list = append(list, p.Host)
		}
	}
	return list
}

// Forget removes hosts that the coordinator of their region has removed from the registry,
// except those that were heard within hostForgetTime.
func (r *Roster) Forget(now time.Time, ids []ident.HostID) {
	for _, id := range ids {
		p := r.hosts[id]
		if p == nil || id == r.self.ID || id == r.coordinator || now.Sub(p.lastHeard) < hostForgetTime {
			continue
		}
		delete(r.hosts, id)
		r.order = slices.DeleteFunc(r.order, func(o *hostState) bool { return o == p })
	}
}
