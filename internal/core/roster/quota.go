package roster

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
)

// QuotaView returns what this host knows of the hosts that own teams. The share that a
// beacon carries is valid until the coordinator counts as failed: another one takes over
// later than that.
func (r *Roster) QuotaView(now time.Time) ratelimit.View {
	region := r.self.Location.Region
	if r.ownersOf == nil {
		r.ownersOf = map[ident.Region][]ident.HostID{region: r.owners()}
		for _, id := range r.remoteHosts {
			if p := r.hosts[id]; p != nil && !slices.Contains(r.nonOwners, id) {
				r.ownersOf[p.Location.Region] = append(r.ownersOf[p.Location.Region], id)
			}
		}
		for region, list := range r.ownersOf {
			r.ownersOf[region] = r.firstOwners(list)
		}
	}
	v := ratelimit.View{Region: region, Active: r.ownersOf}
	switch {
	case r.coordinator == "":
	case r.coordinator == r.self.ID:
		v.Share, v.ValidUntil = r.FollowerShare(now), now.Add(r.cfg.Interval)
		if sentAt := r.nextBeacon.Add(-r.cfg.Interval); r.IsCoordinator(now) && sentAt.Add(r.cfg.FailureTimeout).After(v.ValidUntil) {
			// No other host takes over earlier. With Interval alone, a short stall of the process
			// was a gap in which the quotas of its teams counted as unknown.
			v.ValidUntil = sentAt.Add(r.cfg.FailureTimeout)
		}
	default:
		v.Share, v.ValidUntil = r.coordinatorShare, r.lastBeaconAt.Add(r.cfg.FailureTimeout)
	}
	return v
}

const (
	// minOwners is the number of hosts of a region that own teams, and activePerOwner the
	// number of active hosts for each owner from which there are more.
	minOwners      = 4
	activePerOwner = 4
	// coordinators is the number of hosts that own no teams if there are enough others: the
	// coordinator and its successor, so that a takeover moves no team.
	coordinators = 2
)

// firstOwners returns the hosts that own teams: the first ones of a list of active hosts in
// coordination order. Each change of an owner costs the team its accumulated permits, and the
// number of active hosts follows the load, so it does not decide which hosts are the first
// ones, and their number grows in powers of two.
func (r *Roster) firstOwners(active []ident.HostID) []ident.HostID {
	list := slices.Clone(active)
	slices.SortStableFunc(list, func(a, b ident.HostID) int {
		x, y := r.hosts[a], r.hosts[b]
		if x == nil || y == nil {
			// Hosts that are not known yet come last.
			return boolOrder(x == nil) - boolOrder(y == nil)
		}
		return compareHosts(&x.Host, &y.Host)
	})
	owners := minOwners
	for 2*owners*activePerOwner <= len(list) {
		owners *= 2
	}
	if len(list) >= coordinators+owners {
		list = list[coordinators:]
	}
	return list[:min(owners, len(list))]
}

func boolOrder(last bool) int {
	if last {
		return 1
	}
	return 0
}

// owners returns the active hosts of the region that can own teams.
func (r *Roster) owners() []ident.HostID {
	if len(r.nonOwners) == 0 {
		return r.active
	}
	return slices.DeleteFunc(slices.Clone(r.active), func(id ident.HostID) bool { return slices.Contains(r.nonOwners, id) })
}

// findNonOwners returns the active hosts of the region that report that they coordinate for
// themselves, and those that the other regions' coordinators name.
func (r *Roster) findNonOwners(now time.Time) []ident.HostID {
	var list []ident.HostID
	for _, id := range r.active {
		if p := r.hosts[id]; p != nil && id != r.self.ID && p.follows == id {
			list = append(list, id)
		}
	}
	for _, region := range r.regions {
		if now.Sub(region.heardAt) < r.cfg.RemoteFailureTimeout {
			list = append(list, region.nonOwners...)
		}
	}
	slices.Sort(list)
	return list
}

// ownNonOwners returns the hosts of this region that own no teams.
func (r *Roster) ownNonOwners() []ident.HostID {
	var list []ident.HostID
	for _, id := range r.nonOwners {
		if slices.Contains(r.active, id) {
			list = append(list, id)
		}
	}
	return list
}
