package serving

import (
	"math/rand/v2"
	"slices"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Index maintains the serving sets of many services over one list of hosts. The sets
// equal those of ServingSet, but a change of one host costs two hashes for each service,
// and only the sets that the host enters or leaves are recomputed. It is not safe for
// concurrent use.
type Index struct {
	hosts    map[ident.HostID]*Host
	zones    map[ident.Location][]*Host
	regions  map[ident.Region][]*Host
	services map[ident.ServiceName]*indexedService
	// served lists the services that each host serves.
	served map[*Host][]ident.ServiceName
}

// indexedService is a service of an Index with its serving sets by region.
type indexedService struct {
	size       int
	regionSets map[ident.Region]*regionSet
}

// NewIndex returns an index without hosts or services.
func NewIndex() *Index {
	return &Index{
		hosts:    map[ident.HostID]*Host{},
		zones:    map[ident.Location][]*Host{},
		regions:  map[ident.Region][]*Host{},
		services: map[ident.ServiceName]*indexedService{},
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
		if rs := s.regionSet(name, h.Location.Region); rs.add(h) {
			x.updateSet(name, rs)
		}
	}
}

// RemoveHost removes a host. It has no effect if the host is unknown.
func (x *Index) RemoveHost(id ident.HostID) {
	h := x.hosts[id]
	if h == nil {
		return
	}
	delete(x.hosts, id)
	x.zones[h.Location] = removeUnordered(x.zones[h.Location], h)
	x.regions[h.Location.Region] = removeUnordered(x.regions[h.Location.Region], h)
	for name, s := range x.services {
		x.removeHostFrom(name, s, h)
	}
	delete(x.served, h)
	if len(x.zones[h.Location]) == 0 {
		delete(x.zones, h.Location)
	}
	if len(x.regions[h.Location.Region]) == 0 {
		delete(x.regions, h.Location.Region)
	}
}

func (x *Index) removeHostFrom(name ident.ServiceName, s *indexedService, h *Host) {
	rs := s.regionSets[h.Location.Region]
	if rs.remove(h, x.zones[h.Location], x.regions[h.Location.Region]) {
		x.updateSet(name, rs)
	}
	if len(rs.zones) == 0 {
		delete(s.regionSets, h.Location.Region)
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
	s := &indexedService{size: size, regionSets: map[ident.Region]*regionSet{}}
	x.services[name] = s
	for region, hosts := range x.regions {
		rs := s.regionSet(name, region)
		for _, h := range hosts {
			rs.add(h)
		}
		x.updateSet(name, rs)
	}
}

// RemoveService removes a service. It has no effect if the service is unknown.
func (x *Index) RemoveService(name ident.ServiceName) {
	s := x.services[name]
	if s == nil {
		return
	}
	for _, rs := range s.regionSets {
		for _, h := range rs.set {
			x.removeServed(h, name)
		}
	}
	delete(x.services, name)
}

// HostCount returns the number of hosts.
func (x *Index) HostCount() int { return len(x.hosts) }

// SetSize returns the size of a service's serving sets, or 0 if the service is unknown.
func (x *Index) SetSize(service ident.ServiceName) int {
	if s := x.services[service]; s != nil {
		return s.size
	}
	return 0
}

// ServingSet returns the serving hosts of a service in one region.
func (x *Index) ServingSet(service ident.ServiceName, region ident.Region) []Host {
	if s := x.services[service]; s != nil && s.regionSets[region] != nil {
		return s.regionSets[region].hosts()
	}
	return nil
}

// AllRegions returns the serving hosts of a service in all regions.
func (x *Index) AllRegions(service ident.ServiceName) []Host {
	s := x.services[service]
	if s == nil {
		return nil
	}
	var all []Host
	for _, region := range s.regions() {
		all = append(all, s.regionSets[region].hosts()...)
	}
	return all
}

// HostServices returns the services that a host serves.
func (x *Index) HostServices(id ident.HostID) []ident.ServiceName {
	return slices.Clone(x.served[x.hosts[id]])
}

// Answer returns the hosts that a caller should use, in the order of the function
// Answer. It is empty for an unknown service.
func (x *Index) Answer(service ident.ServiceName, at ident.Location, rng *rand.Rand) []Host {
	s := x.services[service]
	if s == nil {
		return nil
	}
	var set, spare []Host
	if rs := s.regionSets[at.Region]; rs != nil {
		set, spare = rs.hosts(), rs.spares()
	}
	var others [][]Host
	for _, region := range s.regions() {
		if region != at.Region {
			others = append(others, s.regionSets[region].hosts())
		}
	}
	return orderAnswer(at.Zone, set, spare, others, rng)
}

// updateSet recomputes a serving set and updates served for the hosts that entered or
// left it.
func (x *Index) updateSet(name ident.ServiceName, rs *regionSet) {
	before := rs.set
	rs.set = rs.computeSet()
	for _, h := range before {
		if !slices.Contains(rs.set, h) {
			x.removeServed(h, name)
		}
	}
	for _, h := range rs.set {
		if !slices.Contains(before, h) {
			x.served[h] = append(x.served[h], name)
		}
	}
}

func (x *Index) removeServed(h *Host, name ident.ServiceName) {
	x.served[h] = removeUnordered(x.served[h], name)
}

// regionSet returns the set of a region, which is created if it does not exist.
func (s *indexedService) regionSet(name ident.ServiceName, region ident.Region) *regionSet {
	rs := s.regionSets[region]
	if rs == nil {
		rs = newRegionSet(name, region, s.size)
		s.regionSets[region] = rs
	}
	return rs
}

func (s *indexedService) regions() []ident.Region {
	list := make([]ident.Region, 0, len(s.regionSets))
	for region := range s.regionSets {
		list = append(list, region)
	}
	slices.Sort(list)
	return list
}

// removeUnordered removes a value from a list without preserving the order.
func removeUnordered[T comparable](list []T, value T) []T {
	at := slices.Index(list, value)
	if at < 0 {
		return list
	}
	last := len(list) - 1
	list[at] = list[last]
	clear(list[last:])
	return list[:last]
}
