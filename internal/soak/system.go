package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/standin"
	"github.com/sapphirehaven/sapphirehaven/platform/platformtest"
)

// layout names the availability zones and their regions.
type layout struct {
	zones   []string
	regions map[string]string
}

// newLayout returns two or three zones in one or two regions.
func newLayout(rng *rand.Rand) *layout {
	l := &layout{zones: []string{"zone-a", "zone-b"}, regions: map[string]string{"zone-a": "region-1", "zone-b": "region-1"}}
	if rng.IntN(2) == 0 {
		l.zones = append(l.zones, "zone-c")
		l.regions["zone-c"] = fmt.Sprintf("region-%d", 1+rng.IntN(2))
	}
	return l
}

// zone returns the zone of the host, target or caller with an index.
func (l *layout) zone(index int) string { return l.zones[index%len(l.zones)] }

// Services. The moved ones are those between which a route moves.
const (
	lookupService = "index"
	noticeService = "press"
	movedServiceA = "moved-a"
	movedServiceB = "moved-b"
)

// serviceOfPlace lists the services of the first places; further ones repeat the first two.
var serviceOfPlace = [...]string{lookupService, noticeService, movedServiceA, movedServiceB}

// homeService returns the service of a place at the start.
func homeService(place int) string {
	if place < len(serviceOfPlace) {
		return serviceOfPlace[place]
	}
	return serviceOfPlace[place%2]
}

// place is an address at which targets run one after the other. The address is that of its link, which
// keeps it for the whole run.
type place struct {
	index, generation int
	link              *standin.FaultLink

	mu      sync.Mutex
	current *target
}

// system is the simulated surroundings with the hosts.
type system struct {
	cfg      *Config
	layout   *layout
	store    *platformtest.Store
	recorder *recorder
	hosts    []*host
	places   []*place

	mu      sync.Mutex
	version version
	// removed are the targets whose records were removed.
	removed   []string
	createdAt time.Time
}

// newSystem starts the store and the targets, sends the first configuration and creates the hosts.
func newSystem(cfg *Config, rng *rand.Rand) (*system, error) {
	s := &system{cfg: cfg, layout: newLayout(rng), store: platformtest.NewStore(), recorder: newRecorder()}
	if cfg.style().clients {
		s.store.SetLimits(platformtest.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: hostMaxBody, HeaderTimeout: 3 * time.Second})
	}
	first := version{number: 1, services: map[string]string{lookupPath: lookupService, noticePath: noticeService, uploadPath: noticeService, movedPath: movedServiceA, openPath: lookupService}}
	if cfg.hasTeams() {
		first.keys = firstKeys()
	}
	s.putVersion(first)
	for n := range cfg.Targets {
		link, err := standin.NewFaultLink("")
		if err != nil {
			return nil, err
		}
		p := &place{index: n, link: link}
		s.places = append(s.places, p)
		if err := s.startTarget(p, "", homeService(n)); err != nil {
			return nil, err
		}
	}
	for n := range cfg.Hosts {
		front, err := newStoreFront(s.store)
		if err != nil {
			return nil, err
		}
		h, err := newHost(n, cfg, s.layout, front, s.recorder)
		if err != nil {
			return nil, err
		}
		s.hosts = append(s.hosts, h)
	}
	s.createdAt = time.Now()
	for _, h := range s.hosts {
		if cfg.style().clients {
			h.settings.MemoryMb, h.settings.MaxFds = hostMemoryMb, hostMaxFds
		}
		for _, seed := range s.hosts[:min(3, len(s.hosts))] {
			h.settings.Seeds = append(h.settings.Seeds, seed.settings.Peer)
		}
	}
	return s, nil
}

// startTarget starts a new process at a place. It has a new ID unless one is given.
func (s *system) startTarget(p *place, id, service string) error {
	p.generation++
	if id == "" {
		id = fmt.Sprintf("t-%d-%d", p.index+1, p.generation)
	}
	entry := platformtest.Target{
		ID: id, Service: service, Address: p.link.Address(), Zone: s.layout.zone(p.index), Slots: slotsOfTarget, Sequence: 1, Born: time.Now(),
	}
	t, err := startTarget(entry, p.index, s.recorder)
	if err != nil {
		return errors.Wrap(err, "target")
	}
	t.notices = s.cfg.TargetNotices
	p.link.SetServer(t.listener.Addr().String())
	p.mu.Lock()
	p.current = t
	p.mu.Unlock()
	s.store.PutTarget(entry)
	return nil
}

// target returns the process at a place.
func (p *place) target() *target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// heartbeats writes the records of the targets until the context ends.
func (s *system) heartbeats(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
		for _, p := range s.places {
			p.target().beat(s.store)
		}
	}
}

// beat writes the record of a target that neither ended nor left the store.
func (t *target) beat(store *platformtest.Store) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended || t.unlisted {
		return
	}
	t.Sequence++
	store.PutTarget(t.Target)
}

// leave writes the record that the target is draining, or removes it.
func (t *target) leave(s *system, silently bool) {
	t.mu.Lock()
	t.leaving, t.unlisted, t.Draining = true, silently, true
	t.Sequence++
	if !silently {
		s.store.PutTarget(t.Target)
	}
	t.mu.Unlock()
	if silently {
		s.removeTarget(t.ID)
	}
}

// Path prefixes of the routes.
const (
	lookupPath = "/lookup/"
	noticePath = "/notice/"
	uploadPath = "/upload/"
	movedPath  = "/moved/"
	// openPath is that of an anonymous route.
	openPath   = "/open/"
	extraPaths = 3
)

// extraPath returns the path prefix of a route that is added and removed.
func extraPath(n int) string { return fmt.Sprintf("/extra-%d/", n) }

// kindOf returns the kind of the route with a path prefix.
func kindOf(prefix string) string {
	switch prefix {
	case noticePath:
		return platformtest.NonIdempotent
	case uploadPath:
		return platformtest.Upload
	}
	return platformtest.Idempotent
}

// putVersion makes a configuration the newest one.
func (s *system) putVersion(v version) {
	v.sentAt = time.Now()
	// The version is known before it is sent, so that no effect of it is seen earlier.
	s.recorder.addVersion(v)
	s.write(v)
	s.recorder.ackVersion(v.number)
	s.version = v
}

// write writes a configuration to the store.
func (s *system) write(v version) {
	var routes []platformtest.Route
	for prefix, service := range v.services {
		routes = append(routes, platformtest.Route{PathPrefix: prefix, Kind: kindOf(prefix), Service: service, Timeout: routeTimeout, Anonymous: prefix == openPath})
	}
	slices.SortFunc(routes, func(a, b platformtest.Route) int { return strings.Compare(a.PathPrefix, b.PathPrefix) })
	s.store.SetTeams(teamsOf(v.keys)...)
	s.store.PutConfiguration(v.number, time.Minute, routes...)
}

// removeTarget removes the record of a target.
func (s *system) removeTarget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = append(s.removed, id)
	s.store.RemoveTarget(id)
}

// restore restores the store from an older copy after a short outage. The operator and the targets write
// what was lost again after a while.
func (s *system) restore(ctx context.Context, e event) {
	end := s.recorder.disrupt(disruption{cause: storeFault, host: none, place: none, name: e.String(), restores: true})
	defer end()
	s.setStoreFaults(storeFaults{refuses: true})
	pause(ctx, restoreOutage)
	copied := time.Now().Add(-restoredAge)
	if copied.Before(s.createdAt) {
		copied = s.createdAt
	}
	s.store.Restore(copied)
	s.setStoreFaults(storeFaults{})
	pause(ctx, e.lasting)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(s.version)
	for _, id := range s.removed {
		s.store.RemoveTarget(id)
	}
	for _, p := range s.places {
		p.target().beat(s.store)
	}
}

func (s *system) setStoreFaults(f storeFaults) {
	for _, h := range s.hosts {
		h.store.setFaults(f)
	}
}

// addresses implements directory.
func (s *system) addresses(ctx context.Context, zone int) ([]int, error) {
	asked := s.hosts[rand.IntN(len(s.hosts))]
	name := s.layout.zone(zone)
	addresses, err := platformtest.Resolve(ctx, asked.client, asked.settings.Resolve, s.layout.regions[name], name)
	if err != nil {
		return nil, err
	}
	var list []int
	for n, h := range s.hosts {
		if slices.Contains(addresses, h.settings.Caller) {
			list = append(list, n)
		}
	}
	return list, nil
}

// dialAddress implements directory.
func (s *system) dialAddress(host int) string { return s.hosts[host].callerLink.Address() }

// paths implements directory.
func (s *system) paths(rng *rand.Rand) (path, kind string) {
	prefix := lookupPath
	switch choice := rng.IntN(20); {
	case choice < 2:
		prefix = movedPath
	case choice < 4:
		prefix = extraPath(rng.IntN(extraPaths))
	case choice < 9:
		prefix = noticePath
	case choice < 10:
		prefix = uploadPath
	case choice < 11:
		prefix = openPath
	}
	return fmt.Sprintf("%s%d?part=%d", prefix, rng.IntN(1000), rng.IntN(10)), kindOf(prefix)
}

// close ends the processes and the simulated surroundings.
func (s *system) close() {
	for _, h := range s.hosts {
		h.kill()
		h.callerLink.Close()
		h.storeLink.Close()
		h.store.server.Close()
	}
	for _, p := range s.places {
		p.target().end()
		p.link.Close()
	}
}
