package soak

import (
	"context"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrAddressTaken is returned if another process on this computer has taken an address of a host. The
// run says nothing about the hosts then.
var ErrAddressTaken = errors.New("another process uses an address of the run")

// checkInterval is the time between two checks of the evidence.
const checkInterval = time.Second

// addressAttempts is how often a run is started with other addresses.
const addressAttempts = 3

// RunFresh runs the schedule of a seed with an empty log directory. It starts again with other
// addresses if another process has taken one.
func RunFresh(ctx context.Context, cfg Config) (report *Report, err error) {
	for range addressAttempts {
		if err := os.RemoveAll(cfg.LogDir); err != nil {
			return nil, errors.Wrap(err, "log directory")
		}
		if report, err = Run(ctx, cfg); !errors.Is(err, ErrAddressTaken) {
			break
		}
	}
	return report, err
}

// Run runs the schedule of a seed until its end or the first breach.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(cfg.LogDir, 0o700); err != nil {
		return nil, errors.Wrap(err, "log directory")
	}
	rng := cfg.random()
	events, styleName := newSchedule(&cfg, rng)
	report := &Report{Seed: cfg.Seed, Style: styleName, events: events, LogDir: cfg.LogDir}
	s, err := newSystem(&cfg, rng)
	if err != nil {
		return nil, err
	}
	defer s.close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := s.startHosts(ctx); err != nil {
		return nil, err
	}
	report.started = time.Now()
	err = s.play(ctx, cancel, events, report)
	for _, h := range s.hosts {
		if h.foundAddressInUse() {
			return nil, ErrAddressTaken
		}
	}
	return report, err
}

// startHosts starts all hosts and waits until they are ready.
func (s *system) startHosts(ctx context.Context) error {
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		for end := time.Now().Add(readyTimeout); !h.isReady(); time.Sleep(readyInterval) {
			if h.foundAddressInUse() {
				return ErrAddressTaken
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if time.Now().After(end) {
				return errors.Errorf("%s is not ready after its start, see %s", h.settings.ID, h.logPath)
			}
		}
	}
	return nil
}

// play runs callers and events, and checks the evidence until the end or the first breach.
func (s *system) play(ctx context.Context, cancel context.CancelFunc, events []event, report *Report) error {
	var callers, injectors sync.WaitGroup
	go s.heartbeats(ctx)
	go s.measureStalls(ctx)
	if s.cfg.style().clients {
		go s.sampleUsage(ctx)
	}
	for n := range s.cfg.Callers {
		callers.Go(func() { newCaller(n, s.cfg, s, s.recorder).loop(ctx) })
	}
	injected := make(chan error, 1)
	go func() {
		injected <- s.injectAll(ctx, &injectors, events)
	}()
	err := s.supervise(ctx, injected, report)
	cancel()
	callers.Wait()
	injectors.Wait()
	if len(report.breaches) == 0 {
		s.finalCheck(report)
	}
	final := s.recorder.snapshot()
	report.Summary, report.history = final.summary(), final.disruptions
	report.Stall = final.longestStall()
	return err
}

// injectAll applies the events in time and returns once all disruptions have ended.
func (s *system) injectAll(ctx context.Context, group *sync.WaitGroup, events []event) error {
	started := time.Now()
	failed := make(chan error, len(events))
	for _, e := range events {
		pause(ctx, time.Until(started.Add(e.at)))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			if err := s.inject(ctx, e); err != nil {
				failed <- errors.Wrap(err, e.String())
			}
		})
	}
	group.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// supervise checks the evidence until the recovery after the last event is over or a promise is
// broken.
func (s *system) supervise(ctx context.Context, injected <-chan error, report *Report) error {
	var over <-chan time.Time
	ticks := time.NewTicker(checkInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-injected:
			if err != nil {
				return err
			}
			injected = nil
			s.recorder.setRecovered(time.Now().Add(recovery))
			over = time.After(recovery + recoverySample + checkInterval)
		case <-ticks.C:
			if report.breaches = s.recorder.snapshot().check(time.Now()); report.Failed() {
				return nil
			}
		case <-over:
			report.breaches = s.recorder.snapshot().check(time.Now())
			return nil
		}
	}
}

// finalCheck requires that all hosts are ready, stop within the grace period and logged no panic.
func (s *system) finalCheck(report *Report) {
	for _, h := range s.hosts {
		if !h.isReady() {
			report.breaches = append(report.breaches, breach{ruleRecovery, time.Now(), "", h.settings.ID + " is not ready at the end"})
		}
		h.signal(syscall.SIGTERM)
	}
	kill := time.Now().Add(grace)
	for _, h := range s.hosts {
		if !h.waitExit(kill) {
			// The runtime writes the stacks of all goroutines to the log.
			h.signal(syscall.SIGQUIT)
			h.waitExit(time.Now().Add(time.Second))
			report.breaches = append(report.breaches, breach{ruleExit, time.Now(), "", h.settings.ID + " did not stop within the grace period"})
		}
		if log, err := os.ReadFile(h.logPath); err == nil && strings.Contains(string(log), "panic") {
			report.breaches = append(report.breaches, breach{ruleExit, time.Now(), "", h.settings.ID + " logged a panic"})
		}
	}
	report.breaches = append(report.breaches, s.recorder.snapshot().check(time.Now())...)
}

// Parameters of the measurement of stalls.
const (
	stallInterval = 5 * time.Millisecond
	// minStall is the delay of a timer from which it counts as a stall.
	minStall = 50 * time.Millisecond
)

// measureStalls records the delays of a timer of this process.
func (s *system) measureStalls(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(stallInterval)
		if now := time.Now(); now.Sub(before) >= stallInterval+minStall {
			s.recorder.addStall(before, now)
		}
	}
}
