package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/recovery"
)

// Config holds the settings of a Replica. DefaultConfig returns the defaults.
type Config struct {
	// ReadInterval is the time between two reads of the targets by the coordinator.
	ReadInterval time.Duration
	// ConfigurationWait is how long a read of the configuration waits for a new
	// version.
	ConfigurationWait time.Duration
	// FallbackAge is the age of the copy from which a host other than the coordinator
	// reads the store. FallbackStep is added for each position in coordination order.
	// Only the first FallbackReaders hosts read on behalf of the region.
	FallbackAge     time.Duration
	FallbackStep    time.Duration
	FallbackReaders int
	// ReserveReaders is the number of hosts after them that each try the store once, in
	// turn and ReserveStep apart, when the fallback readers have not provided a newer
	// copy. Their number makes it unlikely that the store refuses all of them.
	ReserveReaders int
	ReserveStep    time.Duration
	// SampledReadersPerSecond is the mean number of other hosts of a region that try the
	// store in a second after the turns of the reserve readers, while none of them nor the
	// coordinator can read it.
	SampledReadersPerSecond float64
	// JoinWait is how long a starting host waits for a beacon before it reads the list
	// of hosts from the store, and then again for a copy before it reads the whole
	// registry. A random part of JoinSpread is added to each wait.
	JoinWait   time.Duration
	JoinSpread time.Duration
	// JoinPullInterval is the longest time between two requests of a starting host to seeds
	// for a copy. A host that the store refuses may find one there long before its next read.
	JoinPullInterval time.Duration
	// PublishInterval is the time between two checks by the coordinator for hosts that
	// the store does not list.
	PublishInterval time.Duration
	// HostListInterval is the time between two reads of the list of hosts by the
	// coordinator. FirstHostListInterval is the time before the first one.
	HostListInterval      time.Duration
	FirstHostListInterval time.Duration
	// MinBackoff and MaxBackoff bound the delay after a failed read.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Tick is the interval at which the age of the copy is checked.
	Tick time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		ReadInterval:            700 * time.Millisecond,
		ConfigurationWait:       800 * time.Millisecond,
		FallbackAge:             1600 * time.Millisecond,
		FallbackStep:            80 * time.Millisecond,
		FallbackReaders:         3,
		ReserveReaders:          10,
		ReserveStep:             120 * time.Millisecond,
		SampledReadersPerSecond: 2,
		JoinWait:                700 * time.Millisecond,
		JoinSpread:              600 * time.Millisecond,
		JoinPullInterval:        200 * time.Millisecond,
		PublishInterval:         time.Second,
		HostListInterval:        time.Minute,
		FirstHostListInterval:   3 * time.Second,
		MinBackoff:              150 * time.Millisecond,
		MaxBackoff:              2 * time.Second,
		Tick:                    50 * time.Millisecond,
	}
}

// Role is the role of this host in its region.
type Role interface {
	// Learn adds or updates hosts from the registry, which can change the role.
	Learn(hosts []registry.Host)
	// IsCoordinator reports whether this host reads the store for the region.
	IsCoordinator() bool
	// SilentHosts returns the hosts of the region that this host, as its coordinator, has not
	// heard for so long that they count as removed for good. Forget removes hosts.
	SilentHosts() []registry.Host
	Forget(hosts []ident.HostID)
	// Rank returns the host's position in coordination order, and Count the number of
	// hosts in that order.
	Rank() int
	Count() int
	// Coordinator returns the address of the coordinator, empty if it is unknown or
	// this host.
	Coordinator() string
}

// Recorder adds an event to the host's timeline.
type Recorder interface {
	Record(kind event.Kind, fields ...event.Field)
}

// Replica is a host's copy of the registry. It is safe for concurrent use.
type Replica struct {
	cfg      Config
	store    port.Registry
	fleet    port.Fleet
	role     Role
	recorder Recorder
	log      logrus.FieldLogger
	changed  chan struct{}

	mu             sync.Mutex
	configuration  *registry.Configuration
	configPosition registry.Position
	targets        *registry.Targets
	hosts          *registry.Hosts
	// listed holds the hosts listed in the store in the era listedEra, nil before the list has
	// been read. region is that of this host.
	listed    map[ident.HostID]registry.Host
	listedEra uint64
	region    ident.Region
	// generation counts the changes of configuration and targets.
	generation uint64
	// targetsIncomplete is set until the changes since the full list of targets have
	// been read. The list is read in pages that are not a consistent snapshot: a change
	// between two pages would be lost to hosts that copied the list.
	targetsIncomplete bool
	// hasTargets is set once a list of targets has been read or pulled.
	hasTargets bool
	// configConfirmedAt and targetsConfirmedAt are the times at which the store last
	// confirmed that there is nothing newer.
	configConfirmedAt, targetsConfirmedAt time.Time
	// reportedVersion is the highest version of a configuration that another host has
	// reported. After a pause of this host, a late message can confirm an older one.
	reportedVersion uint64
	// readFailed is set if the last read failed.
	readFailed bool
	// pulling is set while a pull is in progress.
	pulling bool
	// lastBeaconAt is the time of the coordinator's latest beacon.
	// coordinatorConfirmedAt is the time at which the store last confirmed the
	// coordinator's copy.
	lastBeaconAt, coordinatorConfirmedAt time.Time
	// sampledReaderUntil is the time until which this host is a sampled reader, see
	// isSampledReader.
	sampledReaderUntil time.Time
	// sampledReaderTrial is set until the first successful read in that role.
	sampledReaderTrial bool
	// reserveTried is set after this host has tried the store as a reserve reader, until
	// its copy is recent again.
	reserveTried bool
	// nextHostsPull is the earliest time of a pull for the list of hosts alone.
	nextHostsPull     time.Time
	hostsPullInterval time.Duration
}

// positionUnknown is the position before the first read.
var positionUnknown = registry.Position{Offset: -1}

// New returns a Replica that is empty until Run is called.
func New(cfg Config, store port.Registry, fleet port.Fleet, role Role, recorder Recorder, log logrus.FieldLogger) *Replica {
	return &Replica{
		cfg:            cfg,
		store:          store,
		fleet:          fleet,
		role:           role,
		recorder:       recorder,
		log:            log,
		changed:        make(chan struct{}, 1),
		configPosition: positionUnknown,
		targets:        registry.NewTargets(),
		hosts:          registry.NewHosts(),
	}
}

// Changed returns a channel that receives a value after a change.
func (r *Replica) Changed() <-chan struct{} { return r.changed }

func (r *Replica) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Snapshot is the state of a Replica at one time.
type Snapshot struct {
	// Generation changes whenever Configuration or Targets change.
	Generation uint64
	// Configuration is nil until the first version is known.
	Configuration *registry.Configuration
	Targets       []registry.Entry
	Hosts         []registry.Host
	// Complete is set if configuration and targets are known.
	Complete bool
}

// Snapshot returns the current state.
func (r *Replica) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Snapshot{
		Generation:    r.generation,
		Configuration: r.configuration,
		Targets:       r.targets.Usable(),
		Hosts:         r.hosts.List(),
		Complete:      r.configuration != nil && r.hasTargets,
	}
}

// complete reports whether configuration and targets are known.
func (r *Replica) complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.configuration != nil && r.hasTargets
}

// State returns the version and age of the copy.
func (r *Replica) State() roster.State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(time.Now())
}

// ConfigurationAge returns the time since the store last confirmed that there is no newer
// configuration than the copy's. newest reports whether the configuration with a version is
// that of the copy and no host has reported a newer one.
func (r *Replica) ConfigurationAge(version uint64) (age time.Duration, newest bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.configuration == nil || r.configConfirmedAt.IsZero() {
		return unknownAge, false
	}
	return time.Since(r.configConfirmedAt), version == r.configuration.Version && version >= r.reportedVersion
}

func (r *Replica) state(now time.Time) roster.State {
	st := roster.State{TargetsChanged: r.targets.LastChange(), HostsHash: r.hosts.Hash(), Age: r.age(now)}
	if r.targetsIncomplete {
		st.TargetsChanged = incompleteTargets
	}
	if r.configuration != nil {
		st.ConfigVersion = r.configuration.Version
	}
	return st
}

// incompleteTargets is the value of TargetsChanged that a host reports while its list
// of targets may be incomplete. An empty registry.Targets reports the same value.
var incompleteTargets = registry.Position{Offset: -1}

// unknownAge is the age of a copy that was never confirmed.
const unknownAge = time.Hour

func (r *Replica) age(now time.Time) time.Duration {
	at := r.configConfirmedAt
	if r.targetsConfirmedAt.Before(at) {
		at = r.targetsConfirmedAt
	}
	if at.IsZero() {
		return unknownAge
	}
	return now.Sub(at)
}

// Run keeps the copy current until ctx ends.
func (r *Replica) Run(ctx context.Context, self registry.Host, seeds []string) {
	r.join(ctx, self, seeds)
	var loops sync.WaitGroup
	for _, loop := range []struct {
		name string
		run  func(context.Context)
	}{
		{"read targets", r.pollTargets},
		{"read configuration", r.pollConfiguration},
		{"expire targets", r.expireTargets},
		{"publish hosts", r.publishHosts},
	} {
		loops.Go(func() { recovery.Loop(ctx, r.log, loop.name, loop.run) })
	}
	loops.Wait()
}

// expireTargets ends the holds of removed targets.
func (r *Replica) expireTargets(ctx context.Context) {
	for sleep(ctx, 2*r.cfg.Tick) {
		r.mu.Lock()
		r.unlockAndNotify(r.targets.Tick(time.Now()))
	}
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
