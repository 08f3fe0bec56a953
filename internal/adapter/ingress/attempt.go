package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// bufferedResponse is a complete response that is kept until the dispatcher
// decides whether to send it to the caller.
type bufferedResponse struct {
	attempt ident.AttemptID
	status  int
	header  http.Header
	buffer  *responseBuffer
}

// attempt executes one attempt and reports its result to the dispatcher. It
// returns true if the response was streamed to the caller, which completes the
// request.
func (q *request) attempt(ctx context.Context, start dispatch.Start) bool {
	attemptStart := time.Now()
	q.attemptStart = attemptStart
	defer func() { q.attemptTime += time.Since(attemptStart) }()
	if end := attemptStart.Add(start.Timeout); end.Before(q.deadline) {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, end)
		defer cancel()
	}
	var trace target.Trace
	endpoint, ok := q.endpoint(start.Target)
	if !ok {
		q.finishAttempt(start, &trace, attempt.Result{Kind: attempt.Canceled, NotSent: true})
		return false
	}
	response, result := q.server.cfg.Transport.Do(ctx, q.newAttempt(start, endpoint, &trace))
	q.response = response
	q.reportLeaving(start, &trace)
	if response == nil {
		q.finishAttempt(start, &trace, result)
		return false
	}
	return q.handleResponse(start, &trace, response)
}

// endpoint returns the network location of a target. The dispatcher applies new
// revisions immediately, so the target may have been added or moved since the
// request arrived. The current configuration therefore takes precedence over the
// configuration of the request.
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
		URI:           sentTarget(q.r),
		Host:          q.r.Host,
		Header:        q.r.Header,
		Via:           q.server.via,
		Body:          q.newBody(),
		ContentLength: q.contentLength(),
		Idempotent:    q.class.Idempotent,
		NewConnection: start.Fresh,
		RequestID:     q.wireID,
		Team:          q.teamName(),
		ExpectTarget:  string(start.Target),
		Statuses: target.Statuses{
			Failure: q.backend.Service.Health.FailureStatuses,
			Shed:    q.backend.Service.Health.ShedStatuses,
			NotRun:  q.class.NotRunStatuses,
		},
		FirstByteTimeout: start.SilentTimeout,
		CrossRegion:      endpoint.Region != q.server.cfg.Location.Region,
		Class:            string(q.class.Name),
		Trace:            trace,
		MayWrite:         func() error { return q.mayWrite(start) },
		OnPause:          func(pause target.RetryAfter) { q.reportPause(start, pause) },
	}
	if q.class.Upload == nil && a.Body != nil {
		a.ReleaseBody = q.body.startAttempt()
	}
	if q.class.Upload != nil {
		a.MinBodyBytesPerSecond = int64(q.class.Upload.MinBytesPerSecond)
		a.InterruptBody = q.interruptBody
		if q.interrupted.Load() {
			// An earlier attempt interrupted its read of the body before any byte
			// arrived; clear the read deadline for this attempt.
			q.setReadDeadline(time.Time{})
		}
	}
	return a
}

// finishAttempt reports the end of an attempt that did not stream its response.
// An upload whose body was partly read is committed first: it cannot be sent
// again, so the dispatcher must not retry it.
func (q *request) finishAttempt(start dispatch.Start, trace *target.Trace, result attempt.Result) {
	q.mayHaveRun = q.mayHaveRun || !result.NotSent && !result.NotRun
	if q.class.Upload != nil && trace.UnsentBody != nil {
		q.bufferedBody = trace.UnsentBody
	}
	if q.class.Upload != nil && trace.BodyBytesRead > 0 && q.bufferedBody == nil {
		q.backend.Engine.Commit(start.Attempt)
	}
	q.reportResult(start, trace, result)
}

// reportResult passes the result of an attempt to metrics, log and dispatcher. A
// draining announcement and a load report in the response are passed on before
// the result, so that the dispatcher starts no further attempt at a draining
// target.
func (q *request) reportResult(start dispatch.Start, trace *target.Trace, result attempt.Result) {
	q.metrics.results[result.Kind].Inc()
	if result.Kind == attempt.Answered {
		q.metrics.attemptTimes.add(time.Since(q.attemptStart))
	}
	q.logAttempt(start, trace, result)
	if trace.Draining {
		q.backend.Engine.LoadReport(dispatch.LoadReport{Target: start.Target, Draining: true, FromResponse: true})
	}
	if load := trace.Load; load != nil {
		q.backend.Engine.LoadReport(dispatch.LoadReport{Target: start.Target, InFlight: load.InFlight, Slots: load.Slots})
	}
	if trace.RateLimit.Heard {
		q.metrics.countRateStatement(trace.RateLimit)
		q.backend.Engine.ReportLimit(start.Attempt, trace.RateLimit, q.attemptStart)
	}
	q.server.byteCount.Add(uint64(trace.BytesWritten + trace.ResponseBytes))
	q.metrics.countLeaving(start.Selection.Leaves, start.Selection.To, trace.BytesWritten+trace.ResponseBytes)
	q.backend.Engine.ReportTraffic(start.Attempt, trace.BytesWritten, trace.ResponseBytes)
	q.backend.Engine.Finish(start.Attempt, result)
}

// handleResponse buffers the response until it is complete, or streams it if it
// exceeds the buffer limit. It returns true if the response was streamed. A rejection is
// never streamed: its status may tell the caller that the request did not run, which is
// known only once the rejection is complete.
func (q *request) handleResponse(start dispatch.Start, trace *target.Trace, response *target.Response) bool {
	q.replaceBuffer()
	ended, err := q.buffer.readUpTo(response, int64(q.class.MaxBufferedAnswerBytes)+1)
	tooLarge := err == nil && !ended
	if tooLarge && !response.Unverifiable && !response.Rejection() {
		q.streamResponse(start, trace, response)
		return true
	}
	result := response.Finish()
	if response.Unverifiable || tooLarge {
		// Without a declared length, truncation can't be detected, and a response
		// that may be truncated is no proof that the request did not run. Neither is
		// a rejection whose end is not awaited because of its size.
		result.Kind, result.NotRun = attempt.BadAnswer, false
	}
	if result.Kind == attempt.Answered || result.Kind == attempt.ServerError || result.NotRun || result.Kind == attempt.Shed {
		q.releaseBuffered()
		q.buffered = &bufferedResponse{attempt: start.Attempt, status: response.Status, header: response.Header, buffer: q.buffer}
	}
	q.finishAttempt(start, trace, result)
	return false
}

// streamResponse forwards a large response while it arrives, starting with the
// bytes that were already buffered. If the response is truncated, the caller's
// connection is aborted.
func (q *request) streamResponse(start dispatch.Start, trace *target.Trace, response *target.Response) {
	q.backend.Engine.Commit(start.Attempt)
	if q.caller != nil {
		// The attempt occupies its slot until the response is forwarded, so the
		// write must not outlast the request deadline.
		q.caller.latestDeadline = q.deadline
	}
	q.copyHeader(response.Header)
	response.NarrowBuffer()
	q.w.WriteHeader(response.Status)
	err := q.buffer.writeTo(q.w)
	q.buffer.release()
	if err == nil {
		err = copyStream(q.w, response.Body)
	}
	q.reportResult(start, trace, response.Finish())
	if err != nil {
		q.aborted = true
		panic(http.ErrAbortHandler)
	}
}

// sendBuffered sends the buffered response of an attempt to the caller.
func (q *request) sendBuffered(id ident.AttemptID) *Problem {
	if q.buffered == nil || q.buffered.attempt != id {
		return unknownOutcomeProblem(http.StatusBadGateway, "internal", "the buffered response of the attempt is missing")
	}
	q.copyHeader(q.buffered.header)
	q.w.WriteHeader(q.buffered.status)
	_ = q.buffered.buffer.writeTo(q.w)
	return nil
}

func (q *request) copyHeader(from http.Header) {
	to := q.w.Header()
	copyHeader(to, from)
	to.Set(q.server.cfg.Dialect.RequestID, q.wireID)
	setHeader(to, q.server.cfg.Dialect.Outcome, OutcomeAnswered)
}

// failureProblem returns the problem for a request whose last attempt failed. For
// a server error it sends the target's response instead.
func (q *request) failureProblem(a dispatch.Fail) *Problem {
	if a.NotRun {
		return unavailableProblem("not_run_"+a.Result.Kind.String(), "no target ran the request", a.Result.RetryAfter)
	}
	switch a.Result.Kind {
	case attempt.ServerError:
		return q.sendBuffered(a.Attempt)
	case attempt.Shed, attempt.Draining:
		return unknownOutcomeProblem(http.StatusBadGateway, a.Result.Kind.String(), "the target rejected the request without stating that it did not run")
	case attempt.TimedOut, attempt.Canceled:
		return unknownOutcomeProblem(http.StatusGatewayTimeout, a.Result.Kind.String(), "no complete response arrived in time; the request may have run")
	default:
		return unknownOutcomeProblem(http.StatusBadGateway, a.Result.Kind.String(), "no complete response arrived; the request may have run")
	}
}
