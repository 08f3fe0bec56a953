package discovery

import (
	"context"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

const (
	// awayAge is the age of the copy from which entries that vanish may be a lapse
	// of the store.
	awayAge = 1500 * time.Millisecond
	// minHostsPause and maxHostsPause bound the pause between two pulls for the
	// list of hosts alone, which doubles while the lists stay different.
	minHostsPause = time.Second
	maxHostsPause = 30 * time.Second
)

// Copy implements port.FleetServer.
func (s *Sync) Copy(have roster.State) port.RegistryCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := port.RegistryCopy{State: s.state(now), TargetsPosition: s.targets.Position(), ConfigurationPosition: s.configPosition}
	if s.configuration != nil && s.configuration.Version > have.ConfigVersion {
		c.Configuration = s.configuration
	}
	if s.hasTargets {
		c.Targets = s.targets.Since(now, have.TargetsChanged)
	}
	if have.HostsHash != s.hosts.Hash() {
		c.Hosts = s.hosts.List()
	}
	return c
}

// Offer takes what another host says of its copy. A newer one is pulled; an equal
// one passes its age on.
func (s *Sync) Offer(ctx context.Context, address string, theirs roster.State) {
	if s.take(theirs) {
		go s.pull(ctx, address)
	}
}

// take reports whether there is something to pull.
func (s *Sync) take(theirs roster.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	mine := s.state(now)
	newer := theirs.ConfigVersion > mine.ConfigVersion || theirs.TargetsChanged > mine.TargetsChanged || (!s.hasTargets && theirs.Age < unknownAge)
	if theirs.HostsHash == mine.HostsHash {
		s.hostsPause = minHostsPause
	} else if now.After(s.hostsPull) {
		s.hostsPull = now.Add(s.hostsPause)
		s.hostsPause = min(maxHostsPause, max(minHostsPause, 2*s.hostsPause))
		newer = true
	}
	if theirs.ConfigVersion == mine.ConfigVersion && theirs.TargetsChanged == mine.TargetsChanged && mine.TargetsChanged != nothingToOffer {
		s.confirmed(now.Add(-theirs.Age))
	}
	if !newer || s.pulling {
		return false
	}
	s.pulling = true
	return true
}

// confirmed notes that nothing was newer in the store at a time.
func (s *Sync) confirmed(at time.Time) {
	s.configAt, s.targetsAt = later(s.configAt, at), later(s.targetsAt, at)
}

// pull takes over what another host knows.
func (s *Sync) pull(ctx context.Context, address string) {
	have := s.State()
	c, err := s.fleet.Pull(ctx, address, have)
	s.mu.Lock()
	s.pulling = false
	s.mu.Unlock()
	if err != nil {
		s.log.WithError(err).WithField("peer", address).Debug("the registry was not pulled")
		return
	}
	s.merge(have, c)
}

// merge takes over what another host knows beyond what this one had.
func (s *Sync) merge(have roster.State, c port.RegistryCopy) {
	s.mu.Lock()
	now := time.Now()
	if s.age(now) > awayAge {
		s.targets.StoreAway(now)
	}
	changed := s.accept(c.Configuration)
	if c.ConfigurationPosition > s.configPosition && s.configuration != nil && s.configuration.Version == c.State.ConfigVersion {
		s.configPosition = c.ConfigurationPosition
	}
	// A list that may lack changes is better than none.
	useful := c.State.TargetsChanged != nothingToOffer || !s.hasTargets
	if c.State.Age < unknownAge && useful {
		position := c.TargetsPosition
		switch {
		case c.State.TargetsChanged == nothingToOffer:
			position = 0
		case have.TargetsChanged == nothingToOffer:
			// The other host's copy is whole, this one's may not be.
			s.targets = registry.NewTargets()
			s.listedAt = time.Time{}
		}
		changed = s.targets.Merge(now, c.Targets, position) || !s.hasTargets || changed
		s.hasTargets = true
		s.confirmed(now.Add(-c.State.Age))
	}
	for _, h := range c.Hosts {
		if !s.hosts.Knows(h.ID) {
			changed = s.hosts.Learn(registry.HostRecord{ID: h.ID, Host: &h}) || changed
		}
	}
	s.mu.Unlock()
	if changed {
		s.notify()
	}
}

// LearnHost takes what a host says of itself.
func (s *Sync) LearnHost(h registry.Host) {
	s.mu.Lock()
	changed := s.hosts.Learn(registry.HostRecord{ID: h.ID, Host: &h})
	s.mu.Unlock()
	if changed {
		s.notify()
	}
}

// join makes this host known and fetches the registry: from the coordinator, which
// hears of this host by its reports, else from the store, else from the seeds. It
// goes on until configuration and targets are known.
func (s *Sync) join(ctx context.Context, self registry.Host, seeds []string) {
	s.LearnHost(self)
	pause := backoff{cfg: &s.cfg}
	started := time.Now()
	known := false
	for round := 0; ; round++ {
		var err error
		if !known {
			err = s.introduce(ctx, self)
			known = err == nil
		}
		if err == nil && (s.role.Coordinates() || time.Since(started) >= s.cfg.JoinWait) {
			err = s.refreshConfiguration(ctx, 0)
			if err == nil {
				err = s.refreshTargets(ctx)
			}
		}
		if err != nil && len(seeds) > 0 {
			s.pull(ctx, seeds[round%len(seeds)])
		}
		if s.Snapshot().Complete {
			if !known {
				go s.publish(ctx, self)
			}
			return
		}
		pause.result(err)
		if !sleep(ctx, max(s.cfg.Tick, pause.next())) {
			return
		}
	}
}

// introduce reads the list of hosts and adds this one if it is missing or has
// moved. It is added before the list is read again, so that of two hosts that start
// together at least one sees the other.
func (s *Sync) introduce(ctx context.Context, self registry.Host) error {
	records, err := s.store.Hosts(ctx)
	if err == nil && !listed(records, self) {
		if err = s.store.Publish(ctx, self); err == nil {
			records, err = s.store.Hosts(ctx)
		}
	}
	s.contact(err)
	if err != nil {
		return err
	}
	s.mu.Lock()
	for _, r := range records {
		if r.ID != self.ID {
			s.hosts.Learn(r)
		}
	}
	hosts := s.hosts.List()
	s.mu.Unlock()
	s.role.Learn(hosts)
	return nil
}

// listed reports whether the records have a host at its present addresses.
func listed(records []registry.HostRecord, self registry.Host) bool {
	for _, r := range records {
		if r.ID == self.ID && r.Host != nil {
			known := *r.Host
			known.Incarnation = self.Incarnation
			return known == self
		}
	}
	return false
}

// publish records this host in the store, so that hosts that start later find it.
func (s *Sync) publish(ctx context.Context, self registry.Host) {
	pause := backoff{cfg: &s.cfg}
	for {
		err := s.store.Publish(ctx, self)
		if err == nil {
			return
		}
		s.log.WithError(err).Debug("the host was not published")
		pause.result(err)
		if !sleep(ctx, pause.next()) {
			return
		}
	}
}
