package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// heldResponse is a complete response that waits for the dispatcher's decision.
type heldResponse struct {
	attempt ident.AttemptID
	status  int
	header  http.Header
	body    []byte
}

// attempt carries out one attempt and reports its result. It returns true when
// the response was streamed to the caller, so that the request has ended.
func (q *request) attempt(ctx context.Context, start dispatch.Start) bool {
	began := time.Now()
	q.began = began
	defer func() { q.attempted += time.Since(began) }()
	if end := began.Add(start.Timeout); end.Before(q.deadline) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end)
		defer cancel()
	}
	var trace target.Trace
	endpoint, ok := q.endpoint(start.Target)
	if !ok {
		q.finish(start, &trace, attempt.Result{Kind: attempt.Canceled, NotSent: true})
		return false
	}
	response, result := q.server.cfg.Transport.Do(ctx, q.newAttempt(start, endpoint, &trace))
	if response == nil {
		q.finish(start, &trace, result)
		return false
	}
	return q.receive(start, &trace, response)
}

// endpoint returns where a target is. The dispatcher follows new revisions at
// once, so the revision in force goes first: it may have added or moved the
// target since the request arrived.
func (q *request) endpoint(id ident.TargetID) (Endpoint, bool) {
	if active := q.server.active.Load(); active != nil {
		if backend := active.Backends[q.backend.Service.Name]; backend != nil {
			if e, ok := backend.Targets[id]; ok {
				return e, true
			}
		}
	}
	e, ok := q.backend.Targets[id]
	return e, ok
}

func (q *request) newAttempt(start dispatch.Start, endpoint Endpoint, trace *target.Trace) target.Attempt {
	a := target.Attempt{
		Address:       endpoint.Address,
		Method:        q.r.Method,
		URI:           q.uri(),
		Host:          q.r.Host,
		Header:        q.r.Header,
		Via:           q.server.via,
		Body:          q.newBody(),
		ContentLength: q.contentLength(),
		Idempotent:    q.class.Idempotent,
		Fresh:         start.Fresh,
		RequestID:     q.wireID,
		ExpectTarget:  string(start.Target),
		Statuses: target.Statuses{
			Failure: q.backend.Service.Health.FailureStatuses,
			Shed:    q.backend.Service.Health.ShedStatuses,
			NotRun:  q.class.NotRunStatuses,
		},
		SilentTimeout: start.SilentTimeout,
		CrossRegion:   endpoint.Region != q.server.cfg.Location.Region,
		Class:         string(q.class.Name),
		Trace:         trace,
	}
	if q.class.Upload != nil {
		a.MinBodyBytesPerSecond = int64(q.class.Upload.MinBytesPerSecond)
		a.InterruptBody = q.interruptBody
		if q.interrupted.Load() {
			// An earlier attempt stopped waiting for the body and read none of it.
			q.boundRead(time.Time{})
		}
	}
	return a
}

// uri returns the request target as the caller sent it. A relayed request has
// only the parsed form.
func (q *request) uri() string {
	if strings.HasPrefix(q.r.RequestURI, "/") {
		return q.r.RequestURI
	}
	return q.r.URL.RequestURI()
}

// finish reports the end of an attempt. An upload whose body was read in part
// cannot be sent again, whatever the dispatcher would decide.
func (q *request) finish(start dispatch.Start, trace *target.Trace, result attempt.Result) {
	q.mayHaveRun = q.mayHaveRun || !result.NotSent && !result.NotRun
	if q.class.Upload != nil && trace.BodyBytesRead > 0 {
		q.backend.Engine.Commit(start.Attempt)
	}
	q.end(start, trace, result)
}

// end reports the result, and that the target announced draining before it: the
// dispatcher then starts nothing more there.
func (q *request) end(start dispatch.Start, trace *target.Trace, result attempt.Result) {
	q.metrics.results[result.Kind].Inc()
	q.logAttempt(start, trace, result)
	if trace.Draining {
		q.backend.Engine.LoadReport(dispatch.LoadReport{Target: start.Target, Draining: true, FromResponse: true})
	}
	if load := trace.Load; load != nil {
		q.backend.Engine.LoadReport(dispatch.LoadReport{Target: start.Target, InFlight: load.InFlight, Slots: load.Slots})
	}
	q.backend.Engine.Finish(start.Attempt, result)
}

// receive holds the response back until it is complete, or streams it when it
// is too large for that.
func (q *request) receive(start dispatch.Start, trace *target.Trace, response *target.Response) bool {
	limit := int64(q.class.MaxBufferedAnswerBytes)
	body, err := readUpTo(response, limit+1)
	if err == nil && int64(len(body)) > limit && !response.Unverifiable {
		q.stream(start, trace, response, body)
		return true
	}
	result := response.Finish()
	if response.Unverifiable {
		// Without a length a truncated response looks complete, and an
		// incomplete one proves nothing about the run.
		result.Kind, result.NotRun = attempt.BadAnswer, false
	}
	if result.Kind == attempt.Answered || result.Kind == attempt.ServerError || result.NotRun || result.Kind == attempt.Shed {
		q.held = &heldResponse{attempt: start.Attempt, status: response.Status, header: response.Header, body: body}
	}
	q.finish(start, trace, result)
	return false
}

// readUpTo reads at most limit bytes of the body. Its error is nil at the end of
// the body and at the limit.
func readUpTo(response *target.Response, limit int64) ([]byte, error) {
	size := int64(512)
	if response.ContentLength >= 0 {
		// Room for one more byte lets the read that fills the buffer meet the end.
		size = response.ContentLength + 1
	}
	body := make([]byte, 0, min(size, limit, maxFirstBuffer))
	for {
		n, err := response.Body.Read(body[len(body):min(int64(cap(body)), limit)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil || int64(len(body)) == limit:
			return body, err
		case len(body) == cap(body):
			body = slices.Grow(body, len(body))
		}
	}
}

// maxFirstBuffer bounds what is allocated for a declared length before any byte
// of the body has arrived.
const maxFirstBuffer = 64 << 10

// stream passes a large response on while it arrives. When it breaks off, the
// caller's connection is aborted.
func (q *request) stream(start dispatch.Start, trace *target.Trace, response *target.Response, first []byte) {
	q.backend.Engine.Commit(start.Attempt)
	if q.caller != nil {
		// The slot is held until the response was passed on.
		q.caller.until = q.deadline
	}
	q.copyHeader(response.Header)
	q.w.WriteHeader(response.Status)
	_, err := io.Copy(q.w, io.MultiReader(bytes.NewReader(first), response.Body))
	q.end(start, trace, response.Finish())
	if err != nil {
		q.aborted = true
		panic(http.ErrAbortHandler)
	}
}

// passOn sends the held response of an attempt to the caller.
func (q *request) passOn(id ident.AttemptID) *Problem {
	if q.held == nil || q.held.attempt != id {
		return unknown(http.StatusBadGateway, "internal", "the response of the attempt is missing")
	}
	q.copyHeader(q.held.header)
	q.w.WriteHeader(q.held.status)
	_, _ = q.w.Write(q.held.body)
	return nil
}

func (q *request) copyHeader(from http.Header) {
	to := q.w.Header()
	copyHeader(to, from)
	to.Set(q.server.cfg.Dialect.RequestID, q.wireID)
	setHeader(to, q.server.cfg.Dialect.Outcome, OutcomeAnswered)
}

// failed ends a request whose last attempt failed.
func (q *request) failed(a dispatch.Fail) *Problem {
	if a.NotRun {
		return unavailable("not_run_"+a.Result.Kind.String(), "no target ran the request", a.Result.RetryAfter)
	}
	switch a.Result.Kind {
	case attempt.ServerError:
		return q.passOn(a.Attempt)
	case attempt.Shed, attempt.Draining:
		return unknown(http.StatusBadGateway, a.Result.Kind.String(), "the target refused the request without saying that it did not run")
	case attempt.TimedOut, attempt.Canceled:
		return unknown(http.StatusGatewayTimeout, a.Result.Kind.String(), "no complete response arrived in time; the request may have run")
	default:
		return unknown(http.StatusBadGateway, a.Result.Kind.String(), "no complete response arrived; the request may have run")
	}
}
