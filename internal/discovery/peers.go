package discovery

import (
	"context"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/recovery"
)

const (
	// outageAge is the age of the copy from which a removal may be the expiry of an
	// entry during an outage of the store.
	outageAge = 1500 * time.Millisecond
	// minHostPullInterval and maxHostPullInterval bound the interval between pulls for
	// the list of hosts alone. The interval doubles while the lists differ.
	minHostPullInterval = time.Second
	maxHostPullInterval = 30 * time.Second
)

// ChangesSince implements port.FleetServer.
func (r *Replica) ChangesSince(have roster.State) port.RegistryDelta {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	c := port.RegistryDelta{State: r.state(now), ConfigurationPosition: r.configPosition}
	if r.configuration != nil && r.configuration.Version > have.ConfigVersion {
		c.Configuration = r.configuration
	}
	if r.hasTargets {
		c.Targets = r.targets.Since(now, have.TargetsChanged)
	}
	if have.HostsHash != r.hosts.Hash() {
		c.Hosts, c.RemovedHosts = r.hosts.List(), r.hosts.Removed(now)
	}
	return c
}

// HandleBeacon processes the state of the coordinator's copy, received in a beacon from
// the host at an address. If that copy is newer and no pull is in progress, it is pulled
// from that host, and done is called on another goroutine after the pull. Otherwise done
// is called before HandleBeacon returns.
func (r *Replica) HandleBeacon(ctx context.Context, address string, remote roster.State, done func()) {
	r.mu.Lock()
	now := time.Now()
	r.lastBeaconAt, r.coordinatorConfirmedAt = now, latest(r.coordinatorConfirmedAt, now.Add(-remote.Age))
	r.mu.Unlock()
	r.pullIfNewer(ctx, address, remote, done)
}

// HandleConfirmation processes the state of another host's copy. A newer copy is
// pulled; an equal one confirms the local copy as of its age.
func (r *Replica) HandleConfirmation(ctx context.Context, address string, remote roster.State) {
	r.pullIfNewer(ctx, address, remote, func() {})
}

// HandleRemoteBeacon processes the state of the copy of another region's coordinator, at an
// address. It counts while this host coordinates and cannot read the store itself: the store may
// turn away all hosts of this region.
func (r *Replica) HandleRemoteBeacon(ctx context.Context, address string, remote roster.State) {
	if !r.role.IsCoordinator() {
		return
	}
	r.mu.Lock()
	now := time.Now()
	needed := r.readFailed || r.age(now) >= r.cfg.FallbackAge
	remote.HostsHash = r.hosts.Hash()
	r.mu.Unlock()
	if needed {
		r.pullIfNewer(ctx, address, remote, func() {})
	}
}

func (r *Replica) pullIfNewer(ctx context.Context, address string, remote roster.State, done func()) {
	have, wanted := r.preparePull(remote)
	if !wanted {
		done()
		return
	}
	go func() {
		recovery.Call(r.log, "registry pull", func() { r.pull(ctx, address, have) })
		done()
	}()
}

// preparePull reports whether a pull is needed, and the local state to send with it.
func (r *Replica) preparePull(remote roster.State) (have roster.State, wanted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	have = r.state(now)
	r.reportedVersion = max(r.reportedVersion, remote.ConfigVersion)
	wanted = remote.ConfigVersion > have.ConfigVersion || have.TargetsChanged.Before(remote.TargetsChanged) || (!r.hasTargets && remote.Age < unknownAge)
	if remote.ConfigVersion == have.ConfigVersion && remote.TargetsChanged == have.TargetsChanged && have.TargetsChanged != incompleteTargets {
		r.markConfirmed(now.Add(-remote.Age))
	}
	if remote.ConfigVersion == have.ConfigVersion && remote.Age < unknownAge {
		// The configuration is confirmed also while the targets differ, which change more often.
		r.configConfirmedAt = latest(r.configConfirmedAt, now.Add(-remote.Age))
	}
	switch {
	case remote.HostsHash == have.HostsHash:
		r.hostsPullInterval = minHostPullInterval
	case now.After(r.nextHostsPull):
		r.nextHostsPull = now.Add(r.hostsPullInterval)
		r.hostsPullInterval = min(maxHostPullInterval, max(minHostPullInterval, 2*r.hostsPullInterval))
		wanted = true
	default:
		// No pull of the list of hosts is due. The list is large, and when hosts start
		// many copies of it differ at the same time.
		have.HostsHash = remote.HostsHash
	}
	if !wanted || r.pulling {
		return have, false
	}
	r.pulling = true
	return have, true
}

// markConfirmed records that the store had nothing newer at a time. The caller holds
// the lock.
func (r *Replica) markConfirmed(at time.Time) {
	r.configConfirmedAt, r.targetsConfirmedAt = latest(r.configConfirmedAt, at), latest(r.targetsConfirmedAt, at)
}

const (
	// fullPullTimeout bounds the transfer of a full copy, deltaPullTimeout that of
	// changes.
	fullPullTimeout  = 2 * time.Second
	deltaPullTimeout = 700 * time.Millisecond
)

// pull fetches and merges what the host at an address has beyond the state have.
func (r *Replica) pull(ctx context.Context, address string, have roster.State) {
	timeout := deltaPullTimeout
	if !r.complete() {
		timeout = fullPullTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := r.fetch(ctx, address, have)
	if err != nil {
		r.log.WithError(err).WithField("peer", address).Debug("registry pull failed")
		return
	}
	r.merge(have, c)
}

// fetch fetches what the host at an address has beyond the state have. A further pull can
// start when it has returned, whatever ends it.
func (r *Replica) fetch(ctx context.Context, address string, have roster.State) (port.RegistryDelta, error) {
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pulling = false
	}()
	return r.fleet.Pull(ctx, address, have)
}

// merge merges what another host has beyond the state have.
func (r *Replica) merge(have roster.State, c port.RegistryDelta) {
	r.mu.Lock()
	now := time.Now()
	if r.age(now) > outageAge {
		r.targets.MarkStoreUnavailable(now)
	}
	changed := r.adoptConfiguration(c.Configuration)
	if r.configPosition.Before(c.ConfigurationPosition) && r.configuration != nil && r.configuration.Version == c.State.ConfigVersion {
		r.configPosition = c.ConfigurationPosition
	}
	changed = r.mergeTargets(now, have, c) || changed
	for _, h := range c.Hosts {
		changed = r.hosts.Add(registry.HostRecord{ID: h.ID, Host: &h}) || changed
	}
	var removed []ident.HostID
	for _, h := range c.RemovedHosts {
		if r.hosts.Remove(now, h) {
			removed = append(removed, h.ID)
		}
	}
	r.mu.Unlock()
	if len(removed) > 0 {
		r.role.Forget(removed)
	}
	if changed {
		r.notify()
	}
}

// mergeTargets merges another host's targets. The caller holds the lock.
func (r *Replica) mergeTargets(now time.Time, have roster.State, c port.RegistryDelta) bool {
	// An incomplete list is better than none.
	incomplete := c.State.TargetsChanged == incompleteTargets
	if c.State.Age >= unknownAge || (incomplete && r.hasTargets) {
		return false
	}
	targets := c.Targets
	targets.After = have.TargetsChanged
	era := r.targets.Position().Era
	switch {
	case incomplete:
		targets.Position = registry.Position{}
		r.targetsIncomplete = true
	case have.TargetsChanged == incompleteTargets && r.targetsIncomplete && targets.Position.Era >= era:
		// The other host's list is complete, this one's may still not be.
		targets.Full = true
		r.targets.Restart()
		r.targetsIncomplete = false
	}
	changed, err := r.targets.Merge(now, targets)
	if err != nil {
		// The copy was replaced by an older one during the pull.
		r.log.WithError(err).Debug("registry pull ignored")
		return false
	}
	r.logEraChange(era, "host")
	changed = changed || !r.hasTargets
	r.hasTargets = true
	r.markConfirmed(now.Add(-c.State.Age))
	if changed {
		r.generation++
	}
	return changed
}

// LearnHost applies what a host sent about itself.
func (r *Replica) LearnHost(h registry.Host) {
	r.mu.Lock()
	changed := r.hosts.Apply(registry.HostRecord{ID: h.ID, Host: &h})
	r.mu.Unlock()
	if changed {
		r.notify()
	}
}
