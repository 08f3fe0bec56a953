package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// readDue reports whether this host should read the store now. It may make this host a
// sampled reader.
func (r *Replica) readDue(last time.Time, interval time.Duration) bool {
	now := time.Now()
	if r.role.IsCoordinator() {
		return now.Sub(last) >= interval
	}
	r.mu.Lock()
	age := r.age(now)
	coordinatorCurrent := now.Sub(r.coordinatorConfirmedAt) < r.cfg.FallbackAge
	r.reserveTried = r.reserveTried && age >= r.cfg.FallbackAge
	r.mu.Unlock()
	rank := r.role.Rank()
	step := min(rank, r.cfg.FallbackReaders+1)
	if r.isSampledReader(now) {
		return now.Sub(last) >= r.cfg.ReadInterval
	}
	if age < r.cfg.FallbackAge+time.Duration(step)*r.cfg.FallbackStep {
		return false
	}
	// If the coordinator has recent data, only this host lacks it and reads for itself.
	// Otherwise the whole region lacks it, and only a few hosts try the store, so that
	// the number of calls does not grow with the number of hosts.
	if coordinatorCurrent || step <= r.cfg.FallbackReaders {
		return true
	}
	if r.takeReserveTurn(rank, age) {
		return true
	}
	if age < r.reserveTurn(r.cfg.ReserveReaders) || !r.drawSampledReader() {
		return false
	}
	r.mu.Lock()
	r.sampledReaderTrial, r.sampledReaderUntil = true, now.Add(sampledTrialTime)
	r.mu.Unlock()
	return true
}

// takeReserveTurn reports whether it is this host's turn as a reserve reader, given its
// rank and the age of its copy. Each host has one turn, of one call, until its copy is
// recent again. If the call succeeds, the host becomes a sampled reader.
func (r *Replica) takeReserveTurn(rank int, age time.Duration) bool {
	position := rank - r.cfg.FallbackReaders - 1
	if position < 0 || position >= r.cfg.ReserveReaders {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserveTried || age < r.reserveTurn(position) {
		return false
	}
	r.reserveTried, r.sampledReaderTrial = true, true
	return true
}

const (
	// sampledTrialTime is how long a sampled reader reads both targets and configuration
	// at first. After a success it continues for sampledReadTime.
	sampledTrialTime = 500 * time.Millisecond
	sampledReadTime  = 5 * time.Second
)

// reserveTurn returns the age of the copy at which the reserve reader at a position has
// its turn.
func (r *Replica) reserveTurn(position int) time.Duration {
	return r.cfg.FallbackAge + time.Duration(r.cfg.FallbackReaders+1)*r.cfg.FallbackStep + time.Duration(position)*r.cfg.ReserveStep
}

// isSampledReader reports whether this host is a sampled reader: one of the few hosts,
// chosen at random or as reserve readers, that read the store on behalf of their region
// for some time while neither the coordinator nor the fallback readers can.
func (r *Replica) isSampledReader(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.sampledReaderUntil)
}

// drawSampledReader decides at random whether this host tries the store in this tick, so
// that SampledReadersPerSecond hosts of the region do in a second on average.
func (r *Replica) drawSampledReader() bool {
	return rand.Float64() < r.cfg.SampledReadersPerSecond*r.cfg.Tick.Seconds()/float64(max(1, r.role.Count()))
}

// pollTargets reads the targets from the store whenever a read by this host is due.
func (r *Replica) pollTargets(ctx context.Context) {
	pause := backoff{cfg: &r.cfg}
	var last time.Time
	for sleep(ctx, max(r.cfg.Tick, pause.next())) {
		if !r.readDue(last, r.cfg.ReadInterval) {
			pause.reset()
			continue
		}
		last = time.Now()
		pause.record(r.refreshTargets(ctx))
	}
}

// pollConfiguration reads the configuration from the store whenever a read by this host
// is due. The coordinator uses long polling.
func (r *Replica) pollConfiguration(ctx context.Context) {
	pause := backoff{cfg: &r.cfg}
	var last time.Time
	// The short interval limits the gap between two long polls of the coordinator. Other
	// hosts sleep for another Tick if no read is due.
	for sleep(ctx, max(r.cfg.Tick/5, pause.next())) {
		wait := time.Duration(0)
		if r.role.IsCoordinator() {
			wait = r.cfg.ConfigurationWait
		} else if !r.readDue(last, 0) {
			pause.reset()
			if !sleep(ctx, r.cfg.Tick) {
				return
			}
			continue
		}
		last = time.Now()
		pause.record(r.refreshConfiguration(ctx, wait))
	}
}

// refreshTargets reads the target records since the last read, or the full list if
// there is no usable position.
func (r *Replica) refreshTargets(ctx context.Context) error {
	r.mu.Lock()
	position, known := r.targets.Position(), r.hasTargets
	r.mu.Unlock()
	requestedAt := time.Now()
	full := !known
	var records []registry.TargetRecord
	var end registry.Position
	var err error
	if known {
		records, end, err = r.store.TargetsSince(ctx, position)
		var gone *port.PositionGoneError
		full = errors.As(err, &gone)
	}
	if full {
		records, end, err = r.store.Targets(ctx)
	}
	r.recordStoreResult(err)
	if err != nil {
		return err
	}
	if full {
		err = r.replaceTargets(records, end)
	} else {
		err = r.applyTargets(position, records, end)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.targetsConfirmedAt = latest(r.targetsConfirmedAt, requestedAt)
	r.mu.Unlock()
	if full {
		r.readTargetChanges(ctx)
	}
	r.sendConfirmation()
	return nil
}

// readTargetChanges reads the changes made while the full list of targets was read. On
// failure, the next regular read covers them.
func (r *Replica) readTargetChanges(ctx context.Context) {
	r.mu.Lock()
	position := r.targets.Position()
	r.mu.Unlock()
	records, end, err := r.store.TargetsSince(ctx, position)
	if err == nil {
		err = r.applyTargets(position, records, end)
	}
	if err != nil {
		r.log.WithError(err).Debug("failed to read the target changes since the full list")
	}
}

// errStaleList is the error of a list that was read in an earlier era than the copy is of.
var errStaleList = errors.New("discovery: the list is of an earlier era of the store")

// replaceTargets applies a full list of targets that was read from the store. It returns an
// error if the copy is of a later era.
func (r *Replica) replaceTargets(records []registry.TargetRecord, end registry.Position) error {
	r.mu.Lock()
	era := r.targets.Position().Era
	if end.Era < era {
		r.mu.Unlock()
		return errStaleList
	}
	// A list that ends before the position is ignored, so that the copy stays as it is.
	r.targetsIncomplete = r.targetsIncomplete || !end.Before(r.targets.Position())
	changed := r.targets.Replace(time.Now(), records, end) || !r.hasTargets
	r.logEraChange(era, "store")
	r.hasTargets = true
	r.unlockAndNotify(changed)
	return nil
}

// eraChanges counts the rollbacks of the store that this host has noticed.
var eraChanges = metrics.NewCounter("sapphirehaven_store_era_changes_total")

// logEraChange logs that the targets are of a later era than before, and from which source they
// are. The caller holds the lock.
func (r *Replica) logEraChange(before uint64, source string) {
	position := r.targets.Position()
	if position.Era <= before || !r.hasTargets {
		return
	}
	eraChanges.Inc()
	r.log.WithField("event", "store_era_changed").WithField("before", before).WithField("era", position.Era).WithField("position", position.Offset).
		WithField("source", source).Warn("the store was rolled back; targets are as in its new era")
}

// storeEra returns the latest known era of the store.
func (r *Replica) storeEra() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(r.targets.Position().Era, r.configPosition.Era, r.listedEra)
}

// applyTargets applies the records of targets that were read from a position. It returns an
// error if the copy was replaced by an older one during the read.
func (r *Replica) applyTargets(position registry.Position, records []registry.TargetRecord, end registry.Position) error {
	r.mu.Lock()
	changed, err := r.targets.Apply(time.Now(), position, records, end)
	r.targetsIncomplete = r.targetsIncomplete && err != nil
	r.unlockAndNotify(changed)
	return err
}

// unlockAndNotify releases the lock and, if the targets have changed, tells of it.
func (r *Replica) unlockAndNotify(changed bool) {
	if changed {
		r.generation++
	}
	r.mu.Unlock()
	if changed {
		r.notify()
	}
}

// refreshConfiguration reads the newest configuration. wait is the time for which the
// store may wait for a new one.
func (r *Replica) refreshConfiguration(ctx context.Context, wait time.Duration) error {
	r.mu.Lock()
	position := r.configPosition
	r.mu.Unlock()
	requestedAt := time.Now()
	var c *registry.Configuration
	var err error
	if position != positionUnknown {
		c, position, err = r.store.ConfigurationSince(ctx, position, wait)
		var gone *port.PositionGoneError
		if errors.As(err, &gone) {
			position = positionUnknown
		}
	}
	if position == positionUnknown {
		c, position, err = r.store.Configuration(ctx)
	}
	r.recordStoreResult(err)
	if err != nil {
		return err
	}
	if position.Era < r.storeEra() {
		return errStaleList
	}
	if wait > 0 {
		// The store confirms at the end of the wait that there is nothing newer.
		requestedAt = latest(requestedAt, time.Now().Add(-maxResponseDelay))
	}
	r.mu.Lock()
	r.configPosition = r.configPosition.Later(position)
	changed := r.adoptConfiguration(c)
	r.configConfirmedAt = latest(r.configConfirmedAt, requestedAt)
	r.mu.Unlock()
	if changed {
		r.notify()
	}
	r.sendConfirmation()
	return nil
}

// maxResponseDelay bounds the network delay of a response from the store.
const maxResponseDelay = 100 * time.Millisecond

// adoptConfiguration activates a configuration if it is newer. The caller holds the
// lock.
func (r *Replica) adoptConfiguration(c *registry.Configuration) bool {
	if c == nil || (r.configuration != nil && c.Version <= r.configuration.Version) {
		return false
	}
	r.configuration = c
	r.generation++
	return true
}

// recordStoreResult records whether the store answered and reports changes on the
// timeline. The event kinds keep the outer name of the store, log.
func (r *Replica) recordStoreResult(err error) {
	r.mu.Lock()
	wasFailing := r.readFailed
	r.readFailed = err != nil
	if wasFailing && err == nil {
		r.targets.MarkStoreUnavailable(time.Now())
	}
	r.mu.Unlock()
	switch {
	case err != nil && !wasFailing:
		r.recorder.Record(event.LogUnavailable, event.F("error", err))
	case err == nil && wasFailing:
		r.recorder.Record(event.LogAvailable)
	}
}

// sendConfirmation informs the coordinator that this host has read the store.
func (r *Replica) sendConfirmation() {
	r.mu.Lock()
	if r.sampledReaderTrial {
		r.sampledReaderTrial, r.sampledReaderUntil = false, time.Now().Add(sampledReadTime)
	}
	r.mu.Unlock()
	address := r.role.Coordinator()
	if address == "" || r.role.IsCoordinator() {
		return
	}
	if err := r.fleet.SendConfirmation(address, r.State()); err != nil {
		r.log.WithError(err).Debug("failed to send the confirmation of a read to the coordinator")
	}
}

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
