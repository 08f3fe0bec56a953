package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// due reports whether this host reads the store now.
func (s *Replica) due(last time.Time, interval time.Duration) bool {
	now := time.Now()
	if s.role.Coordinates() {
		return now.Sub(last) >= interval
	}
	s.mu.Lock()
	age := s.age(now)
	behind := now.Sub(s.leaderAt) < s.cfg.FallbackAge
	s.mu.Unlock()
	step := min(s.role.Rank(), s.cfg.FallbackReaders+1)
	if s.substitutes(now) {
		return now.Sub(last) >= s.cfg.ReadInterval
	}
	if age < s.cfg.FallbackAge+time.Duration(step)*s.cfg.FallbackStep {
		return false
	}
	// A host that lacks what the coordinator has is on its own. Otherwise the whole
	// region lacks it, and few hosts try, so that the calls do not grow with it.
	if behind || step <= s.cfg.FallbackReaders {
		return true
	}
	if !s.sampled() {
		return false
	}
	s.mu.Lock()
	s.substituteTries, s.substituteUntil = true, now.Add(substituteTry)
	s.mu.Unlock()
	return true
}

const (
	// substituteTry is how long a host that tries the store for its region reads both
	// targets and configuration, and substituteTime how long it goes on after a
	// success.
	substituteTry  = 500 * time.Millisecond
	substituteTime = 5 * time.Second
)

// substitutes reports whether this host reads the store although it is no deputy.
func (s *Replica) substitutes(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.substituteUntil)
}

// sampled reports whether this host is one of the few that try the store in this
// tick.
func (s *Replica) sampled() bool {
	return rand.Float64() < s.cfg.SampleRate*s.cfg.Tick.Seconds()/float64(max(1, s.role.Count()))
}

// readTargets reads the targets whenever it is this host's turn.
func (s *Replica) readTargets(ctx context.Context) {
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
func (s *Replica) readConfiguration(ctx context.Context) {
	pause := backoff{cfg: &s.cfg}
	var last time.Time
	for sleep(ctx, max(s.cfg.Tick/5, pause.next())) {
		wait := time.Duration(0)
		if s.role.Coordinates() {
			wait = s.cfg.ConfigurationWait
		} else if !s.due(last, 0) {
			pause.reset()
			if !sleep(ctx, s.cfg.Tick) {
				return
			}
			continue
		}
		last = time.Now()
		pause.result(s.refreshConfiguration(ctx, wait))
	}
}

// refreshTargets reads what is new among the targets.
func (s *Replica) refreshTargets(ctx context.Context) error {
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
	changed := !known
	if whole {
		changed = s.targets.Replace(now, records, end) || changed
		s.unread = true
	} else {
		changed = s.targets.Apply(now, records, end) || changed
		s.unread = false
	}
	s.hasTargets = true
	s.targetsAt = later(s.targetsAt, asked)
	if changed {
		s.generation++
	}
	s.mu.Unlock()
	if changed {
		s.notify()
	}
	if whole {
		s.readOn(ctx)
	}
	s.confirm()
	return nil
}

// readOn reads what changed while the list of targets was read. If it fails, the next
// regular read does it.
func (s *Replica) readOn(ctx context.Context) {
	s.mu.Lock()
	position := s.targets.Position()
	s.mu.Unlock()
	records, end, err := s.store.TargetsSince(ctx, position)
	if err != nil {
		s.log.WithError(err).Debug("the changes since the list of targets were not read")
		return
	}
	s.mu.Lock()
	changed := s.targets.Apply(time.Now(), records, end)
	s.unread = false
	if changed {
		s.generation++
	}
	s.mu.Unlock()
	if changed {
		s.notify()
	}
}

// refreshConfiguration reads the newest configuration.
func (s *Replica) refreshConfiguration(ctx context.Context, wait time.Duration) error {
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
func (s *Replica) accept(c *registry.Configuration) bool {
	if c == nil || (s.configuration != nil && c.Version <= s.configuration.Version) {
		return false
	}
	s.configuration = c
	s.generation++
	return true
}

// contact notes whether the store answered.
func (s *Replica) contact(err error) {
	s.mu.Lock()
	wasAway := s.away
	s.away = err != nil
	if wasAway && err == nil {
		s.targets.MarkStoreUnavailable(time.Now())
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
func (s *Replica) confirm() {
	s.mu.Lock()
	if s.substituteTries {
		s.substituteTries, s.substituteUntil = false, time.Now().Add(substituteTime)
	}
	s.mu.Unlock()
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
