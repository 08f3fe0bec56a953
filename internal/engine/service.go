package engine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/schedule"
	"github.com/sapphirehaven/sapphirehaven/internal/recovery"
)

// Prober sends a probe to a target and reports whether it passed.
type Prober interface {
	// Probes reports whether this host sends the regular probes of a service.
	Probes(service ident.ServiceName) bool
	Probe(ctx context.Context, service ident.ServiceName, target ident.TargetID) (ok bool, latency time.Duration)
}

// Recorder adds an event to the host's timeline.
type Recorder interface {
	Record(kind event.Kind, fields ...event.Field)
}

// minTickInterval is the shortest time between two ticks of a decider, so that
// timers that are due together cause a single wake-up.
const minTickInterval = 5 * time.Millisecond

// maxProbes bounds the concurrent probes of one service.
const maxProbes = 32

// processStart is the origin of monotonicNow; it includes a monotonic clock
// reading.
var processStart = time.Now()

// monotonicTime returns now as origin plus the time elapsed on the monotonic clock.
// The core computes ages and delays from wall clock times, so a step of the wall
// clock would otherwise keep an ejected target out of rotation for the length of
// the step.
func monotonicTime(origin, now time.Time) time.Time { return origin.Add(now.Sub(origin)) }

func monotonicNow() time.Time { return monotonicTime(processStart, time.Now()) }

// Decider schedules the requests of one service: a dispatch.Dispatcher or a
// schedule.Scheduler. Every method takes the current time; those that return
// actions leave it to the caller to execute them.
type Decider interface {
	Configure(now time.Time, cfg dispatch.Config) []dispatch.Action
	Arrive(now time.Time, r dispatch.Request) []dispatch.Action
	Cancel(now time.Time, id ident.RequestID) []dispatch.Action
	Finish(now time.Time, id ident.AttemptID, res dispatch.Result) []dispatch.Action
	Commit(now time.Time, id ident.AttemptID)
	LoadReport(now time.Time, r dispatch.LoadReport) []dispatch.Action
	Tick(now time.Time) []dispatch.Action
	NextTick(now time.Time) time.Time
	Status() []dispatch.TargetStatus
	ServiceStatus(now time.Time) dispatch.ServiceStatus
}

// Service drives the decider of one service. It is safe for concurrent use.
type Service struct {
	name       ident.ServiceName
	prober     Prober
	recorder   Recorder
	probeSlots chan struct{}

	mu      sync.Mutex
	decider Decider
	// dispatcher and scheduler are the decider under its concrete type; the other
	// one is nil.
	dispatcher *dispatch.Dispatcher
	scheduler  *schedule.Scheduler
	calls      map[ident.RequestID]*Call
	timer      *time.Timer
	nextTick   time.Time
	closed     bool
	// pausing is set while a target may be in a pause, so that attempts need no lock to
	// learn that none is.
	pausing atomic.Bool
}

// Call is a request in progress.
type Call struct {
	service *Service
	id      ident.RequestID
	steps   chan dispatch.Action
}

// stepBufferSize bounds the pending actions of one request: a start and, if the
// request is canceled at the same time, its end. The rest is a margin, since a full
// buffer would block the service, which holds its lock while it delivers actions.
const stepBufferSize = 4

// NewService creates a decider with the configuration and starts its timer.
func NewService(cfg dispatch.Config, self dispatch.Self, seed uint64, prober Prober, recorder Recorder) *Service {
	now := monotonicNow()
	s := &Service{
		name:       cfg.Service,
		prober:     prober,
		recorder:   recorder,
		probeSlots: make(chan struct{}, maxProbes),
		calls:      map[ident.RequestID]*Call{},
	}
	if cfg.SelectByCost {
		s.scheduler = schedule.New(now, cfg, self)
		s.decider = s.scheduler
	} else {
		s.dispatcher = dispatch.New(now, cfg, self, seed)
		s.decider = s.dispatcher
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextTick = now.Add(minTickInterval)
	s.timer = time.AfterFunc(minTickInterval, s.tick)
	return s
}

// Close stops timers and probes. Attempts in flight finish as usual.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
}

// Reopen undoes Close and applies a new configuration revision.
func (s *Service) Reopen(cfg dispatch.Config) {
	s.mu.Lock()
	s.closed = false
	s.nextTick = time.Time{}
	s.mu.Unlock()
	s.Configure(cfg)
}

// Configure applies a new configuration revision.
func (s *Service) Configure(cfg dispatch.Config) {
	s.handleEvent(func(now time.Time, d Decider) []dispatch.Action { return d.Configure(now, cfg) })
}

// Arrive submits a request to the decider. The caller receives its steps from Next
// until one of them ends the request.
func (s *Service) Arrive(r dispatch.Request) *Call {
	c := &Call{service: s, id: r.ID, steps: make(chan dispatch.Action, stepBufferSize)}
	s.handleEvent(func(now time.Time, d Decider) []dispatch.Action {
		s.calls[r.ID] = c
		return d.Arrive(now, r)
	})
	return c
}

// Pending returns the next step if there is one already, or nil.
func (c *Call) Pending() dispatch.Action {
	select {
	case a := <-c.steps:
		return a
	default:
		return nil
	}
}

// Next waits for the next step: dispatch.Start, or dispatch.Refuse,
// dispatch.Complete or dispatch.Fail, which end the request. A
// dispatch.CancelAttempt is not delivered: a request has one attempt at a time, and
// the context that cancels the request cancels its attempt. A pending step is
// returned even if ctx has ended, so that a decided outcome is not replaced by a
// timeout.
func (c *Call) Next(ctx context.Context) (dispatch.Action, error) {
	if a := c.Pending(); a != nil {
		return a, nil
	}
	select {
	case a := <-c.steps:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// canceledBeforeStart is the result of an attempt whose request was canceled before
// its goroutine received the start.
var canceledBeforeStart = dispatch.Result{Kind: attempt.Canceled, NotSent: true}

// Cancel reports that the caller has disconnected. A start that the request has not
// received yet is finished, so that its slot is released.
func (c *Call) Cancel() {
	s := c.service
	s.handleEvent(func(now time.Time, d Decider) []dispatch.Action {
		actions := d.Cancel(now, c.id)
		delete(s.calls, c.id)
		for len(c.steps) > 0 {
			if a, ok := (<-c.steps).(dispatch.Start); ok {
				actions = append(actions, d.Finish(now, a.Attempt, canceledBeforeStart)...)
			}
		}
		return actions
	})
}

// Finish reports the end of an attempt.
func (s *Service) Finish(id ident.AttemptID, res dispatch.Result) {
	s.handleEvent(func(now time.Time, d Decider) []dispatch.Action { return d.Finish(now, id, res) })
}

// Commit reports that the response of an attempt is being forwarded to the caller,
// so that its request is not retried.
func (s *Service) Commit(id ident.AttemptID) {
	s.handleEvent(func(now time.Time, d Decider) []dispatch.Action {
		d.Commit(now, id)
		return nil
	})
}

// schedule passes an event to the scheduler, if the service has one.
func (s *Service) schedule(apply func(time.Time, *schedule.Scheduler) []dispatch.Action) {
	s.handleEvent(func(now time.Time, _ Decider) []dispatch.Action {
		if s.scheduler == nil {
			return nil
		}
		return apply(now, s.scheduler)
	})
}

// Evidence returns the health evidence for the other serving hosts.
func (s *Service) Evidence() health.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dispatcher == nil {
		return health.Evidence{}
	}
	return s.dispatcher.Evidence(monotonicNow())
}

// Merge applies the health evidence of another serving host.
func (s *Service) Merge(e health.Evidence) {
	s.handleEvent(func(now time.Time, _ Decider) []dispatch.Action {
		if s.dispatcher == nil {
			return nil
		}
		return s.dispatcher.Merge(now, e)
	})
}

// Observe applies the observations of another host.
func (s *Service) Observe(from ident.HostID, observations schedule.Observations) {
	s.schedule(func(now time.Time, d *schedule.Scheduler) []dispatch.Action {
		return d.Observe(now, from, observations)
	})
}

// CountSplitOutcome counts the outcome of a request that a split route sent to
// another service.
func (s *Service) CountSplitOutcome(served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler != nil {
		s.scheduler.CountSplitOutcome(monotonicNow(), served)
	}
}

// ReportHostLoss reports that hosts were lost together with the requests in
// progress on them.
func (s *Service) ReportHostLoss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler != nil {
		s.scheduler.ReportHostLoss()
	}
}

// TakeObservations returns the observations that have not been sent to the other
// hosts yet.
func (s *Service) TakeObservations() schedule.Observations {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil {
		return schedule.Observations{}
	}
	return s.scheduler.TakeObservations(monotonicNow())
}

// Urgent reports whether an observation should be sent to the other hosts at once.
func (s *Service) Urgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler != nil && s.scheduler.Urgent()
}

// Status returns the state of the service and of every target.
func (s *Service) Status() (dispatch.ServiceStatus, []dispatch.TargetStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decider.ServiceStatus(monotonicNow()), s.decider.Status()
}

// panicRetryDelay is the time until the next tick after a panic in a timer.
const panicRetryDelay = time.Second

// tick runs the timers of the decider. A panic in them terminates neither the
// process nor the timer.
func (s *Service) tick() {
	recovery.CallWithHandler(s.advance, func(cause any, _ []byte) {
		s.recorder.Record(event.TimerFailed, event.F("service", s.name), event.F("panic", cause))
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.closed {
			s.nextTick = monotonicNow().Add(panicRetryDelay)
			s.timer.Reset(panicRetryDelay)
		}
	})
}

func (s *Service) advance() {
	regularProbes := s.dispatcher != nil && s.prober.Probes(s.name)
	s.handleEvent(func(now time.Time, d Decider) []dispatch.Action {
		if s.dispatcher != nil {
			s.dispatcher.SetPeriodicProbes(regularProbes)
		}
		actions := d.Tick(now)
		s.pausing.Store(s.scheduler != nil && s.scheduler.Pausing())
		return actions
	})
}

// handleEvent passes one event to the decider under the lock, executes the
// resulting actions and resets the timer.
func (s *Service) handleEvent(apply func(time.Time, Decider) []dispatch.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := monotonicNow()
	s.execute(now, apply(now, s.decider))
	s.resetTimer(now)
}

func (s *Service) resetTimer(now time.Time) {
	if s.closed {
		return
	}
	next := s.decider.NextTick(now)
	if earliest := now.Add(minTickInterval); next.Before(earliest) {
		next = earliest
	}
	if s.nextTick.After(now) && !next.Before(s.nextTick) {
		return
	}
	s.nextTick = next
	s.timer.Reset(next.Sub(now))
}

func (s *Service) execute(now time.Time, actions []dispatch.Action) {
	for _, a := range actions {
		s.executeAction(now, a)
	}
}

func (s *Service) executeAction(now time.Time, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Start:
		if s.calls[a.Request] == nil {
			s.execute(now, s.decider.Finish(now, a.Attempt, canceledBeforeStart))
			return
		}
		s.deliver(a.Request, a, false)
	case dispatch.Refuse:
		s.deliver(a.Request, a, true)
	case dispatch.Complete:
		s.deliver(a.Request, a, true)
	case dispatch.Fail:
		s.deliver(a.Request, a, true)
	case dispatch.Probe:
		s.startProbe(a.Target)
	case dispatch.Record:
		s.recorder.Record(a.Kind, a.Fields...)
	}
}

func (s *Service) deliver(id ident.RequestID, a dispatch.Action, last bool) {
	c := s.calls[id]
	if c == nil {
		return
	}
	if last {
		delete(s.calls, id)
	}
	c.steps <- a
}

func (s *Service) startProbe(target ident.TargetID) {
	select {
	case s.probeSlots <- struct{}{}:
	default:
		s.dispatcher.ProbeSkipped(target)
		return
	}
	go func() {
		var ok bool
		var latency time.Duration
		completed := recovery.CallWithHandler(
			func() { ok, latency = s.prober.Probe(context.Background(), s.name, target) },
			func(cause any, _ []byte) {
				s.recorder.Record(event.ProbeFailed, event.F("service", s.name), event.F("target", target), event.F("panic", cause))
			})
		<-s.probeSlots
		s.handleEvent(func(now time.Time, _ Decider) []dispatch.Action {
			if !completed {
				// A panic shows nothing about the target.
				s.dispatcher.ProbeSkipped(target)
				return nil
			}
			return s.dispatcher.ProbeResult(now, target, ok, latency)
		})
	}()
}
