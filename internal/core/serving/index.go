package serving

import (
	"math/rand/v2"
	"slices"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Index keeps the serving sets of many services over one list of hosts. They
// are the sets that Set returns, but a change of one host costs two hashes for
// each service, and only the sets that the host enters or leaves are computed
// again. It is not safe for concurrent use.
type Index struct {
	hosts    map[ident.HostID]*Host
	zones    map[ident.Location][]*Host
	regions  map[ident.Region][]*Host
	services map[ident.ServiceName]*indexed
	// served holds the services that each host serves.
	served map[*Host][]ident.ServiceName
}

// indexed is a service of an Index.
type indexed struct {
	size  int
	pairs map[ident.Region]*pair
}

// NewIndex returns an index without hosts and services.
func NewIndex() *Index {
	return &Index{
		hosts:    map[ident.HostID]*Host{},
		zones:    map[ident.Location][]*Host{},
		regions:  map[ident.Region][]*Host{},
		services: map[ident.ServiceName]*indexed{},
		served:   map[*Host][]ident.ServiceName{},
	}
}

// AddHost adds a host, or moves it to another location.
func (x *Index) AddHost(host Host) {
	if known := x.hosts[host.ID]; known != nil {
		if *known == host {
			return
		}
		x.RemoveHost(host.ID)
	}
	h := &host
	x.hosts[h.ID] = h
	x.zones[h.Location] = append(x.zones[h.Location], h)
	x.regions[h.Location.Region] = append(x.regions[h.Location.Region], h)
	for name, s := range x.services {
		if p := s.pair(name, h.Location.Region); p.add(h) {
			x.update(name, p)
		}
	}
}

// RemoveHost removes a host; an unknown one has no effect.
func (x *Index) RemoveHost(id ident.HostID) {
	h := x.hosts[id]
	if h == nil {
		return
	}
	delete(x.hosts, id)
	x.zones[h.Location] = drop(x.zones[h.Location], h)
	x.regions[h.Location.Region] = drop(x.regions[h.Location.Region], h)
	for name, s := range x.services {
		x.removeFrom(name, s, h)
	}
	delete(x.served, h)
	if len(x.zones[h.Location]) == 0 {
		delete(x.zones, h.Location)
	}
	if len(x.regions[h.Location.Region]) == 0 {
		delete(x.regions, h.Location.Region)
	}
}

func (x *Index) removeFrom(name ident.ServiceName, s *indexed, h *Host) {
	p := s.pairs[h.Location.Region]
	if p.remove(h, x.zones[h.Location], x.regions[h.Location.Region]) {
		x.update(name, p)
	}
	if len(p.zones) == 0 {
		delete(s.pairs, h.Location.Region)
	}
}

// SetService adds a service, or changes the size of its sets.
func (x *Index) SetService(name ident.ServiceName, size int) {
	if s := x.services[name]; s != nil {
		if s.size == size {
			return
		}
		x.RemoveService(name)
	}
	s := &indexed{size: size, pairs: map[ident.Region]*pair{}}
	x.services[name] = s
	for region, hosts := range x.regions {
		p := s.pair(name, region)
		for _, h := range hosts {
			p.add(h)
		}
		x.update(name, p)
	}
}

// RemoveService removes a service; an unknown one has no effect.
func (x *Index) RemoveService(name ident.ServiceName) {
	s := x.services[name]
	if s == nil {
		return
	}
	for _, p := range s.pairs {
		for _, h := range p.set {
			x.unserve(h, name)
		}
	}
	delete(x.services, name)
}

// Hosts returns the number of hosts.
func (x *Index) HostCount() int { return len(x.hosts) }

// Size returns the size of a service's sets, 0 if it is unknown.
func (x *Index) SetSize(service ident.ServiceName) int {
	if s := x.services[service]; s != nil {
		return s.size
	}
	return 0
}

// Set returns the serving hosts of a service in one region.
func (x *Index) ServingSet(service ident.ServiceName, region ident.Region) []Host {
	if s := x.services[service]; s != nil && s.pairs[region] != nil {
		return s.pairs[region].hosts()
	}
	return nil
}

// Everywhere returns the serving hosts of a service in all regions.
func (x *Index) AllRegions(service ident.ServiceName) []Host {
	s := x.services[service]
	if s == nil {
		return nil
	}
	var all []Host
	for _, region := range s.regions() {
		all = append(all, s.pairs[region].hosts()...)
	}
	return all
}

// Services returns the services that a host serves.
func (x *Index) HostServices(id ident.HostID) []ident.ServiceName {
	return slices.Clone(x.served[x.hosts[id]])
}

// Answer orders the hosts that a caller should use, as the function Answer
// does. It is empty for an unknown service.
func (x *Index) Answer(service ident.ServiceName, at ident.Location, rng *rand.Rand) []Host {
	s := x.services[service]
	if s == nil {
		return nil
	}
	var set, spare []Host
	if p := s.pairs[at.Region]; p != nil {
		set, spare = p.hosts(), p.spares()
	}
	var others [][]Host
	for _, region := range s.regions() {
		if region != at.Region {
			others = append(others, s.pairs[region].hosts())
		}
	}
	return arrange(at.Zone, set, spare, others, rng)
}

// update computes a set again and notes which hosts entered and left it.
func (x *Index) update(name ident.ServiceName, p *pair) {
	before := p.set
	p.set = p.choose()
	for _, h := range before {
		if !slices.Contains(p.set, h) {
			x.unserve(h, name)
		}
	}
	for _, h := range p.set {
		if !slices.Contains(before, h) {
			x.served[h] = append(x.served[h], name)
		}
	}
}

func (x *Index) unserve(h *Host, name ident.ServiceName) {
	x.served[h] = drop(x.served[h], name)
}

func (s *indexed) pair(name ident.ServiceName, region ident.Region) *pair {
	p := s.pairs[region]
	if p == nil {
		p = newPair(name, region, s.size)
		s.pairs[region] = p
	}
	return p
}

func (s *indexed) regions() []ident.Region {
	list := make([]ident.Region, 0, len(s.pairs))
	for region := range s.pairs {
		list = append(list, region)
	}
	slices.Sort(list)
	return list
}

// drop removes a value without keeping the order.
func drop[T comparable](list []T, value T) []T {
	at := slices.Index(list, value)
	if at < 0 {
		return list
	}
	last := len(list) - 1
	list[at] = list[last]
	clear(list[last:])
	return list[:last]
}
