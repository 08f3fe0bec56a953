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
func (s *Replica) Copy(have roster.State) port.RegistryDelta {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c := port.RegistryDelta{State: s.state(now), TargetsPosition: s.targets.Position(), ConfigurationPosition: s.configPosition}
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

// Follow takes what the coordinator says of its copy in a beacon that came from the
// host at an address. What is new is pulled there; then done is called.
func (s *Replica) HandleBeacon(ctx context.Context, address string, theirs roster.State, done func()) {
	s.mu.Lock()
	now := time.Now()
	s.heardAt, s.leaderAt = now, later(s.leaderAt, now.Add(-theirs.Age))
	s.mu.Unlock()
	s.offer(ctx, address, theirs, done)
}

// Offer takes what another host says of its copy. A newer one is pulled; an equal
// one passes its age on.
func (s *Replica) HandleConfirmation(ctx context.Context, address string, theirs roster.State) {
	s.offer(ctx, address, theirs, func() {})
}

func (s *Replica) offer(ctx context.Context, address string, theirs roster.State, done func()) {
	have, wanted := s.take(theirs)
	if !wanted {
		done()
		return
	}
	go func() {
		s.pull(ctx, address, have)
		done()
	}()
}

// take reports whether there is something to pull, and what to state as known.
func (s *Replica) take(theirs roster.State) (have roster.State, wanted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	have = s.state(now)
	wanted = theirs.ConfigVersion > have.ConfigVersion || theirs.TargetsChanged > have.TargetsChanged || (!s.hasTargets && theirs.Age < unknownAge)
	if theirs.ConfigVersion == have.ConfigVersion && theirs.TargetsChanged == have.TargetsChanged && have.TargetsChanged != nothingToOffer {
		s.confirmed(now.Add(-theirs.Age))
	}
	switch {
	case theirs.HostsHash == have.HostsHash:
		s.hostsPause = minHostsPause
	case now.After(s.hostsPull):
		s.hostsPull = now.Add(s.hostsPause)
		s.hostsPause = min(maxHostsPause, max(minHostsPause, 2*s.hostsPause))
		wanted = true
	default:
		// The list of hosts is not due: it is large and many copies of it differ at
		// once when hosts start.
		have.HostsHash = theirs.HostsHash
	}
	if !wanted || s.pulling {
		return have, false
	}
	s.pulling = true
	return have, true
}

// confirmed notes that nothing was newer in the store at a time.
func (s *Replica) confirmed(at time.Time) {
	s.configAt, s.targetsAt = later(s.configAt, at), later(s.targetsAt, at)
}

const (
	// copyTimeout bounds the transfer of a whole copy, changesTimeout that of what
	// changed.
	copyTimeout    = 2 * time.Second
	changesTimeout = 700 * time.Millisecond
)

// pull takes over what another host knows beyond what this one has.
func (s *Replica) pull(ctx context.Context, address string, have roster.State) {
	timeout := changesTimeout
	if !s.complete() {
		timeout = copyTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
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
func (s *Replica) merge(have roster.State, c port.RegistryDelta) {
	s.mu.Lock()
	now := time.Now()
	if s.age(now) > awayAge {
		s.targets.MarkStoreUnavailable(now)
	}
	changed := s.accept(c.Configuration)
	if c.ConfigurationPosition > s.configPosition && s.configuration != nil && s.configuration.Version == c.State.ConfigVersion {
		s.configPosition = c.ConfigurationPosition
	}
	changed = s.mergeTargets(now, have, c) || changed
	for _, h := range c.Hosts {
		if !s.hosts.Contains(h.ID) {
			changed = s.hosts.Apply(registry.HostRecord{ID: h.ID, Host: &h}) || changed
		}
	}
	s.mu.Unlock()
	if changed {
		s.notify()
	}
}

// mergeTargets takes over another host's targets. The caller holds the lock.
func (s *Replica) mergeTargets(now time.Time, have roster.State, c port.RegistryDelta) bool {
	// A list that may lack changes is better than none.
	incomplete := c.State.TargetsChanged == nothingToOffer
	if c.State.Age >= unknownAge || (incomplete && s.hasTargets) {
		return false
	}
	position := c.TargetsPosition
	switch {
	case incomplete:
		position = 0
		s.unread = true
	case have.TargetsChanged == nothingToOffer:
		// The other host's copy is whole, this one's may not be.
		s.targets = registry.NewTargets()
		s.unread = false
	}
	changed := s.targets.Merge(now, c.Targets, position) || !s.hasTargets
	s.hasTargets = true
	s.confirmed(now.Add(-c.State.Age))
	if changed {
		s.generation++
	}
	return changed
}

// LearnHost takes what a host says of itself.
func (s *Replica) LearnHost(h registry.Host) {
	s.mu.Lock()
	changed := s.hosts.Apply(registry.HostRecord{ID: h.ID, Host: &h})
	s.mu.Unlock()
	if changed {
		s.notify()
	}
}
