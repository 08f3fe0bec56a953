package engine

import (
	"context"
	"sync"
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

// minTick is the shortest time between two ticks of a dispatcher, so that
// timers that are due together cost one wake-up.
const minTick = 5 * time.Millisecond

// maxProbes bounds the probes that one service runs at once.
const maxProbes = 32

// processStart has a monotonic reading, from which steady times are counted.
var processStart = time.Now()

// steady returns the time now as counted from origin by the monotonic clock.
// The core computes ages and waits from wall times, so a step of the wall clock
// would otherwise keep a removed target out for the length of the step.
func steady(origin, now time.Time) time.Time { return origin.Add(now.Sub(origin)) }

func steadyNow() time.Time { return steady(processStart, time.Now()) }

// Decider decides about the requests of one service: a dispatch.Dispatcher or a
// schedule.Scheduler. Every method takes the time and returns what is to be done.
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
	name     ident.ServiceName
	prober   Prober
	recorder Recorder
	probes   chan struct{}

	mu      sync.Mutex
	decider Decider
	// dispatcher and scheduler are the decider by its type; the other is nil.
	dispatcher *dispatch.Dispatcher
	scheduler  *schedule.Scheduler
	calls      map[ident.RequestID]*Call
	timer      *time.Timer
	dueAt      time.Time
	closed     bool
}

// Call is a request that waits for its next step.
type Call struct {
	service *Service
	id      ident.RequestID
	steps   chan dispatch.Action
}

// stepBuffer holds the actions of one request that can be outstanding: a start
// and, when the request is canceled at the same time, its end.
const stepBuffer = 4

// NewService starts a decider with its configuration.
func NewService(cfg dispatch.Config, self dispatch.Self, seed uint64, prober Prober, recorder Recorder) *Service {
	now := steadyNow()
	s := &Service{
		name:     cfg.Service,
		prober:   prober,
		recorder: recorder,
		probes:   make(chan struct{}, maxProbes),
		calls:    map[ident.RequestID]*Call{},
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
	s.dueAt = now.Add(minTick)
	s.timer = time.AfterFunc(minTick, s.tick)
	return s
}

// Close stops timers and probes. Attempts in flight end as usual.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
}

// Configure puts a new revision in force.
func (s *Service) Configure(cfg dispatch.Config) {
	s.step(func(now time.Time, d Decider) []dispatch.Action { return d.Configure(now, cfg) })
}

// Arrive hands a request to the dispatcher. The caller receives its steps from
// Next until one of them ends the request.
func (s *Service) Arrive(r dispatch.Request) *Call {
	c := &Call{service: s, id: r.ID, steps: make(chan dispatch.Action, stepBuffer)}
	s.step(func(now time.Time, d Decider) []dispatch.Action {
		s.calls[r.ID] = c
		return d.Arrive(now, r)
	})
	return c
}

// Next waits for the next step: dispatch.Start, or one that ends the request:
// dispatch.Refuse, dispatch.Complete, dispatch.Fail. A dispatch.CancelAttempt is
// not passed on: a request has one attempt at a time, and the context that
// cancels the request cancels its attempt. A step that is there is returned also
// when ctx has ended, so that a decided outcome is not replaced by a timeout.
func (c *Call) Next(ctx context.Context) (dispatch.Action, error) {
	select {
	case a := <-c.steps:
		return a, nil
	default:
	}
	select {
	case a := <-c.steps:
		return a, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// notStarted is the end of an attempt whose request was canceled before its
// goroutine saw the start.
var notStarted = dispatch.Result{Kind: attempt.Canceled, NotSent: true}

// Cancel tells the dispatcher that the caller is gone. A start that the request
// has not seen yet is ended, so that its slot is free again.
func (c *Call) Cancel() {
	s := c.service
	s.step(func(now time.Time, d Decider) []dispatch.Action {
		actions := d.Cancel(now, c.id)
		delete(s.calls, c.id)
		for len(c.steps) > 0 {
			if a, ok := (<-c.steps).(dispatch.Start); ok {
				actions = append(actions, d.Finish(now, a.Attempt, notStarted)...)
			}
		}
		return actions
	})
}

// Finish reports the end of an attempt.
func (s *Service) Finish(id ident.AttemptID, res dispatch.Result) {
	s.step(func(now time.Time, d Decider) []dispatch.Action { return d.Finish(now, id, res) })
}

// Commit tells that the response of an attempt is being passed on, so that its
// request is not tried again.
func (s *Service) Commit(id ident.AttemptID) {
	s.step(func(now time.Time, d Decider) []dispatch.Action {
		d.Commit(now, id)
		return nil
	})
}

// LoadReport reports a target's load.
func (s *Service) LoadReport(r dispatch.LoadReport) {
	s.step(func(now time.Time, d Decider) []dispatch.Action { return d.LoadReport(now, r) })
}

// Evidence returns the report for the other serving hosts.
func (s *Service) Evidence() health.Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dispatcher == nil {
		return health.Evidence{}
	}
	return s.dispatcher.Evidence(steadyNow())
}

// Merge takes the report of another serving host.
func (s *Service) Merge(e health.Evidence) {
	s.step(func(now time.Time, _ Decider) []dispatch.Action {
		if s.dispatcher == nil {
			return nil
		}
		return s.dispatcher.Merge(now, e)
	})
}

// Observe takes what another host saw at the service's targets.
func (s *Service) Observe(from ident.HostID, seen schedule.Observations) {
	s.step(func(now time.Time, _ Decider) []dispatch.Action {
		if s.scheduler == nil {
			return nil
		}
		return s.scheduler.Observe(now, from, seen)
	})
}

// CountOther counts the outcome of a request that a split route gave to another
// service.
func (s *Service) CountSplitOutcome(served bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler != nil {
		s.scheduler.CountSplitOutcome(steadyNow(), served)
	}
}

// Unsettle tells that hosts were lost with the requests that they served.
func (s *Service) ReportHostLoss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler != nil {
		s.scheduler.ReportHostLoss()
	}
}

// TakeObservations returns what the other hosts do not know yet.
func (s *Service) TakeObservations() schedule.Observations {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scheduler == nil {
		return schedule.Observations{}
	}
	return s.scheduler.TakeObservations()
}

// Urgent reports whether an observation should reach the other hosts at once.
func (s *Service) Urgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler != nil && s.scheduler.Urgent()
}

// Status returns the state of the service and of every target.
func (s *Service) Status() (dispatch.ServiceStatus, []dispatch.TargetStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.decider.ServiceStatus(steadyNow()), s.decider.Status()
}

// failedTickPause is the time after which the timer goes on that panicked.
const failedTickPause = time.Second

// tick runs the timers of the decider. An unexpected error there ends neither the
// process nor the timer.
func (s *Service) tick() {
	recovery.CallWithHandler(s.advance, func(cause any, _ []byte) {
		s.recorder.Record(event.TimerFailed, event.F("service", s.name), event.F("panic", cause))
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.closed {
			s.dueAt = steadyNow().Add(failedTickPause)
			s.timer.Reset(failedTickPause)
		}
	})
}

func (s *Service) advance() {
	regularProbes := s.dispatcher != nil && s.prober.Probes(s.name)
	s.step(func(now time.Time, d Decider) []dispatch.Action {
		if s.dispatcher != nil {
			s.dispatcher.SetRegularProbes(regularProbes)
		}
		return d.Tick(now)
	})
}

// step runs one event under the lock, hands out the actions and sets the timer.
func (s *Service) step(event func(time.Time, Decider) []dispatch.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := steadyNow()
	s.carryOutAll(now, event(now, s.decider))
	s.schedule(now)
}

func (s *Service) schedule(now time.Time) {
	if s.closed {
		return
	}
	next := s.decider.NextTick(now)
	if earliest := now.Add(minTick); next.Before(earliest) {
		next = earliest
	}
	if s.dueAt.After(now) && !next.Before(s.dueAt) {
		return
	}
	s.dueAt = next
	s.timer.Reset(next.Sub(now))
}

func (s *Service) carryOutAll(now time.Time, actions []dispatch.Action) {
	for _, a := range actions {
		s.carryOut(now, a)
	}
}

func (s *Service) carryOut(now time.Time, a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Start:
		if s.calls[a.Request] == nil {
			s.carryOutAll(now, s.decider.Finish(now, a.Attempt, notStarted))
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
	case s.probes <- struct{}{}:
	default:
		s.dispatcher.ProbeSkipped(target)
		return
	}
	go func() {
		ok, latency := s.prober.Probe(context.Background(), s.name, target)
		<-s.probes
		s.step(func(now time.Time, _ Decider) []dispatch.Action {
			return s.dispatcher.ProbeResult(now, target, ok, latency)
		})
	}()
}
