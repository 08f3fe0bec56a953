package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// join fetches the registry: from the coordinator, which this host finds by the
// seeds and hears of by its beacons. Only a host that coordinates asks the store at
// once; the others do after a while without a beacon, for the list of hosts first,
// and for the whole registry only when none of those has a copy: then all of them if
// they hear nothing, else few. It goes on until configuration and targets are known.
func (s *Replica) join(ctx context.Context, self registry.Host, seeds []string) {
	s.LearnHost(self)
	started := time.Now()
	listAfter := s.cfg.JoinWait + rand.N(s.cfg.JoinSpread)
	readAfter := listAfter + s.cfg.JoinWait + rand.N(s.cfg.JoinSpread)
	pause := backoff{cfg: &s.cfg}
	for round := 0; ; round++ {
		coordinates := s.role.Coordinates()
		waited := time.Since(started)
		var err error
		switch {
		case coordinates, waited >= readAfter && (!s.heard() || s.sampled()):
			err = s.readAll(ctx)
		case waited >= listAfter && !s.heard() && !s.knowsListed():
			err = s.readHosts(ctx)
		}
		if waited >= listAfter && len(seeds) > 0 && !s.complete() {
			s.pull(ctx, seeds[round%len(seeds)], s.State())
		}
		if s.complete() {
			return
		}
		pause.result(err)
		if !sleep(ctx, max(s.cfg.Tick, pause.next())) {
			return
		}
	}
}

// heard reports whether a coordinator's beacon came lately.
func (s *Replica) heard() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.heardAt) < s.cfg.JoinWait
}

// knowsListed reports whether the list of hosts was read.
func (s *Replica) knowsListed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listed != nil
}

// readAll reads hosts, configuration and targets at once, as far as they are missing.
func (s *Replica) readAll(ctx context.Context) error {
	errs := make([]error, 3)
	var reads sync.WaitGroup
	if !s.knowsListed() {
		reads.Go(func() { errs[0] = s.readHosts(ctx) })
	}
	if s.Snapshot().Configuration == nil {
		reads.Go(func() { errs[1] = s.refreshConfiguration(ctx, 0) })
	}
	if s.State().TargetsChanged <= nothingToOffer {
		reads.Go(func() { errs[2] = s.refreshTargets(ctx) })
	}
	reads.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// readHosts reads the list of hosts. What a host says of itself goes before it.
func (s *Replica) readHosts(ctx context.Context) error {
	records, err := s.store.Hosts(ctx)
	s.contact(err)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listed = make(map[ident.HostID]registry.Host, len(records))
	for _, r := range records {
		if r.Host == nil {
			continue
		}
		s.listed[r.ID] = *r.Host
		if !s.hosts.Contains(r.ID) {
			s.hosts.Apply(r)
		}
	}
	hosts := s.hosts.List()
	s.mu.Unlock()
	s.role.Learn(hosts)
	return nil
}

// publishHosts records the hosts that the store does not list, so that hosts that
// start later find one, while this host coordinates. All take one call.
// The list is read again now and then: hosts that found other seeds may follow
// another coordinator.
func (s *Replica) publishHosts(ctx context.Context) {
	pause := backoff{cfg: &s.cfg}
	next := time.Now().Add(s.cfg.FirstHostListInterval)
	for sleep(ctx, s.cfg.PublishInterval+pause.next()) {
		if !s.role.Coordinates() {
			continue
		}
		err := s.publishUnlisted(ctx)
		if err == nil && time.Now().After(next) {
			next = time.Now().Add(s.cfg.HostListInterval)
			err = s.readHosts(ctx)
		}
		pause.result(err)
	}
}

func (s *Replica) publishUnlisted(ctx context.Context) error {
	if !s.knowsListed() {
		if err := s.readHosts(ctx); err != nil {
			return err
		}
	}
	hosts := s.unlisted()
	if len(hosts) == 0 {
		return nil
	}
	if err := s.store.Publish(ctx, hosts); err != nil {
		s.log.WithError(err).WithField("hosts", len(hosts)).Debug("hosts were not published")
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		s.listed[h.ID] = h
	}
	return nil
}

// unlisted returns the hosts that the store does not list at their addresses.
func (s *Replica) unlisted() []registry.Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []registry.Host
	for _, h := range s.hosts.List() {
		listed, ok := s.listed[h.ID]
		listed.Incarnation = h.Incarnation
		if !ok || listed != h {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
