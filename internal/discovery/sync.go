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

// Config holds the settings of a Sync. Start from DefaultConfig.
type Config struct {
	// ReadInterval is the time between two reads of the targets by the
	// coordinator.
	ReadInterval time.Duration
	// ConfigurationWait is how long a read of the configuration waits for a new
	// one.
	ConfigurationWait time.Duration
	// FallbackAge is the age of the copy from which a host reads the store itself.
	// FallbackStep is added for each place in the order of coordination. Only the
	// first Deputies do so for the region.
	FallbackAge  time.Duration
	FallbackStep time.Duration
	FallbackReaders     int
	// SampleRate is the number of other hosts of the region that try the store each
	// second while coordinator and deputies cannot read it.
	SampleRate float64
	// JoinWait is how long a host that starts waits for a beacon before it reads the
	// list of hosts, and as long again for a copy before it reads the registry. A
	// random part of JoinSpread is added to each.
	JoinWait   time.Duration
	JoinSpread time.Duration
	// PublishInterval is the time between two looks of the coordinator for hosts that
	// the store does not list.
	PublishInterval time.Duration
	// ListInterval is the time between two reads of the list of hosts by the
	// coordinator, and FirstListInterval that before the first one.
	HostListInterval      time.Duration
	FirstHostListInterval time.Duration
	// MinBackoff and MaxBackoff bound the pause after a read that failed.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// Tick is the time between two checks of the age.
	Tick time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		ReadInterval:      700 * time.Millisecond,
		ConfigurationWait: 800 * time.Millisecond,
		FallbackAge:       1600 * time.Millisecond,
		FallbackStep:      80 * time.Millisecond,
		FallbackReaders:          3,
		SampleRate:        2,
		JoinWait:          700 * time.Millisecond,
		JoinSpread:        600 * time.Millisecond,
		PublishInterval:   time.Second,
		HostListInterval:      time.Minute,
		FirstHostListInterval: 3 * time.Second,
		MinBackoff:        150 * time.Millisecond,
		MaxBackoff:        2 * time.Second,
		Tick:              50 * time.Millisecond,
	}
}

// Role tells which part this host has among the hosts of its region.
type Role interface {
	// Learn takes hosts from the registry; the part may change with it.
	Learn(hosts []registry.Host)
	// Coordinates reports whether this host reads the store for the others.
	Coordinates() bool
	// Rank is the host's place in the order of coordination, and Count the number of
	// hosts in it.
	Rank() int
	Count() int
	// Coordinator returns the address of the coordinator, empty if it is unknown
	// or this host.
	Coordinator() string
}

// Recorder adds an event to the host's timeline.
type Recorder interface {
	Record(kind event.Kind, fields ...event.Field)
}

// Sync keeps the copy. It is safe for concurrent use.
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
	configPosition int64
	targets        *registry.Targets
	hosts          *registry.Hosts
	// listed holds the hosts as the store lists them, nil before that was read.
	listed map[ident.HostID]registry.Host
	// generation counts the changes of configuration and targets.
	generation uint64
	// unread tells that the changes since the list of targets was read are missing.
	// The list comes in pages that are no snapshot: hosts that took it over would
	// never read a change between two of them.
	unread bool
	// hasTargets tells that the list of targets was read once.
	hasTargets bool
	// configAt and targetsAt are the times at which the store confirmed that there
	// is nothing newer.
	configAt, targetsAt time.Time
	// away tells that the last read failed.
	away bool
	// pulling tells that a pull is under way.
	pulling bool
	// heardAt is the time of the coordinator's latest beacon, and leaderAt that at
	// which the store confirmed the coordinator's copy.
	heardAt, leaderAt time.Time
	// substituteUntil is the time until which this host reads the store for its region
	// because coordinator and deputies cannot.
	substituteUntil time.Time
	// substituteTries tells that it has not succeeded yet.
	substituteTries bool
	// hostsPull is the earliest time of a pull for the list of hosts alone.
	hostsPull  time.Time
	hostsPause time.Duration
}

// positionUnknown is the position before the first read.
const positionUnknown = -1

// New returns a copy that is empty until Run.
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

// Changed receives a value after a change.
func (s *Replica) Changed() <-chan struct{} { return s.changed }

func (s *Replica) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Snapshot is the copy at one time.
type Snapshot struct {
	// Generation changes with Configuration and Targets.
	Generation uint64
	// Configuration is nil before the first one is known.
	Configuration *registry.Configuration
	Targets       []registry.Entry
	Hosts         []registry.Host
	// Complete tells that configuration and targets are known.
	Complete bool
}

// Snapshot returns the copy.
func (s *Replica) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{
		Generation:    s.generation,
		Configuration: s.configuration,
		Targets:       s.targets.Usable(),
		Hosts:         s.hosts.List(),
		Complete:      s.configuration != nil && s.hasTargets,
	}
}

// complete reports whether configuration and targets are known.
func (s *Replica) complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration != nil && s.hasTargets
}

// State says how far the copy has got.
func (s *Replica) State() roster.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state(time.Now())
}

func (s *Replica) state(now time.Time) roster.State {
	st := roster.State{TargetsChanged: s.targets.Changed(), HostsHash: s.hosts.Hash(), Age: s.age(now)}
	if s.unread {
		st.TargetsChanged = nothingToOffer
	}
	if s.configuration != nil {
		st.ConfigVersion = s.configuration.Version
	}
	return st
}

// nothingToOffer is the newest change that a host tells of whose list of targets may
// lack some.
const nothingToOffer = -1

// unknownAge is the age of a copy that was never confirmed.
const unknownAge = time.Hour

func (s *Replica) age(now time.Time) time.Duration {
	at := s.configAt
	if s.targetsAt.Before(at) {
		at = s.targetsAt
	}
	if at.IsZero() {
		return unknownAge
	}
	return now.Sub(at)
}

// Run keeps the copy current until ctx ends.
func (s *Replica) Run(ctx context.Context, self registry.Host, seeds []string) {
	s.join(ctx, self, seeds)
	var loops sync.WaitGroup
	for _, loop := range []struct {
		name string
		run  func(context.Context)
	}{
		{"read targets", s.readTargets},
		{"read configuration", s.readConfiguration},
		{"expire targets", s.expire},
		{"publish hosts", s.publishHosts},
	} {
		loops.Go(func() { recovery.Loop(ctx, s.log, loop.name, loop.run) })
	}
	loops.Wait()
}

// expire ends the holds of targets that vanished.
func (s *Replica) expire(ctx context.Context) {
	for sleep(ctx, 2*s.cfg.Tick) {
		s.mu.Lock()
		ended := s.targets.Tick(time.Now())
		if ended {
			s.generation++
		}
		s.mu.Unlock()
		if ended {
			s.notify()
		}
	}
}

// sleep waits and reports whether ctx goes on.
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
