package discovery

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
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
	// FallbackStep is added for each place in the order of coordination, up to
	// maxFallbackSteps.
	FallbackAge  time.Duration
	FallbackStep time.Duration
	// JoinWait is how long a host that starts waits for another one's copy before
	// it reads the whole registry itself.
	JoinWait time.Duration
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
		JoinWait:          700 * time.Millisecond,
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
	// Rank is the host's place in the order of coordination.
	Rank() int
	// Coordinator returns the address of the coordinator, empty if it is unknown
	// or this host.
	Coordinator() string
}

// Recorder adds an event to the host's timeline.
type Recorder interface {
	Record(kind event.Kind, fields ...event.Field)
}

// Sync keeps the copy. It is safe for concurrent use.
type Sync struct {
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
	// hasTargets tells that the list of targets was read once.
	hasTargets bool
	// configAt and targetsAt are the times at which the store confirmed that there
	// is nothing newer.
	configAt, targetsAt time.Time
	// away tells that the last read failed.
	away bool
	// pulling tells that a pull is under way.
	pulling bool
	// hostsPull is the earliest time of a pull for the list of hosts alone.
	hostsPull  time.Time
	hostsPause time.Duration
}

// positionUnknown is the position before the first read.
const positionUnknown = -1

// New returns a copy that is empty until Run.
func New(cfg Config, store port.Registry, fleet port.Fleet, role Role, recorder Recorder, log logrus.FieldLogger) *Sync {
	return &Sync{
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
func (s *Sync) Changed() <-chan struct{} { return s.changed }

func (s *Sync) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Snapshot is the copy at one time.
type Snapshot struct {
	// Configuration is nil before the first one is known.
	Configuration *registry.Configuration
	Targets       []registry.Entry
	Hosts         []registry.Host
	// Complete tells that configuration and targets are known.
	Complete bool
}

// Snapshot returns the copy.
func (s *Sync) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{
		Configuration: s.configuration,
		Targets:       s.targets.Usable(),
		Hosts:         s.hosts.List(),
		Complete:      s.configuration != nil && s.hasTargets,
	}
}

// State says how far the copy has got.
func (s *Sync) State() roster.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state(time.Now())
}

func (s *Sync) state(now time.Time) roster.State {
	st := roster.State{TargetsChanged: s.targets.Changed(), HostsHash: s.hosts.Hash(), Age: s.age(now)}
	if s.configuration != nil {
		st.ConfigVersion = s.configuration.Version
	}
	return st
}

// unknownAge is the age of a copy that was never confirmed.
const unknownAge = time.Hour

func (s *Sync) age(now time.Time) time.Duration {
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
func (s *Sync) Run(ctx context.Context, self registry.Host, seeds []string) {
	s.join(ctx, self, seeds)
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.readTargets, s.readConfiguration, s.expire} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// expire ends the holds of targets that vanished.
func (s *Sync) expire(ctx context.Context) {
	for sleep(ctx, 2*s.cfg.Tick) {
		s.mu.Lock()
		ended := s.targets.Tick(time.Now())
		s.mu.Unlock()
		if ended {
			s.notify()
		}
	}
}

// due reports whether this host reads the store now.
func (s *Sync) due(last time.Time, interval time.Duration) bool {
	now := time.Now()
	if s.role.Coordinates() {
		return now.Sub(last) >= interval
	}
	s.mu.Lock()
	age := s.age(now)
	s.mu.Unlock()
	return age >= s.cfg.FallbackAge+time.Duration(min(s.role.Rank(), maxFallbackSteps))*s.cfg.FallbackStep
}

// maxFallbackSteps bounds the wait of hosts far down the order: every host has to
// keep up within the time in which a change must be in force.
const maxFallbackSteps = 5

// readTargets reads the targets whenever it is this host's turn.
func (s *Sync) readTargets(ctx context.Context) {
	pause := backoff{cfg: &s.cfg}
	var last time.Time
	for sleep(ctx, max(s.cfg.Tick, pause.next())) {
		if !s.due(last, s.cfg.ReadInterval) {
			pause.reset()
			continue
		}
		last = time.Now()
		pause.result(s.refreshTargets(ctx))
	}
}

// readConfiguration reads the configuration whenever it is this host's turn. The
// coordinator's reads wait for a new one.
func (s *Sync) readConfiguration(ctx context.Context) {
	pause := backoff{cfg: &s.cfg}
	for sleep(ctx, max(s.cfg.Tick/5, pause.next())) {
		wait := time.Duration(0)
		if s.role.Coordinates() {
			wait = s.cfg.ConfigurationWait
		} else if !s.due(time.Time{}, 0) {
			pause.reset()
			if !sleep(ctx, s.cfg.Tick) {
				return
			}
			continue
		}
		pause.result(s.refreshConfiguration(ctx, wait))
	}
}

// refreshTargets reads what is new among the targets.
func (s *Sync) refreshTargets(ctx context.Context) error {
	s.mu.Lock()
	position, known := s.targets.Position(), s.hasTargets
	s.mu.Unlock()
	asked := time.Now()
	whole := !known
	var records []registry.TargetRecord
	var end int64
	var err error
	if known {
		records, end, err = s.store.TargetsSince(ctx, position)
		var gone *port.PositionGoneError
		whole = errors.As(err, &gone)
	}
	if whole {
		records, end, err = s.store.Targets(ctx)
	}
	s.contact(err)
	if err != nil {
		return err
	}
	s.mu.Lock()
	now := time.Now()
	changed := false
	if whole {
		changed = s.targets.Replace(now, records, end)
	} else {
		changed = s.targets.Apply(now, records, end)
	}
	s.hasTargets = true
	s.targetsAt = later(s.targetsAt, asked)
	s.mu.Unlock()
	if changed || !known {
		s.notify()
	}
	s.confirm()
	return nil
}

// refreshConfiguration reads the newest configuration.
func (s *Sync) refreshConfiguration(ctx context.Context, wait time.Duration) error {
	s.mu.Lock()
	position := s.configPosition
	s.mu.Unlock()
	asked := time.Now()
	var c *registry.Configuration
	var err error
	if position != positionUnknown {
		c, position, err = s.store.ConfigurationSince(ctx, position, wait)
		var gone *port.PositionGoneError
		if errors.As(err, &gone) {
			position = positionUnknown
		}
	}
	if position == positionUnknown {
		c, position, err = s.store.Configuration(ctx)
	}
	s.contact(err)
	if err != nil {
		return err
	}
	if wait > 0 {
		// The store answered with nothing newer at the end of the wait.
		asked = later(asked, time.Now().Add(-answerTime))
	}
	s.mu.Lock()
	s.configPosition = max(s.configPosition, position)
	changed := s.accept(c)
	s.configAt = later(s.configAt, asked)
	s.mu.Unlock()
	if changed {
		s.notify()
	}
	s.confirm()
	return nil
}

// answerTime bounds the time that an answer of the store is on its way.
const answerTime = 100 * time.Millisecond

// accept puts a configuration in force if it is newer. The caller holds the lock.
func (s *Sync) accept(c *registry.Configuration) bool {
	if c == nil || (s.configuration != nil && c.Version <= s.configuration.Version) {
		return false
	}
	s.configuration = c
	return true
}

// contact notes whether the store answered.
func (s *Sync) contact(err error) {
	s.mu.Lock()
	wasAway := s.away
	s.away = err != nil
	if wasAway && err == nil {
		s.targets.StoreAway(time.Now())
	}
	s.mu.Unlock()
	switch {
	case err != nil && !wasAway:
		s.recorder.Record(event.LogUnavailable, event.F("error", err))
	case err == nil && wasAway:
		s.recorder.Record(event.LogAvailable)
	}
}

// confirm tells the coordinator that this host has read the store.
func (s *Sync) confirm() {
	address := s.role.Coordinator()
	if address == "" || s.role.Coordinates() {
		return
	}
	if err := s.fleet.SendConfirmation(address, s.State()); err != nil {
		s.log.WithError(err).Debug("the coordinator was not told of a read")
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
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
