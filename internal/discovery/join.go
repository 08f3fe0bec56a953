package discovery

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// join fetches the registry until configuration and targets are known. The source is
// the coordinator, which this host finds through the seeds and its beacons. Only a
// coordinator reads the store immediately. Another host first waits for a beacon;
// without one it reads the list of hosts from the store, and later the whole registry
// if none of those hosts has a copy. In that last step all hosts without a recent beacon
// read; of the others only the fallback readers, the reserve readers in turn and a random
// few do.
func (r *Replica) join(ctx context.Context, self registry.Host, seeds []string) {
	r.mu.Lock()
	r.region = self.Location.Region
	r.mu.Unlock()
	r.LearnHost(self)
	started := time.Now()
	listAfter := r.cfg.JoinWait + rand.N(r.cfg.JoinSpread)
	readAfter := listAfter + r.cfg.JoinWait + rand.N(r.cfg.JoinSpread)
	pause := backoff{cfg: &r.cfg}
	var nextRead time.Time
	reserveTried := false
	for round := 0; ; round++ {
		isCoordinator := r.role.IsCoordinator()
		waited := time.Since(started)
		rank := r.role.Rank()
		var err error
		switch {
		case time.Now().Before(nextRead):
		case isCoordinator, waited >= readAfter && (!r.hasRecentBeacon() || r.drawSampledReader()):
			err = r.readAll(ctx)
		case rank <= r.cfg.FallbackReaders && waited >= r.joinTurn(rank):
			err = r.readAll(ctx)
		case !reserveTried && rank <= r.cfg.FallbackReaders+r.cfg.ReserveReaders && waited >= r.joinTurn(rank):
			reserveTried = true
			err = r.readAll(ctx)
		case waited >= listAfter && !r.hasRecentBeacon() && !r.hasHostList():
			err = r.readHosts(ctx)
		}
		if err != nil {
			pause.record(err)
			nextRead = time.Now().Add(pause.next())
		}
		if waited >= listAfter && len(seeds) > 0 && !r.complete() {
			r.pull(ctx, seeds[round%len(seeds)], r.State())
		}
		if r.complete() {
			return
		}
		if !sleep(ctx, r.joinInterval(time.Until(nextRead))) {
			return
		}
	}
}

// joinInterval returns the time until a starting host that may read the store again after a
// delay looks for a copy at the next seed.
func (r *Replica) joinInterval(untilRead time.Duration) time.Duration {
	return max(r.cfg.Tick, min(untilRead, r.cfg.JoinPullInterval))
}

// joinTurn returns how long a starting host of a rank, a fallback or reserve reader, waits
// for a copy before it reads the store.
func (r *Replica) joinTurn(rank int) time.Duration {
	wait := 2 * r.cfg.JoinWait
	if rank <= r.cfg.FallbackReaders {
		return wait + time.Duration(rank)*r.cfg.FallbackStep
	}
	return wait + r.reserveTurn(rank-r.cfg.FallbackReaders-1) - r.cfg.FallbackAge
}

// hasRecentBeacon reports whether a coordinator's beacon arrived within JoinWait.
func (r *Replica) hasRecentBeacon() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.lastBeaconAt) < r.cfg.JoinWait
}

// hasHostList reports whether the list of hosts has been read from the store.
func (r *Replica) hasHostList() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed != nil
}

// readAll reads the missing parts of hosts, configuration and targets concurrently.
func (r *Replica) readAll(ctx context.Context) error {
	errs := make([]error, 3)
	var reads sync.WaitGroup
	if !r.hasHostList() {
		reads.Go(func() { errs[0] = r.readHosts(ctx) })
	}
	if r.Snapshot().Configuration == nil {
		reads.Go(func() { errs[1] = r.refreshConfiguration(ctx, 0) })
	}
	if !incompleteTargets.Before(r.State().TargetsChanged) {
		reads.Go(func() { errs[2] = r.refreshTargets(ctx) })
	}
	reads.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// readHosts reads the list of hosts from the store. It does not replace what a host
// sent about itself.
func (r *Replica) readHosts(ctx context.Context) error {
	records, end, err := r.store.Hosts(ctx)
	r.recordStoreResult(err)
	if err != nil {
		return err
	}
	if end.Era < r.storeEra() {
		return errStaleList
	}
	r.mu.Lock()
	before := r.listed
	if end.Era != r.listedEra {
		// Records that are missing may have been lost by the rollback.
		before = nil
	}
	r.listedEra = end.Era
	r.listed = make(map[ident.HostID]registry.Host, len(records))
	for _, record := range records {
		if record.Host == nil {
			continue
		}
		r.listed[record.ID] = *record.Host
		r.hosts.Add(record)
	}
	gone := r.forgetUnlisted(before)
	hosts := r.hosts.List()
	r.mu.Unlock()
	r.role.Learn(hosts)
	r.role.Forget(gone)
	return nil
}

// forgetUnlisted removes the hosts of other regions that the store listed before and lists no
// more: the coordinators of their regions have removed them. Those of this host's region are
// written again instead. The caller holds the lock.
func (r *Replica) forgetUnlisted(before map[ident.HostID]registry.Host) []ident.HostID {
	var gone []ident.HostID
	for id, h := range before {
		if _, ok := r.listed[id]; ok || h.Location.Region == r.region {
			continue
		}
		if r.hosts.Remove(time.Now(), registry.RemovedHost{ID: id, Incarnation: h.Incarnation}) {
			gone = append(gone, id)
		}
	}
	return gone
}

// removeSilent deletes the records of hosts that were silent for a long time, so that neither
// the store nor the lists of hosts grow with every host that is replaced.
func (r *Replica) removeSilent(ctx context.Context) error {
	silent := r.role.SilentHosts()
	if len(silent) == 0 {
		return nil
	}
	var ids []ident.HostID
	for _, h := range silent {
		ids = append(ids, h.ID)
	}
	if err := r.store.Remove(ctx, ids); err != nil {
		r.log.WithError(err).WithField("hosts", len(ids)).Info("failed to remove the records of silent hosts")
		return err
	}
	now := time.Now()
	r.mu.Lock()
	for _, h := range silent {
		delete(r.listed, h.ID)
		r.hosts.Remove(now, registry.RemovedHost{ID: h.ID, Incarnation: h.Incarnation})
	}
	r.mu.Unlock()
	r.role.Forget(ids)
	removedHosts.Add(len(ids))
	r.log.WithField("event", "hosts_removed").WithField("hosts", len(ids)).WithField("first", ids[0]).Info("removed the records of hosts that were silent for a long time")
	return nil
}

// publishHosts writes the hosts that are missing in the store, in one call, while this
// host coordinates, so that hosts that start later can find them. It also rereads the
// list periodically, because hosts that started from other seeds may follow another
// coordinator, and then removes the records of hosts that were silent for a long time.
func (r *Replica) publishHosts(ctx context.Context) {
	pause := backoff{cfg: &r.cfg}
	next := time.Now().Add(r.cfg.FirstHostListInterval)
	for sleep(ctx, r.cfg.PublishInterval+pause.next()) {
		if !r.role.IsCoordinator() {
			continue
		}
		err := r.publishUnlisted(ctx)
		if err == nil && time.Now().After(next) {
			next = time.Now().Add(r.cfg.HostListInterval)
			if err = r.readHosts(ctx); err == nil {
				err = r.removeSilent(ctx)
			}
		}
		pause.record(err)
	}
}

// removedHosts counts the hosts whose records this host has removed from the store.
var removedHosts = metrics.NewCounter("sapphirehaven_store_hosts_removed_total")

func (r *Replica) publishUnlisted(ctx context.Context) error {
	if !r.hasHostList() || r.hostListOutdated() {
		if err := r.readHosts(ctx); err != nil {
			return err
		}
	}
	hosts := r.unlisted()
	if len(hosts) == 0 {
		return nil
	}
	if err := r.store.Publish(ctx, hosts); err != nil {
		r.log.WithError(err).WithField("hosts", len(hosts)).Debug("failed to publish hosts")
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		r.listed[h.ID] = h
	}
	return nil
}

// hostListOutdated reports whether the store was rolled back since the list of hosts was read.
// It may then lack records that it acknowledged, and they are written again.
func (r *Replica) hostListOutdated() bool {
	era := r.storeEra()
	r.mu.Lock()
	defer r.mu.Unlock()
	return era > r.listedEra
}

// unlisted returns the hosts that the store does not list with their current addresses.
func (r *Replica) unlisted() []registry.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var hosts []registry.Host
	for _, h := range r.hosts.List() {
		listed, ok := r.listed[h.ID]
		listed.Incarnation = h.Incarnation
		if !ok || listed != h {
			hosts = append(hosts, h)
		}
	}
	return hosts
}
