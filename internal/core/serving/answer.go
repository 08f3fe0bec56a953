package serving

import (
	"math/rand/v2"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// maxAnswerHosts is the maximum number of hosts in an address answer: enough for a
// caller to find a live one when a whole availability zone fails, and still small on
// the wire.
const maxAnswerHosts = 8

// spareHosts is the number of hosts outside the serving set that an answer lists after
// the serving hosts of the caller's region.
const spareHosts = 2

// Answer returns the hosts that a caller at the given location should use for a
// service, in order of preference: the serving hosts of its availability zone, those of
// its region, spare hosts of its region, and the serving hosts of other regions. Serving
// hosts of equal preference are shuffled with rng to distribute callers over them. The
// result is empty only if hosts is.
func Answer(service ident.ServiceName, size int, at ident.Location, hosts []Host, rng *rand.Rand) []Host {
	set := ServingSet(service, at.Region, size, hosts)
	var others [][]Host
	for _, region := range listOtherRegions(hosts, at.Region) {
		others = append(others, ServingSet(service, region, size, hosts))
	}
	return orderAnswer(at.Zone, set, selectSpares(service, at.Region, set, hosts), others, rng)
}

// orderAnswer joins the hosts of an answer in order of preference and truncates it to
// maxAnswerHosts.
func orderAnswer(zone ident.Zone, set, spare []Host, others [][]Host, rng *rand.Rand) []Host {
	sameZone, otherZones := splitByZone(set, zone)
	answer := append(shuffled(sameZone, rng), shuffled(otherZones, rng)...)
	answer = append(answer, spare...)
	for _, other := range others {
		answer = append(answer, shuffled(other, rng)...)
	}
	return answer[:min(len(answer), maxAnswerHosts)]
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

// selectSpares returns the spare hosts of a region: those of the highest weight outside
// the serving set.
func selectSpares(service ident.ServiceName, region ident.Region, set, hosts []Host) []Host {
	serving := map[ident.HostID]bool{}
	for _, h := range set {
		serving[h.ID] = true
	}
	var list []Host
	for _, h := range RankHosts(spareKey(service), filterRegion(hosts, region)) {
		if !serving[h.ID] && len(list) < spareHosts {
			list = append(list, h)
		}
	}
	return list
}

func listOtherRegions(hosts []Host, region ident.Region) []ident.Region {
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
