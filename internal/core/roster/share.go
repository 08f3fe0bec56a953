package roster

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// hostForgetTime is the time after which hosts that follow no coordinator of which this
// one knows no longer count as hosts of the region. They may have been removed for good,
// or be on the other side of a partition.
const hostForgetTime = 10 * time.Minute

// FollowerShare returns the fraction of the region's hosts that follow this host, 0 if it
// does not coordinate. It is this host's part of what the coordinators of the region may
// hand out together. A host follows one coordinator at a time, so the parts of two
// coordinators on the two sides of a partition do not add up to more than one.
func (r *Roster) FollowerShare(now time.Time) float64 {
	if r.coordinator != r.self.ID || !r.IsCoordinator(now) {
		return 0
	}
	followers := r.followers(now)
	return float64(followers) / float64(max(followers, r.regionSize))
}

// followers returns the number of live hosts that follow this one, including itself.
func (r *Roster) followers(now time.Time) int {
	n := 1
	for _, p := range r.order {
		if p.ID != r.self.ID && p.follows == r.self.ID && now.Sub(p.lastHeard) < r.cfg.FailureTimeout {
			n++
		}
	}
	return n
}

// updateRegionSize sets the size of the region to the number of followers if that is
// higher, or if the size has been higher for hostForgetTime. The size comes with the
// beacons, so a new coordinator takes over that of its predecessor.
func (r *Roster) updateRegionSize(now time.Time) {
	followers := r.followers(now)
	if followers >= r.regionSize || now.Sub(r.regionSizeAt) > hostForgetTime {
		r.regionSize, r.regionSizeAt = followers, now
	}
}

// CoordinatorOf returns the coordinator of a region and whether it is known.
func (r *Roster) CoordinatorOf(region ident.Region) (registry.Host, bool) {
	if region == r.self.Location.Region {
		return r.Coordinator()
	}
	for _, id := range r.remoteCoordinators {
		if p := r.hosts[id]; p != nil && p.Location.Region == region {
			return p.Host, true
		}
	}
	return registry.Host{}, false
}
