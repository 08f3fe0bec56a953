package app

import (
	"math/rand/v2"
	"sync"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/serving"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// hostSource provides the hosts that can serve callers.
type hostSource interface {
	// Serving returns the hosts that can serve callers, including this host unless it is leaving.
	Serving() []port.Host
	// Changes returns a counter that increases with every change of the result of Serving.
	Changes() uint64
}

// directory indexes the serving hosts of each service of the active configuration, so that the
// cost of a lookup is proportional to the size of its response. Each lookup first applies host
// changes since the previous one. It is safe for concurrent use.
type directory struct {
	source hostSource

	mu    sync.Mutex
	index *serving.Index
	rng   *rand.Rand
	hosts map[ident.HostID]port.Host
	zones map[ident.Zone]ident.Location
	// appliedChanges is the value of source.Changes that the index reflects.
	appliedChanges uint64
	services       map[ident.ServiceName]*ingress.Backend
}

func newDirectory(source hostSource, seed uint64) *directory {
	return &directory{
		source: source,
		index:  serving.NewIndex(),
		rng:    rand.New(rand.NewPCG(seed, 3)),
		hosts:  map[ident.HostID]port.Host{},
		zones:  map[ident.Zone]ident.Location{},
	}
}

// configure replaces the indexed services by those of a configuration.
func (d *directory) configure(active *ingress.ActiveConfig) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, backend := range active.Backends {
		d.index.SetService(name, backend.Service.ServingHosts)
	}
	for name := range d.services {
		if active.Backends[name] == nil {
			d.index.RemoveService(name)
		}
	}
	d.services = active.Backends
}

// refresh applies host changes since the last lookup. The change counter is read before the hosts,
// so that a change in between is applied by the next lookup. The caller holds the lock.
func (d *directory) refresh() {
	changes := d.source.Changes()
	if changes == d.appliedChanges && len(d.hosts) > 0 {
		return
	}
	d.appliedChanges = changes
	hosts := make(map[ident.HostID]port.Host, len(d.hosts))
	clear(d.zones)
	for _, h := range d.source.Serving() {
		hosts[h.ID] = h
		d.zones[h.Location.Zone] = h.Location
		d.index.AddHost(serving.Host{ID: h.ID, Location: h.Location})
	}
	for id := range d.hosts {
		if _, ok := hosts[id]; !ok {
			d.index.RemoveHost(id)
		}
	}
	d.hosts = hosts
}

// HostsFor implements ingress.Members.
func (d *directory) HostsFor(service ident.ServiceName, size int, location ident.Location) []port.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	var ordered []serving.Host
	if d.index.SetSize(service) == size {
		ordered = d.index.Answer(service, location, d.rng)
	} else {
		// The request was routed under the previous configuration, with another number of
		// serving hosts.
		ordered = serving.Answer(service, size, location, d.servingHosts(), d.rng)
	}
	return d.toPortHosts(ordered)
}

// Location implements ingress.Members.
func (d *directory) Location(zone ident.Zone) (ident.Location, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	location, ok := d.zones[zone]
	return location, ok
}

// servingPeer is another host that serves at least one service of this host.
type servingPeer struct {
	port.Host
	services []ident.ServiceName
	// remote reports whether the host is in another region.
	remote bool
}

// servingPeers returns the hosts that serve at least one service of the given host.
func (d *directory) servingPeers(id ident.HostID) []servingPeer {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	shared := map[ident.HostID][]ident.ServiceName{}
	for _, name := range d.index.HostServices(id) {
		for _, h := range d.index.AllRegions(name) {
			if h.ID != id {
				shared[h.ID] = append(shared[h.ID], name)
			}
		}
	}
	list := make([]servingPeer, 0, len(shared))
	for other, names := range shared {
		host := d.hosts[other]
		list = append(list, servingPeer{host, names, host.Location.Region != d.hosts[id].Location.Region})
	}
	return list
}

// inDifferentRegions reports whether two hosts are in different regions. It returns false if either
// host is unknown.
func (d *directory) inDifferentRegions(a, b ident.HostID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	hostA, knownA := d.hosts[a]
	hostB, knownB := d.hosts[b]
	return knownA && knownB && hostA.Location.Region != hostB.Location.Region
}

// servedServices returns the services that a host serves.
func (d *directory) servedServices(id ident.HostID) map[ident.ServiceName]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	names := map[ident.ServiceName]bool{}
	for _, name := range d.index.HostServices(id) {
		names[name] = true
	}
	return names
}

// isServingHost reports whether a host is a serving host of a service.
func (d *directory) isServingHost(id ident.HostID, service ident.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refresh()
	for _, h := range d.index.AllRegions(service) {
		if h.ID == id {
			return true
		}
	}
	return false
}

// servingHosts returns all hosts that can serve callers. The caller holds the lock.
func (d *directory) servingHosts() []serving.Host {
	servingHosts := make([]serving.Host, 0, len(d.hosts))
	for _, h := range d.hosts {
		servingHosts = append(servingHosts, serving.Host{ID: h.ID, Location: h.Location})
	}
	return servingHosts
}

func (d *directory) toPortHosts(hosts []serving.Host) []port.Host {
	list := make([]port.Host, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, d.hosts[h.ID])
	}
	return list
}
