// Package serving selects the hosts that serve a service, by rendezvous
// hashing over the live hosts, and orders them for address answers.
package serving

import (
	"sort"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Host is a live host.
type Host struct {
	ID       ident.HostID
	Location ident.Location
}

// Rank orders hosts by their rendezvous weight for a key, highest first.
func RankHosts(key string, hosts []Host) []Host {
	type weighted struct {
		host   Host
		weight uint64
	}
	prefix := newKey(key)
	list := make([]weighted, len(hosts))
	for i, h := range hosts {
		list[i] = weighted{h, prefix.weight(h.ID)}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].weight != list[j].weight {
			return list[i].weight > list[j].weight
		}
		return list[i].host.ID < list[j].host.ID
	})
	ranked := make([]Host, len(hosts))
	for i, w := range list {
		ranked[i] = w.host
	}
	return ranked
}

// Set returns the serving hosts of a service in one region: size hosts, spread
// evenly over the region's availability zones as far as the zones have hosts.
func ServingSet(service ident.ServiceName, region ident.Region, size int, hosts []Host) []Host {
	byZone := map[ident.Zone][]Host{}
	var zones []ident.Zone
	for _, h := range RankHosts(setKey(service, region), inRegion(hosts, region)) {
		if byZone[h.Location.Zone] == nil {
			zones = append(zones, h.Location.Zone)
		}
		byZone[h.Location.Zone] = append(byZone[h.Location.Zone], h)
	}
	var set []Host
	for round := 0; len(set) < size; round++ {
		added := false
		for _, z := range zones {
			if round < len(byZone[z]) && len(set) < size {
				set = append(set, byZone[z][round])
				added = true
			}
		}
		if !added {
			break
		}
	}
	return set
}

func inRegion(hosts []Host, region ident.Region) []Host {
	var in []Host
	for _, h := range hosts {
		if h.Location.Region == region {
			in = append(in, h)
		}
	}
	return in
}
