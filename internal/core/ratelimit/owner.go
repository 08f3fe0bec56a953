package ratelimit

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/serving"
)

const (
	// maxOwnerGap is the time without a fresh beacon after which another host may have
	// handed out more than the rate of that time: the owner that replaces a silent one
	// starts with a debt, more than a second after the last beacon.
	maxOwnerGap = 2 * time.Second
	// ownerHistory is the number of lists of active hosts that are remembered.
	ownerHistory = 16
)

// View is what a host knows of the hosts that can own teams.
type View struct {
	// Region is the region of this host.
	Region ident.Region
	// Share is the part of the quotas of its region's teams that the owners which follow
	// this host's coordinator hand out together, see roster.FollowerShare.
	Share float64
	// ValidUntil is the time until which Share may be used, zero without a coordinator.
	ValidUntil time.Time
	// Active holds the active hosts of each region.
	Active map[ident.Region][]ident.HostID
}

// HomeRegion returns the region whose hosts own a team, empty without regions. All hosts
// must use the same regions, also those that no message reaches.
func HomeRegion(team ident.TeamName, regions []ident.Region) ident.Region {
	rank := serving.NewRendezvous(string(team))
	var best ident.Region
	var bestWeight uint64
	for _, region := range regions {
		w := rank.Weight(ident.HostID(region))
		if best == "" || w > bestWeight || (w == bestWeight && region < best) {
			best, bestWeight = region, w
		}
	}
	return best
}

// Owner returns the owner of a team among the active hosts of its home region, empty if
// there are none.
func Owner(team ident.TeamName, active []ident.HostID) ident.HostID {
	return serving.NewRendezvous(string(team)).Best(active)
}

// ownerCandidates returns the owner of a team and the host that becomes it if the owner
// fails.
func ownerCandidates(team ident.TeamName, active []ident.HostID) [2]ident.HostID {
	rank := serving.NewRendezvous(string(team))
	var ids [2]ident.HostID
	var weights [2]uint64
	for _, id := range active {
		w := rank.Weight(id)
		switch {
		case ids[0] == "" || w > weights[0]:
			ids[1], weights[1] = ids[0], weights[0]
			ids[0], weights[0] = id, w
		case ids[1] == "" || w > weights[1]:
			ids[1], weights[1] = id, w
		}
	}
	return ids
}

// ownership tells which teams a host owns, and since when.
type ownership struct {
	self ident.HostID
	// lists holds the lists of active hosts since this host has received beacons without a
	// gap, the latest last.
	lists []ownerList
	// validUntil is that of the latest view.
	validUntil time.Time
}

type ownerList struct {
	since time.Time
	hosts []ident.HostID
}

// update applies a view. It reports whether the list of hosts changed, and the length of a gap
// in which this host handed out nothing.
func (o *ownership) update(now time.Time, v *View) (changed bool, gap time.Duration) {
	hosts := v.Active[v.Region]
	if v.Share <= 0 || !now.Before(v.ValidUntil) || len(hosts) == 0 {
		return false, 0
	}
	if !o.validUntil.IsZero() {
		gap = max(0, now.Sub(o.validUntil))
	}
	if gap > maxOwnerGap {
		o.lists = nil
	}
	o.validUntil = v.ValidUntil
	if n := len(o.lists); n > 0 && slices.Equal(o.lists[n-1].hosts, hosts) {
		return false, gap
	}
	o.lists = append(o.lists, ownerList{now, slices.Clone(hosts)})
	if len(o.lists) > ownerHistory {
		o.lists = slices.Delete(o.lists, 0, 1)
	}
	return true, gap
}

// valid reports whether this host may hand out permits.
func (o *ownership) valid(now time.Time) bool {
	return len(o.lists) > 0 && now.Before(o.validUntil)
}

// ownedSince returns the time since which this host owns a team, and whether it does.
func (o *ownership) ownedSince(team ident.TeamName) (since time.Time, ok bool) {
	for _, list := range slices.Backward(o.lists) {
		if Owner(team, list.hosts) != o.self {
			break
		}
		since, ok = list.since, true
	}
	return since, ok
}
