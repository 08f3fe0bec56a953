package ingress

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
	"github.com/sapphirehaven/sapphirehaven/internal/engine"
)

// maxDeadline bounds the deadline that a caller may ask for.
const maxDeadline = time.Hour

// request is a caller's request on its way through the host.
type request struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	// caller is the connection to the caller, nil for a relayed request.
	caller  *callerWriter
	active  *ActiveConfig
	backend *Backend
	class   *document.Class
	// split holds the parts of a split route, of which backend is one.
	split []document.Share
	id    ident.RequestID
	// wireID is the request ID that targets and callers see.
	wireID   string
	deadline time.Time
	// body is the whole request body of a class that is not an upload.
	body []byte
	call *engine.Call
	// interrupted tells that this host gave up reading the body of an upload.
	interrupted atomic.Bool
	// arrived is the time of the request's arrival.
	arrived time.Time
	// decided tells that an outcome of "not run" is certain although the request
	// may be a repeat.
	decided bool
	// mayHaveRun tells that an attempt ended without proof that it did not run.
	mayHaveRun bool
	// held is the last complete response that was not passed on yet.
	held *heldResponse
	// aborted tells that the response to the caller was broken off.
	aborted bool
	metrics *classMetrics
	// admittedAt is the time at which the request was there whole, or its head
	// when the body streams; attempted is the time spent in attempts since.
	admittedAt time.Time
	attempted  time.Duration
	// began is the start of the running attempt, attempts their number.
	began    time.Time
	attempts int
}

// serveRequest serves one routed request. A returned problem has not been sent.
// caller is nil for a request that another host relayed.
//
// A request with a ticket may be the repeat of one that has run. Until the
// ticket's table has decided, a refusal of the repeat says nothing about the
// first one, so its outcome is unknown.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, caller *callerWriter) (problem *Problem) {
	q, problem := s.newRequest(w, r, caller)
	if problem != nil {
		return s.undecided(problem, r)
	}
	defer func() {
		if problem != nil && !q.decided {
			problem = s.undecided(problem, r)
		}
		q.observe(problem)
	}()
	return q.serve()
}

// undecided makes a refusal unknown if the request carries a ticket.
func (s *Server) undecided(problem *Problem, r *http.Request) *Problem {
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

// newRequest finds the service and class of a request under the configuration in
// force.
func (s *Server) newRequest(w http.ResponseWriter, r *http.Request, caller *callerWriter) (*request, *Problem) {
	arrived := time.Now()
	active := s.awaitActive(r.Context())
	if active == nil {
		return nil, s.noConfiguration()
	}
	setHeader(w.Header(), s.cfg.Dialect.Revision, strconv.FormatUint(active.Revision, 10))
	rt := active.Routes.Lookup(r.Host, r.Method, r.URL.Path)
	if rt == nil {
		return nil, notRun(http.StatusNotFound, "no_route", fmt.Sprintf("no route matches %s %s of host %s", r.Method, r.URL.Path, r.Host))
	}
	id := ident.RequestID(s.lastID.Add(1))
	wireID, problem := s.wireID(r, id)
	if problem != nil {
		return nil, problem
	}
	service := rt.Service
	if len(rt.Split) > 0 {
		service = s.splits.choose(rt)
	}
	backend := active.Backends[service]
	q := &request{
		server:  s,
		w:       w,
		r:       r,
		caller:  caller,
		active:  active,
		backend: backend,
		class:   backend.Classes[rt.Class],
		split:   rt.Split,
		id:      id,
		wireID:  wireID,
		metrics: s.metrics.class(service, rt.Class),
		arrived: arrived,
	}
	w.Header().Set(s.cfg.Dialect.RequestID, q.wireID)
	return q, nil
}

// wireID returns the ID that targets and callers see.
func (s *Server) wireID(r *http.Request, id ident.RequestID) (string, *Problem) {
	if !s.cfg.Dialect.KeepCallerRequestID {
		return s.idPrefix + strconv.FormatUint(uint64(id), 16), nil
	}
	name := s.cfg.Dialect.RequestID
	if given := r.Header.Get(name); given != "" {
		return given, nil
	}
	return "", notRun(http.StatusBadRequest, "no_request_id", "the header "+name+" is missing")
}

// serve reads the request and runs it, under its ticket if it has one.
func (q *request) serve() *Problem {
	if problem := q.readDeadline(q.arrived); problem != nil {
		return problem
	}
	if problem := q.readBody(); problem != nil {
		return problem
	}
	q.admittedAt = time.Now()
	ctx, cancel := q.context()
	defer cancel()
	// The class does not matter: an earlier revision may have declared the
	// request as not idempotent when it ran with this ticket.
	text, ok := q.server.ticketOf(q.r)
	if !ok {
		return q.run(ctx, ctx)
	}
	q.decided = true
	tk, err := ticket.Parse(text)
	if err != nil {
		return notRun(http.StatusBadRequest, "bad_ticket", q.server.cfg.Dialect.Ticket+": "+err.Error())
	}
	return q.runTicketed(ctx, tk)
}

// ticketOf returns the ticket of a request. An empty header counts as a
// malformed ticket: its caller wants the protection that a ticket gives.
func (s *Server) ticketOf(r *http.Request) (text string, ok bool) {
	values, ok := r.Header[s.cfg.Dialect.Ticket]
	if !ok || len(values) == 0 {
		return "", false
	}
	return values[0], true
}

func (s *Server) noConfiguration() *Problem {
	return unavailable("no_configuration", "the host has no configuration yet: neither the log service nor a peer could be reached", time.Second)
}

func (q *request) readDeadline(arrived time.Time) *Problem {
	left := time.Duration(q.class.Deadline)
	name := q.server.cfg.Dialect.Deadline
	if value := q.r.Header.Get(name); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
			return notRun(http.StatusBadRequest, "bad_deadline", fmt.Sprintf("%s is %q, want 1 to %d milliseconds", name, value, maxDeadline.Milliseconds()))
		}
		left = time.Duration(ms) * time.Millisecond
	}
	if timeout := time.Duration(q.class.Timeout); timeout > 0 {
		left = min(left, timeout)
	}
	q.deadline = arrived.Add(left)
	return nil
}

// readBody reads the body of a class that is not an upload, before the request
// is admitted, so that a slow caller holds no slot.
func (q *request) readBody() *Problem {
	limit := int64(q.class.MaxRequestBytes)
	if q.r.ContentLength > limit {
		return q.bodyTooLarge()
	}
	if q.class.Upload != nil {
		return nil
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	q.boundRead(q.deadline)
	body, err := io.ReadAll(q.limitedBody())
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return q.bodyTooLarge()
	case errors.As(err, &timeout) && timeout.Timeout():
		return notRun(http.StatusRequestTimeout, "body_timeout", "the request body did not arrive before the deadline")
	case err != nil:
		return notRun(http.StatusBadRequest, "bad_body", "the request body broke off")
	}
	q.boundRead(time.Time{})
	q.body = body
	return nil
}

// boundRead sets the deadline for the caller's body; the zero time removes it.
func (q *request) boundRead(until time.Time) {
	if q.caller != nil && q.caller.conn != nil {
		_ = q.caller.conn.SetReadDeadline(until)
	}
}

// context returns a context that ends at the deadline or when the caller
// leaves. net/http takes an interrupted read of the body for a caller that left
// and ends the request's context, while the target's response still arrives.
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

// interruptBody makes a blocked read of the body fail.
func (q *request) interruptBody() {
	q.interrupted.Store(true)
	q.boundRead(time.Now())
}

func (q *request) bodyTooLarge() *Problem {
	return notRun(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body is larger than max_request_bytes of class %q: %d", q.class.Name, q.class.MaxRequestBytes))
}

// run follows the dispatcher's steps until the request has ended. It waits for
// them until ctx ends; attempts run under work.
func (q *request) run(ctx, work context.Context) *Problem {
	q.call = q.backend.Engine.Arrive(dispatch.Request{
		ID:            q.id,
		Class:         q.class.Name,
		Deadline:      q.deadline,
		BodyBytes:     q.r.ContentLength,
		NonIdempotent: !q.class.Idempotent,
	})
	served := false
	defer func() { q.countForSplit(served) }()
	for {
		action, err := q.call.Next(ctx)
		if err != nil {
			return q.abandon()
		}
		switch a := action.(type) {
		case dispatch.Start:
			if q.attempt(work, a) {
				served = true
				return nil
			}
		case dispatch.Refuse:
			return q.refused(a)
		case dispatch.Complete:
			served = true
			return q.passOn(a.Attempt)
		case dispatch.Fail:
			return q.failed(a)
		}
	}
}

// countForSplit counts the outcome for the other services of a split route: its
// requests are theirs as well, and one service that refuses its part is a reason for
// the others to use all of their capacity.
func (q *request) countForSplit(served bool) {
	for _, share := range q.split {
		if b := q.active.Backends[share.Service]; b != nil && b != q.backend {
			b.Engine.CountSplitOutcome(served)
		}
	}
}

// abandon ends a request whose deadline passed or whose caller left while no
// attempt was running.
func (q *request) abandon() *Problem {
	q.call.Cancel()
	if q.mayHaveRun {
		return unknown(http.StatusGatewayTimeout, "deadline", "the deadline passed before another attempt; an earlier one may have run")
	}
	return notRun(http.StatusGatewayTimeout, "deadline", "the deadline passed before an attempt was started")
}

// refused ends a request that the dispatcher refused. The dispatcher refuses
// none that had an attempt; the check keeps "not run" true if it ever does.
func (q *request) refused(a dispatch.Refuse) *Problem {
	if q.mayHaveRun {
		return unknown(http.StatusBadGateway, string(a.Reason), "no further attempt was made; an earlier one may have run")
	}
	return unavailable(string(a.Reason), "the request was not sent to a target", a.RetryAfter)
}

// limitedBody returns the caller's body, which fails when it is too large.
func (q *request) limitedBody() io.ReadCloser {
	body := q.r.Body
	if q.caller != nil {
		body = &q.caller.body
	}
	return http.MaxBytesReader(q.w, body, int64(q.class.MaxRequestBytes))
}

func (q *request) newBody() io.Reader {
	if q.class.Upload != nil {
		return q.limitedBody()
	}
	if len(q.body) == 0 {
		return nil
	}
	return bytes.NewReader(q.body)
}

func (q *request) contentLength() int64 {
	if q.class.Upload != nil {
		return q.r.ContentLength
	}
	return int64(len(q.body))
}
