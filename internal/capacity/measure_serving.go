package capacity

import (
	"math/rand/v2"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/serving"
)

func (s Size) servingIndex() *serving.Index {
	x := serving.NewIndex()
	for i := range s.Services {
		x.SetService(serviceName(i), servingHosts)
	}
	for _, h := range s.hosts() {
		x.AddHost(h)
	}
	return x
}

func measureServing(cfg Config, s *Slopes) error {
	size := cfg.Size
	hosts := size.hosts()
	s.add("state.set", retainedBytes(func() any { return size.servingIndex() })/float64(size.Services*size.Regions), "bytes", "one serving set of the index, its share of the hosts included (live heap of `serving.Index`)")
	x := size.servingIndex()
	i := 0
	s.add("set.update", nsPerCall(cfg, func() {
		i++
		h := hosts[i%len(hosts)]
		x.RemoveHost(h.ID)
		x.AddHost(h)
	})/2, "ns", "the join or departure of one host in the index of all services, mean of both")
	rng := rand.New(rand.NewPCG(1, 2))
	at := ident.Location(hosts[0].Location)
	s.add("set.answer", nsPerCall(cfg, func() { x.Answer(serviceName(1), at, rng) }), "ns", "an address answer from the index")
	s.add("set.scratch", nsPerCall(cfg, func() { serving.Answer(serviceName(1), servingHosts, at, hosts, rng) }), "ns", "the same, computed from a list of all hosts (`serving.Answer`)")
	s.add("rank.host", nsPerCall(cfg, func() { serving.RankHosts("checkpoint", hosts) })/float64(len(hosts)), "ns", "one host of a rendezvous order (`serving.RankHosts`); hosts order a zone and the fleet each second")
	s.add("moved", changedSetsPercent(hosts, size.Services), "%", "serving sets that change when one host goes, mean over 50 hosts")
	return nil
}

// changedSetsPercent returns the mean percentage of serving sets that change when one
// host leaves, over the first 50 hosts.
func changedSetsPercent(hosts []serving.Host, services int) float64 {
	x := serving.NewIndex()
	for i := range services {
		x.SetService(serviceName(i), servingHosts)
	}
	regions := map[ident.Region]bool{}
	for _, h := range hosts {
		x.AddHost(h)
		regions[h.Location.Region] = true
	}
	gone := min(50, len(hosts))
	served := 0
	for _, h := range hosts[:gone] {
		served += len(x.HostServices(h.ID))
	}
	return 100 * float64(served) / float64(gone) / float64(services*len(regions))
}
