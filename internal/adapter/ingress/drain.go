package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// maxTypicalArrival is the longest time after the start of a stop in which a host accepts requests that
// usually end within the rest of the stop, but whose deadline does not. Meanwhile callers replace their
// cached addresses. Later ones are rejected, so that they go to another host.
const maxTypicalArrival = 3 * time.Second

// timing is what the time that a request needs depends on.
type timing struct {
	arrivedAt, deadline time.Time
	// typical is a time that few attempts of the class exceed; 0: unknown.
	typical time.Duration
}

// drain tells which requests a stopping host may still pass on to targets, so that it can answer them
// before it closes the remaining connections.
type drain struct {
	// started is canceled when the host starts to stop.
	started context.Context
	start   context.CancelFunc
	// startedAt and deadline are valid after that. The deadline is the time by which all requests should be
	// answered.
	startedAt, deadline time.Time
}

func newDrain() *drain {
	d := &drain{}
	d.started, d.start = context.WithCancel(context.Background())
	return d
}

// Drain makes the server close each caller's connection after the next response, and reject requests that
// it may not be able to answer before the deadline. It is called once.
func (s *Server) Drain(deadline time.Time) {
	s.drain.startedAt, s.drain.deadline = time.Now(), deadline
	s.drain.start()
}

// draining reports whether the host is stopping.
func (d *drain) draining() bool { return d.started.Err() != nil }

// latestStart returns the latest time at which a request may be passed on to a target, and false if there
// is no limit because the request's own deadline lies within the stop.
func (d *drain) latestStart(t timing) (latest time.Time, limited bool) {
	if !t.deadline.After(d.deadline) {
		return time.Time{}, false
	}
	lastArrival := d.startedAt.Add(min(maxTypicalArrival, d.deadline.Sub(d.startedAt)/2))
	if t.typical <= 0 || t.arrivedAt.After(lastArrival) {
		return d.startedAt, true
	}
	return d.deadline.Add(-t.typical), true
}

// admits reports whether a request may be passed on to a target now.
func (d *drain) admits(now time.Time, t timing) bool {
	if !d.draining() {
		return true
	}
	latest, limited := d.latestStart(t)
	return !limited || !now.After(latest)
}

// AdmitsRequests reports whether the server passes on requests of any class with the deadline of the class
// or of the route.
func (s *Server) AdmitsRequests(now time.Time) bool {
	active := s.active.Load()
	if active == nil {
		return false
	}
	for service, backend := range active.Backends {
		for name, class := range backend.Classes {
			typical := s.metrics.class(service, name).attemptTimes.upperBound(time.Duration(class.Objective))
			if s.drain.admits(now, timing{arrivedAt: now, deadline: now.Add(classTimeout(class)), typical: typical}) {
				return true
			}
		}
	}
	return false
}

// classTimeout returns how long a request of a class without a deadline of its caller may take.
func classTimeout(class *document.Class) time.Duration {
	timeout := time.Duration(class.Deadline)
	if class.Timeout > 0 {
		timeout = min(timeout, time.Duration(class.Timeout))
	}
	return timeout
}

// errStopping is the cause of the end of a wait for a target that ends because the host is stopping.
var errStopping = errors.New("the host is stopping")

// timing returns what the time that the request needs depends on.
func (q *request) timing() timing {
	return timing{
		arrivedAt: q.arrivedAt,
		deadline:  q.deadline,
		typical:   q.metrics.attemptTimes.upperBound(time.Duration(q.class.Objective)),
	}
}

// admitted reports whether the request may be passed on to a target now.
func (q *request) admitted() bool {
	if await := q.server.cfg.AwaitSignals; await != nil {
		await()
	}
	return !q.server.drain.draining() || q.server.drain.admits(time.Now(), q.timing())
}

// afterLatestStart calls f when the host is stopping and the request may no longer be passed on, unless
// ctx has ended or the returned function has been called before.
func (q *request) afterLatestStart(ctx context.Context, f func()) (stop func() bool) {
	return context.AfterFunc(q.server.drain.started, func() {
		latest, limited := q.server.drain.latestStart(q.timing())
		if !limited {
			return
		}
		timer := time.AfterFunc(time.Until(latest), f)
		context.AfterFunc(ctx, func() { timer.Stop() })
	})
}

// ticketed reports whether the request has a ticket. Its ticket is looked up before it is rejected, because
// the response to an earlier request with the ticket may be stored.
func (q *request) ticketed() bool {
	_, ok := q.server.ticketOf(q.r)
	return ok
}

// next waits for the next action of the dispatcher. The error is errStopping if the host is stopping and
// the request may no longer be passed on.
func (q *request) next(ctx context.Context) (dispatch.Action, error) {
	if action := q.call.Pending(); action != nil {
		return action, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer q.afterLatestStart(ctx, func() { cancel(errStopping) })()
	action, err := q.call.Next(ctx)
	if err != nil && errors.Is(context.Cause(ctx), errStopping) {
		return nil, errStopping
	}
	return action, err
}

// stop cancels a request that the host may no longer pass on. It sends the response of an earlier attempt
// if there is one, or returns a problem.
func (q *request) stop() *Problem {
	q.call.Cancel()
	if q.buffered != nil && !impliesNotRun(q.buffered.status) {
		return q.sendBuffered(q.buffered.attempt)
	}
	return q.stoppingProblem()
}

func (q *request) stoppingProblem() *Problem {
	if q.mayHaveRun {
		return unknownOutcomeProblem(http.StatusBadGateway, "host_stopping", "the host is stopping and makes no further attempt; an earlier one may have run")
	}
	return unavailableProblem("host_stopping", "the host is stopping and may be unable to finish the request; other hosts serve it", 0)
}

// withdrawAttempt ends an attempt that may no longer be sent.
func (q *request) withdrawAttempt(start dispatch.Start) {
	q.attemptStart = time.Now()
	q.finishAttempt(start, &target.Trace{}, attempt.Result{Kind: attempt.Canceled, NotSent: true})
}
