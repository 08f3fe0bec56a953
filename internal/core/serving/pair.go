package serving

import (
	"slices"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// pair is a (service, region) pair of an Index.
type pair struct {
	key  key
	size int
	// zones holds the highest hosts of each zone: more than size of one zone
	// can never be in the set.
	zones map[ident.Zone]*top
	// spare holds enough hosts to find the spare ones that are not in the set.
	spare top
	set   []*Host
}

func newPair(service ident.ServiceName, region ident.Region, size int) *pair {
	return &pair{
		key:   newKey(setKey(service, region)),
		size:  size,
		zones: map[ident.Zone]*top{},
		spare: top{key: newKey(spareKey(service)), limit: size + spareHosts},
	}
}

// add takes a host that joined and reports whether the set may differ.
func (p *pair) add(h *Host) bool {
	p.spare.add(h)
	zone := p.zones[h.Location.Zone]
	if zone == nil {
		zone = &top{key: p.key, limit: p.size}
		p.zones[h.Location.Zone] = zone
	}
	return zone.add(h)
}

// remove drops a host that left and reports whether the set may differ. The
// lists are the remaining hosts of its zone and region.
func (p *pair) remove(h *Host, zoneHosts, regionHosts []*Host) bool {
	p.spare.remove(h, regionHosts)
	zone := p.zones[h.Location.Zone]
	if !zone.remove(h, zoneHosts) {
		return false
	}
	if len(zone.list) == 0 {
		delete(p.zones, h.Location.Zone)
	}
	return true
}

// choose returns the set by the rule of Set: zones take turns, the one with the
// highest host first.
func (p *pair) choose() []*Host {
	lists := make([][]ranked, 0, len(p.zones))
	for _, z := range p.zones {
		lists = append(lists, z.list)
	}
	slices.SortFunc(lists, func(a, b []ranked) int {
		if a[0].before(b[0]) {
			return -1
		}
		return 1
	})
	set := make([]*Host, 0, p.size)
	for round := 0; round < p.size; round++ {
		for _, list := range lists {
			if round < len(list) && len(set) < p.size {
				set = append(set, list[round].host)
			}
		}
	}
	return set
}

func (p *pair) hosts() []Host {
	list := make([]Host, 0, len(p.set))
	for _, h := range p.set {
		list = append(list, *h)
	}
	return list
}

func (p *pair) spares() []Host {
	list := make([]Host, 0, spareHosts)
	for _, r := range p.spare.list {
		if len(list) < spareHosts && !slices.Contains(p.set, r.host) {
			list = append(list, *r.host)
		}
	}
	return list
}
