package serving

import (
	"math/rand/v2"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// maxAnswer bounds the hosts in an address answer: enough for a caller to find
// a live one when a whole availability zone fails, and small on the wire.
const maxAnswer = 8

// spareHosts is the number of hosts outside the serving set that follow the
// serving hosts of the caller's region.
const spareHosts = 2

// Answer orders the hosts that a caller at the given location should use for a
// service: the serving hosts of its availability zone, those of its region,
// spare hosts of its region, and the serving hosts of other regions. Hosts of
// equal preference are shuffled by rng, so that callers spread over them. It is
// empty only if hosts is.
func Answer(service ident.ServiceName, size int, at ident.Location, hosts []Host, rng *rand.Rand) []Host {
	set := ServingSet(service, at.Region, size, hosts)
	var others [][]Host
	for _, region := range otherRegions(hosts, at.Region) {
		others = append(others, ServingSet(service, region, size, hosts))
	}
	return arrange(at.Zone, set, spares(service, at.Region, set, hosts), others, rng)
}

// arrange orders an answer from near to far.
func arrange(zone ident.Zone, set, spare []Host, others [][]Host, rng *rand.Rand) []Host {
	near, far := splitByZone(set, zone)
	answer := append(shuffled(near, rng), shuffled(far, rng)...)
	answer = append(answer, spare...)
	for _, other := range others {
		answer = append(answer, shuffled(other, rng)...)
	}
	return answer[:min(len(answer), maxAnswer)]
}

func splitByZone(hosts []Host, zone ident.Zone) (in, out []Host) {
	for _, h := range hosts {
		if h.Location.Zone == zone {
			in = append(in, h)
		} else {
			out = append(out, h)
		}
	}
	return in, out
}

func spares(service ident.ServiceName, region ident.Region, set, hosts []Host) []Host {
	serving := map[ident.HostID]bool{}
	for _, h := range set {
		serving[h.ID] = true
	}
	var list []Host
	for _, h := range RankHosts(spareKey(service), inRegion(hosts, region)) {
		if !serving[h.ID] && len(list) < spareHosts {
			list = append(list, h)
		}
	}
	return list
}

func otherRegions(hosts []Host, region ident.Region) []ident.Region {
	seen := map[ident.Region]bool{region: true}
	var regions []ident.Region
	for _, h := range hosts {
		if !seen[h.Location.Region] {
			seen[h.Location.Region] = true
			regions = append(regions, h.Location.Region)
		}
	}
	return regions
}

func shuffled(hosts []Host, rng *rand.Rand) []Host {
	list := append([]Host(nil), hosts...)
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}
