package ingress

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
	"github.com/sapphirehaven/sapphirehaven/internal/engine"
)

// problemNoRoute is the type of the problem of a request that matches no route.
const problemNoRoute = "no_route"

// maxDeadline is the longest deadline that a caller may request.
const maxDeadline = time.Hour

// request is the state of one request while it is served.
type request struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	// caller is the connection to the caller. It is nil for a relayed request.
	caller  *callerWriter
	active  *ActiveConfig
	backend *Backend
	class   *document.Class
	// team is the team of the caller, nil if the request needs no key.
	team *team.Team
	// holdsPermit is set while the request holds a permit of the quota of its team.
	holdsPermit bool
	// route is the name of the route.
	route string
	// split holds the shares of a split route, including that of backend.
	split []document.Share
	id    ident.RequestID
	// wireID is the request ID sent to targets and callers.
	wireID   string
	deadline time.Time
	// body is the complete request body; nil for uploads and without a body.
	body *bodyBuffer
	// bufferedBody is the body of an upload if an attempt read it and was not sent.
	bufferedBody []byte
	call         *engine.Call
	// interrupted is set if this host interrupted reading the body of an upload.
	interrupted atomic.Bool
	// arrivedAt is the arrival time of the request.
	arrivedAt time.Time
	// ticketChecked is set if the ticket of the request was evaluated. An outcome
	// of "not run" is then correct even if the request is a retry by the caller.
	ticketChecked bool
	// mayHaveRun is set if an attempt ended without proof that it did not run.
	mayHaveRun bool
	// current is the latest attempt, and response its response, nil before the head has
	// arrived.
	current  ident.AttemptID
	response *target.Response
	// buffer holds the body of the latest response.
	buffer *responseBuffer
	// buffered is the last complete response that has not been sent yet.
	buffered *bufferedResponse
	// aborted is set if the response to the caller was aborted.
	aborted bool
	metrics *classMetrics
	// admittedAt is the time at which the request was received completely, or only
	// its header if the body is streamed.
	admittedAt time.Time
	// attemptTime is the total duration of the attempts so far.
	attemptTime time.Duration
	// attemptStart is the start time of the current attempt.
	attemptStart time.Time
	attemptCount int
}

// serveRequest serves one request to a service. A returned problem has not been
// sent yet. caller is nil for a request that was relayed by another host.
//
// A request with a ticket may be the retry of one that has already run. Until
// the ticket table has been consulted, rejecting the retry says nothing about the
// first request, so the outcome is unknown.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, caller *callerWriter) (problem *Problem) {
	q, problem := s.newRequest(w, r, caller)
	if problem != nil {
		return s.markOutcomeUnknown(problem, r)
	}
	defer func() {
		cause := recover()
		q.buffer.release()
		q.releaseBuffered()
		q.body.release()
		if cause != nil {
			problem = q.recoverPanic(cause)
		}
		if problem != nil && !q.ticketChecked {
			problem = s.markOutcomeUnknown(problem, r)
		}
		if problem != nil {
			problem.matched = match{route: q.route, service: q.backend.Service.Name, class: q.class.Name, revision: q.active.Revision}
		}
		q.recordMetrics(problem)
		q.logLate()
		if cause != nil && problem == nil {
			panic(http.ErrAbortHandler)
		}
	}()
	return q.serve()
}

// markOutcomeUnknown changes the outcome of a problem to unknown if the request
// carries a ticket.
func (s *Server) markOutcomeUnknown(problem *Problem, r *http.Request) *Problem {
	if _, ok := s.ticketOf(r); !ok {
		return problem
	}
	problem.Outcome = OutcomeUnknown
	problem.RetryAfter = 0
	if problem.Status == http.StatusServiceUnavailable {
		problem.Status = http.StatusBadGateway
		problem.Title = http.StatusText(problem.Status)
	}
	return problem
}

// newRequest determines the service and class of a request from the current
// configuration.
func (s *Server) newRequest(w http.ResponseWriter, r *http.Request, caller *callerWriter) (*request, *Problem) {
	arrivedAt := time.Now()
	active := s.awaitConfig(r.Context())
	if active == nil {
		return nil, s.noConfiguration()
	}
	setHeader(w.Header(), s.cfg.Dialect.Revision, strconv.FormatUint(active.Revision, 10))
	key := s.takeKey(active, r)
	path := sentPath(r)
	matched := active.Routes.Lookup(r.Host, r.Method, path)
	if matched != nil && matched.Rejected() {
		return nil, rejectedRouteProblem(matched.Name)
	}
	callerTeam, problem := s.authenticate(active, matched, key)
	if problem != nil {
		if matched != nil {
			problem.matched.route = matched.Name
		}
		return nil, problem
	}
	if matched == nil {
		return nil, s.noRoute(active, noRouteDetail(r.Method, path, r.Host))
	}
	id := ident.RequestID(s.lastID.Add(1))
	wireID, problem := s.wireID(r, id)
	if problem != nil {
		return nil, problem
	}
	service := matched.Service
	if len(matched.Split) > 0 {
		service = s.splitRouter.choose(matched)
	}
	backend := active.Backends[service]
	q := &request{
		server:    s,
		w:         w,
		r:         r,
		caller:    caller,
		active:    active,
		backend:   backend,
		class:     backend.Classes[matched.Class],
		route:     matched.Name,
		split:     matched.Split,
		team:      callerTeam,
		id:        id,
		wireID:    wireID,
		metrics:   s.metrics.class(service, matched.Class),
		arrivedAt: arrivedAt,
	}
	w.Header().Set(s.cfg.Dialect.RequestID, q.wireID)
	return q, nil
}

func noRouteDetail(method, path, host string) string {
	return fmt.Sprintf("no route matches %s %s of host %s", method, path, host)
}

// wireID returns the request ID sent to targets and callers.
func (s *Server) wireID(r *http.Request, id ident.RequestID) (string, *Problem) {
	if !s.cfg.Dialect.KeepCallerRequestID {
		return s.idPrefix + strconv.FormatUint(uint64(id), 16), nil
	}
	name := s.cfg.Dialect.RequestID
	if given := r.Header.Get(name); given != "" {
		return given, nil
	}
	return "", notRunProblem(http.StatusBadRequest, "no_request_id", "the header "+name+" is missing")
}

// serve reads the request and runs it, subject to its ticket if it has one.
func (q *request) serve() *Problem {
	if problem := q.readDeadline(q.arrivedAt); problem != nil {
		return problem
	}
	if !q.ticketed() && !q.admitted() {
		return q.stoppingProblem()
	}
	if problem := q.readBody(); problem != nil {
		return problem
	}
	q.admittedAt = time.Now()
	ctx, cancel := q.context()
	defer cancel()
	// The ticket is checked even if the class is idempotent: the class may have
	// been non-idempotent in an earlier revision, under which the request ran with
	// this ticket.
	token, ok := q.server.ticketOf(q.r)
	if !ok {
		return q.run(ctx, ctx)
	}
	q.ticketChecked = true
	tk, err := ticket.Parse(token)
	if err != nil {
		return notRunProblem(http.StatusBadRequest, "bad_ticket", q.server.cfg.Dialect.Ticket+": "+err.Error())
	}
	return q.runTicketed(ctx, tk)
}

// ticketOf returns the ticket of a request. An empty header is treated as a
// malformed ticket, because the caller expects the protection of a ticket.
func (s *Server) ticketOf(r *http.Request) (token string, ok bool) {
	values, ok := r.Header[s.cfg.Dialect.Ticket]
	if !ok || len(values) == 0 {
		return "", false
	}
	return values[0], true
}

func (s *Server) noConfiguration() *Problem {
	return unavailableProblem("no_configuration", "the host has no configuration yet: neither the log service nor a peer could be reached", time.Second)
}

func (q *request) readDeadline(arrivedAt time.Time) *Problem {
	timeLeft := time.Duration(q.class.Deadline)
	name := q.server.cfg.Dialect.Deadline
	if value := q.r.Header.Get(name); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return notRunProblem(http.StatusBadRequest, "bad_deadline", fmt.Sprintf("%s is %q, want 1 to %d milliseconds", name, value, maxDeadline.Milliseconds()))
		}
		timeLeft = time.Duration(ms) * time.Millisecond
	}
	if timeout := time.Duration(q.class.Timeout); timeout > 0 {
		timeLeft = min(timeLeft, timeout)
	}
	q.deadline = arrivedAt.Add(timeLeft)
	return nil
}

// setReadDeadline sets the read deadline of the caller's connection. The zero
// time removes it.
func (q *request) setReadDeadline(until time.Time) {
	if q.caller != nil && q.caller.conn != nil {
		_ = q.caller.conn.SetReadDeadline(until)
	}
}

// context returns a context that is canceled at the deadline or when the caller
// disconnects. net/http cancels the request's context also when a read of the
// body is interrupted, although the target's response may still arrive. That
// cancellation is ignored.
func (q *request) context() (context.Context, context.CancelFunc) {
	caller := q.r.Context()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(caller), q.deadline)
	stop := context.AfterFunc(caller, func() {
		if !q.interrupted.Load() {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

// run submits the request to the dispatcher and executes its actions. Waiting for an
// action ends with ctx; attempts run under attemptCtx.
func (q *request) run(ctx, attemptCtx context.Context) *Problem {
	if problem := q.acquireQuota(ctx); problem != nil {
		return problem
	}
	served, ended := false, false
	defer func() { q.returnPermit(served) }()
	if !q.admitted() {
		return q.stoppingProblem()
	}
	q.call = q.backend.Engine.Arrive(q.dispatchRequest())
	defer func() {
		if !ended {
			q.abandon()
		}
		q.reportToSplit(served)
	}()
	problem := q.runActions(ctx, attemptCtx, &served)
	ended = true
	return problem
}

// dispatchRequest returns the request as the dispatcher sees it.
func (q *request) dispatchRequest() dispatch.Request {
	in := dispatch.Request{
		ID:            q.id,
		Class:         q.class.Name,
		Deadline:      q.deadline,
		BodyBytes:     q.r.ContentLength,
		NonIdempotent: !q.class.Idempotent,
	}
	if q.server.cfg.Dialect.KeepCallerRequestID {
		h := fnv.New64a()
		_, _ = io.WriteString(h, q.wireID)
		in.Position = h.Sum64()
	}
	if q.team != nil {
		in.Team, in.TeamPriority = q.team.Name, q.team.Priority
	}
	return in
}

// runActions executes the dispatcher's actions until the request has ended. It sets served
// if the caller was sent a target's response.
func (q *request) runActions(ctx, attemptCtx context.Context, served *bool) *Problem {
	for {
		action, err := q.next(ctx)
		if errors.Is(err, errStopping) {
			return q.stop()
		}
		if err != nil {
			return q.cancelProblem()
		}
		switch a := action.(type) {
		case dispatch.Start:
			q.current = a.Attempt
			if !q.admitted() {
				q.withdrawAttempt(a)
				return q.stop()
			}
			if q.attempt(attemptCtx, a) {
				*served = true
				return nil
			}
		case dispatch.Refuse:
			return q.refusalProblem(a)
		case dispatch.Complete:
			*served = true
			return q.sendBuffered(a.Attempt)
		case dispatch.Fail:
			return q.failureProblem(a)
		}
	}
}

// reportToSplit reports the outcome to the other services of a split route. The
// requests of the route count for each of its services: if one service rejects
// its share, the others should use their full capacity.
func (q *request) reportToSplit(served bool) {
	for _, share := range q.split {
		if b := q.active.Backends[share.Service]; b != nil && b != q.backend {
			b.Engine.CountSplitOutcome(served)
		}
	}
}

// cancelProblem cancels a request whose deadline passed or whose caller
// disconnected while no attempt was running, and returns its problem.
func (q *request) cancelProblem() *Problem {
	q.call.Cancel()
	if q.mayHaveRun {
		return unknownOutcomeProblem(http.StatusGatewayTimeout, "deadline", "the deadline passed before another attempt; an earlier one may have run")
	}
	return notRunProblem(http.StatusGatewayTimeout, "deadline", "the deadline passed before an attempt was started")
}

// refusalProblem returns the problem for a request that the dispatcher rejected.
// The dispatcher never rejects a request after an attempt; the check keeps "not
// run" correct if it ever does.
func (q *request) refusalProblem(a dispatch.Refuse) *Problem {
	if q.mayHaveRun {
		return unknownOutcomeProblem(http.StatusBadGateway, string(a.Reason), "no further attempt was made; an earlier one may have run")
	}
	return unavailableProblem(string(a.Reason), "the request was not sent to a target", a.RetryAfter)
}
