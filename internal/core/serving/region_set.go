package serving

import (
	"slices"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// regionSet maintains the serving set of a service in one region.
type regionSet struct {
	key  key
	size int
	// zones holds the hosts of highest weight in each zone. At most size hosts of one
	// zone can be in the set.
	zones map[ident.Zone]*topHosts
	// spare holds the hosts of highest weight for the spare key, enough to find
	// spareHosts that are not in the set.
	spare topHosts
	set   []*Host
}

func newRegionSet(service ident.ServiceName, region ident.Region, size int) *regionSet {
	return &regionSet{
		key:   newKey(setKey(service, region)),
		size:  size,
		zones: map[ident.Zone]*topHosts{},
		spare: topHosts{key: newKey(spareKey(service)), limit: size + spareHosts},
	}
}

// add adds a host that joined and reports whether the set may have changed.
func (rs *regionSet) add(h *Host) bool {
	rs.spare.add(h)
	zone := rs.zones[h.Location.Zone]
	if zone == nil {
		zone = &topHosts{key: rs.key, limit: rs.size}
		rs.zones[h.Location.Zone] = zone
	}
	return zone.add(h)
}

// remove removes a host that left and reports whether the set may have changed.
// zoneHosts and regionHosts are the remaining hosts of its zone and region.
func (rs *regionSet) remove(h *Host, zoneHosts, regionHosts []*Host) bool {
	rs.spare.remove(h, regionHosts)
	zone := rs.zones[h.Location.Zone]
	if !zone.remove(h, zoneHosts) {
		return false
	}
	if len(zone.list) == 0 {
		delete(rs.zones, h.Location.Zone)
	}
	return true
}

// computeSet returns the serving set by the rule of ServingSet: hosts are taken
// round-robin from the zones, which are ordered by their host of highest weight.
func (rs *regionSet) computeSet() []*Host {
	lists := make([][]weightedHost, 0, len(rs.zones))
	for _, z := range rs.zones {
		lists = append(lists, z.list)
	}
	slices.SortFunc(lists, func(a, b []weightedHost) int {
		if a[0].before(b[0]) {
			return -1
		}
		return 1
	})
	set := make([]*Host, 0, rs.size)
	for round := 0; round < rs.size; round++ {
		for _, list := range lists {
			if round < len(list) && len(set) < rs.size {
				set = append(set, list[round].host)
			}
		}
	}
	return set
}

func (rs *regionSet) hosts() []Host {
	list := make([]Host, 0, len(rs.set))
	for _, h := range rs.set {
		list = append(list, *h)
	}
	return list
}

func (rs *regionSet) spares() []Host {
	list := make([]Host, 0, spareHosts)
	for _, w := range rs.spare.list {
		if len(list) < spareHosts && !slices.Contains(rs.set, w.host) {
			list = append(list, *w.host)
		}
	}
	return list
}
