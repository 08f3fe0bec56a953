package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ErrAddressTaken is returned if another process on the machine has taken an address of a host. The
// run says nothing about the hosts then.
var ErrAddressTaken = errors.New("another process uses an address of the run")

// checkInterval is the time between two checks of the evidence.
const checkInterval = time.Second

// Report is the result of a run.
type Report struct {
	Seed    uint64
	Style   string
	Events  []event
	Started time.Time
	// Breaches are ordered by time.
	Breaches []breach
	// Summary counts the requests by how they ended.
	Summary string
	// Stall is the longest time for which this process got no processor time when it wanted some, if
	// it was longer than minStall.
	Stall   time.Duration
	LogDir  string
	history impairments
}

// Failed reports whether a promise was broken.
func (r *Report) Failed() bool { return len(r.Breaches) > 0 }

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
	report := &Report{Seed: cfg.Seed, Style: styleName, Events: events, LogDir: cfg.LogDir}
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
	report.Started = time.Now()
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
	if len(report.Breaches) == 0 {
		s.finalCheck(report)
	}
	final := s.recorder.snapshot()
	report.Summary, report.history = final.summary(), final.impairments
	report.Stall = final.longestStall()
	return err
}

// injectAll applies the events in time and returns once all impairments have ended.
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
			if report.Breaches = s.recorder.snapshot().check(time.Now()); report.Failed() {
				return nil
			}
		case <-over:
			report.Breaches = s.recorder.snapshot().check(time.Now())
			return nil
		}
	}
}

// finalCheck requires that all hosts are ready, stop within the grace period and logged no panic.
func (s *system) finalCheck(report *Report) {
	for _, h := range s.hosts {
		if !h.isReady() {
			report.Breaches = append(report.Breaches, breach{"RECOVER", time.Now(), "", h.settings.ID + " is not ready at the end"})
		}
		h.signal(syscall.SIGTERM)
	}
	kill := time.Now().Add(grace)
	for _, h := range s.hosts {
		if !h.waitExit(kill) {
			// The runtime writes the stacks of all goroutines to the log.
			h.signal(syscall.SIGQUIT)
			h.waitExit(time.Now().Add(time.Second))
			report.Breaches = append(report.Breaches, breach{"EXIT", time.Now(), "", h.settings.ID + " did not stop within the grace period"})
		}
		if log, err := os.ReadFile(h.logPath); err == nil && strings.Contains(string(log), "panic") {
			report.Breaches = append(report.Breaches, breach{"EXIT", time.Now(), "", h.settings.ID + " logged a panic"})
		}
	}
	report.Breaches = append(report.Breaches, s.recorder.snapshot().check(time.Now())...)
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

// longestStall returns the longest time in which this process was late.
func (l impairments) longestStall() (longest time.Duration) {
	for _, i := range l {
		if i.cause == stalled {
			longest = max(longest, i.end.Sub(i.start))
		}
	}
	return longest
}

// maxBreachesShown is the largest number of breaches in a report.
const maxBreachesShown = 6

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) {
	result := "passed"
	if r.Failed() {
		result = "failed"
	}
	fmt.Fprintf(w, "seed %d: %s (%s; %s; longest stall of the soak %s)\n", r.Seed, result, r.Style, r.Summary, r.Stall.Round(time.Millisecond))
	if !r.Failed() {
		return
	}
	b := r.Breaches[0]
	fmt.Fprintf(w, "first breach, of %d: %6.2fs %s: request %q: %s\n", len(r.Breaches), b.at.Sub(r.Started).Seconds(), b.rule, b.request, b.text)
	for _, other := range r.Breaches[1:min(len(r.Breaches), maxBreachesShown)] {
		fmt.Fprintf(w, "  then: %6.2fs %s: request %q: %s\n", other.at.Sub(r.Started).Seconds(), other.rule, other.request, other.text)
	}
	fmt.Fprintln(w, "schedule:")
	for _, e := range r.Events {
		fmt.Fprintln(w, " ", e)
	}
	fmt.Fprintln(w, "what was done until the end of the run:")
	for _, i := range r.history {
		if i.cause == stalled {
			continue
		}
		end := "the end"
		if !i.end.IsZero() {
			end = fmt.Sprintf("%.2fs", i.end.Sub(r.Started).Seconds())
		}
		fmt.Fprintf(w, "  %6.2fs to %s: host %d, place %d: %s\n", i.start.Sub(r.Started).Seconds(), end, i.host+1, i.place+1, i.name)
	}
	fmt.Fprintf(w, "logs: %s\n", r.LogDir)
	if b.request != "" {
		fmt.Fprintf(w, "next: sapphirectl explain -request %s %s\n", b.request, filepath.Join(r.LogDir, "host-*.log"))
	}
}
