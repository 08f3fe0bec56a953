package target

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// exchange is one attempt in progress. The goroutine that called Do owns it;
// a streamed body is written by a second goroutine.
type exchange struct {
	t     *Transport
	a     *Attempt
	ctx   context.Context
	start time.Time
	c     *conn
	// stop detaches the exchange from ctx.
	stop func() bool
	// interruptDone is closed when the end of ctx was handled.
	interruptDone chan struct{}
	// bodyCtx ends when a streamed body is no longer wanted.
	bodyCtx  context.Context
	stopBody context.CancelFunc
	// writerDone is closed when the writer of a streamed body has ended.
	writerDone chan struct{}
	firstByte  time.Duration
	responded  bool

	mu      sync.Mutex
	machine outcome.Attempt
	// cause is why this host gave up although ctx has not ended.
	cause error
	// bodyRead tells that the end of the body was read.
	bodyRead bool
	// settled tells that errors of the writer have no effect any more.
	settled       bool
	written       int64
	bodyBytesRead int64
}

func (x *exchange) apply(kind outcome.EventKind) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.machine.Apply(outcome.Event{Kind: kind})
}

// interrupt makes pending I/O on the connection and the body fail.
func (x *exchange) interrupt() {
	x.c.interrupt()
	x.mu.Lock()
	reading := x.a.Body != nil && !x.bodyRead
	x.mu.Unlock()
	if reading && x.a.InterruptBody != nil {
		x.a.InterruptBody()
	}
}

// ctxDone handles the end of ctx.
func (x *exchange) ctxDone() {
	defer close(x.interruptDone)
	x.interrupt()
}

// detach separates the exchange from ctx. It returns false when ctx has ended;
// then the interruption is over, so that none reaches a later request.
func (x *exchange) detach() bool {
	if x.stop() {
		return true
	}
	<-x.interruptDone
	return false
}

// giveUp ends the attempt for a reason on the caller's side.
func (x *exchange) giveUp(cause error) {
	x.mu.Lock()
	settled := x.settled
	if !settled && x.cause == nil {
		x.cause = cause
	}
	x.mu.Unlock()
	if !settled {
		x.interrupt()
	}
}

// fail ends the attempt and closes the connection.
func (x *exchange) fail(err error) attempt.Result {
	kind := x.eventOf(err)
	x.settleWriter(0)
	x.detach()
	silent := kind == outcome.ConnectionFailed || kind == outcome.DeadlineExceeded
	x.t.pool.abandon(x.c, x.c.reused && !x.responded && silent)
	return x.end(outcome.Event{Kind: kind}, err)
}

// eventOf tells what an error means for the attempt.
func (x *exchange) eventOf(err error) outcome.EventKind {
	x.mu.Lock()
	cause := x.cause
	x.mu.Unlock()
	var netErr net.Error
	switch {
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return outcome.DeadlineExceeded
	case x.ctx.Err() != nil, cause != nil, isCallerError(err):
		return outcome.AttemptCanceled
	case errors.Is(err, ErrSilentTimeout):
		return outcome.DeadlineExceeded
	case isBadResponse(err):
		return outcome.ResponseMalformed
	case !x.responded, errors.Is(err, ErrPeerClosed), errors.As(err, &netErr):
		return outcome.ConnectionFailed
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return outcome.ResponseTruncated
	}
	return outcome.ResponseMalformed
}

func isCallerError(err error) bool {
	return errors.Is(err, ErrSlowCaller) || errors.Is(err, ErrCallerBody)
}

func isBadResponse(err error) bool {
	for _, bad := range []error{ErrBadResponse, ErrHeadTooLarge, ErrRequestIDMismatch, ErrResponseTooLong} {
		if errors.Is(err, bad) {
			return true
		}
	}
	return false
}

// end applies the final event and fills in the trace.
func (x *exchange) end(e outcome.Event, err error) attempt.Result {
	x.mu.Lock()
	defer x.mu.Unlock()
	stage := x.machine.Stage()
	if !x.machine.Apply(e) {
		// Canceled is possible at every stage and claims nothing.
		x.machine.Apply(outcome.Event{Kind: outcome.AttemptCanceled})
	}
	if x.stopBody != nil {
		x.stopBody()
	}
	res, _ := x.machine.Result()
	res.FirstByte = x.firstByte
	x.trace(stage, err)
	return res
}

func (x *exchange) trace(stage outcome.Stage, err error) {
	tr := x.a.Trace
	if tr == nil {
		return
	}
	tr.Stage, tr.Err = stage, err
	if x.cause != nil {
		tr.Err = x.cause
	}
	tr.Reused = x.c != nil && x.c.reused
	tr.BytesWritten, tr.BodyBytesRead = x.written, x.bodyBytesRead
}
