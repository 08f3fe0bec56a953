package app

import (
	"math/rand/v2"
	"sync"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/serving"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// liveHosts is the source of the hosts that can serve callers.
type liveHosts interface {
	// Serving returns this host and the others that can serve callers.
	Serving() []port.Host
	// Changes returns a number that grows with every change of Serving.
	Changes() uint64
}

// directory keeps the serving sets of the services in force, so that a lookup
// costs the size of its answer. It follows the hosts when they changed since
// the last lookup. It is safe for concurrent use.
type directory struct {
	live liveHosts

	mu    sync.Mutex
	index *serving.Index
	rng   *rand.Rand
	hosts map[ident.HostID]port.Host
	zones map[ident.Zone]ident.Location
	// followed is the number of changes that the index has taken.
	followed uint64
	services map[ident.ServiceName]*ingress.Backend
}

func newDirectory(live liveHosts, seed uint64) *directory {
	return &directory{
		live:  live,
		index: serving.NewIndex(),
		rng:   rand.New(rand.NewPCG(seed, 3)),
		hosts: map[ident.HostID]port.Host{},
		zones: map[ident.Zone]ident.Location{},
	}
}

// configure takes the services of a configuration.
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

// follow takes the changes of the hosts since the last lookup. The number of
// changes is read first: a change after it is taken by the next lookup.
func (d *directory) follow() {
	changes := d.live.Changes()
	if changes == d.followed && len(d.hosts) > 0 {
		return
	}
	d.followed = changes
	hosts := make(map[ident.HostID]port.Host, len(d.hosts))
	clear(d.zones)
	for _, h := range d.live.Serving() {
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

// Answer implements ingress.Members.
func (d *directory) Answer(service ident.ServiceName, size int, at ident.Location) []port.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	var ordered []serving.Host
	if d.index.SetSize(service) == size {
		ordered = d.index.Answer(service, at, d.rng)
	} else {
		// The caller still uses the configuration before this one.
		ordered = serving.Answer(service, size, at, d.list(), d.rng)
	}
	return d.portHosts(ordered)
}

// Location implements ingress.Members.
func (d *directory) Location(zone ident.Zone) (ident.Location, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	at, ok := d.zones[zone]
	return at, ok
}

// partner is another host that serves some of the same services.
type partner struct {
	port.Host
	services []ident.ServiceName
	// remote tells that it is in another region.
	remote bool
}

// partners returns the hosts that share a service with one.
func (d *directory) partners(id ident.HostID) []partner {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	shared := map[ident.HostID][]ident.ServiceName{}
	for _, name := range d.index.HostServices(id) {
		for _, h := range d.index.AllRegions(name) {
			if h.ID != id {
				shared[h.ID] = append(shared[h.ID], name)
			}
		}
	}
	list := make([]partner, 0, len(shared))
	for other, names := range shared {
		host := d.hosts[other]
		list = append(list, partner{host, names, host.Location.Region != d.hosts[id].Location.Region})
	}
	return list
}

// remote reports whether two hosts are in different regions. An unknown host
// counts as near.
func (d *directory) remote(a, b ident.HostID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	one, knownOne := d.hosts[a]
	two, knownTwo := d.hosts[b]
	return knownOne && knownTwo && one.Location.Region != two.Location.Region
}

// serves returns the services that a host serves.
func (d *directory) serves(id ident.HostID) map[ident.ServiceName]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	names := map[ident.ServiceName]bool{}
	for _, name := range d.index.HostServices(id) {
		names[name] = true
	}
	return names
}

// servesService reports whether a host is a serving host of a service.
func (d *directory) servesService(id ident.HostID, service ident.ServiceName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.follow()
	for _, h := range d.index.AllRegions(service) {
		if h.ID == id {
			return true
		}
	}
	return false
}

func (d *directory) list() []serving.Host {
	list := make([]serving.Host, 0, len(d.hosts))
	for _, h := range d.hosts {
		list = append(list, serving.Host{ID: h.ID, Location: h.Location})
	}
	return list
}

func (d *directory) portHosts(hosts []serving.Host) []port.Host {
	list := make([]port.Host, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, d.hosts[h.ID])
	}
	return list
}
