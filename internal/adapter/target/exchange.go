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

// exchange is one attempt in progress. It is owned by the goroutine that called
// Do; a second goroutine writes a streamed body.
type exchange struct {
	t     *Transport
	a     *Attempt
	ctx   context.Context
	start time.Time
	c     *conn
	// stopContextWatch is the stop function of context.AfterFunc.
	stopContextWatch func() bool
	// interruptDone is closed when onContextDone has returned.
	interruptDone chan struct{}
	// bodyCtx is canceled when a streamed body is no longer needed.
	bodyCtx    context.Context
	cancelBody context.CancelFunc
	// writerDone is closed when the writer of a streamed body has returned.
	writerDone chan struct{}
	// writesOn is set if the body is written on after the end of the attempt.
	writesOn  bool
	firstByte time.Duration
	responded bool
	// responseBytes counts the bytes of the response's body that were read.
	responseBytes int64

	mu    sync.Mutex
	state outcome.Attempt
	// cause is the reason for which this host aborted the attempt before ctx was
	// done.
	cause error
	// bodyRead reports whether the body was read to its end.
	bodyRead bool
	// writerStopping reports that the writer is being stopped, so that its errors
	// are ignored.
	writerStopping bool
	// bodyWritten is set once the whole body was written, also after the end of the attempt.
	bodyWritten bool
	// writeFailed is set if the connection failed while the request was written.
	writeFailed  bool
	bytesWritten int64
	// wholeBody is a body that was read before the first byte was to be written.
	wholeBody     []byte
	bodyBytesRead int64
}

func (x *exchange) apply(kind outcome.EventKind) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.state.Apply(outcome.Event{Kind: kind})
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

// onContextDone interrupts the exchange when ctx is done.
func (x *exchange) onContextDone() {
	defer close(x.interruptDone)
	x.interrupt()
}

// stopWatchingContext stops the interruption by ctx. If ctx is already done, it
// waits for the interruption to complete, so that it cannot affect a later request
// on the connection, and returns false.
func (x *exchange) stopWatchingContext() bool {
	if x.stopContextWatch() {
		return true
	}
	<-x.interruptDone
	return false
}

// abort ends the attempt for a reason on the caller's side.
func (x *exchange) abort(cause error) {
	x.mu.Lock()
	writerStopping := x.writerStopping
	if !writerStopping && x.cause == nil {
		x.cause = cause
	}
	x.mu.Unlock()
	if !writerStopping {
		x.interrupt()
	}
}

// fail ends the attempt and closes the connection.
func (x *exchange) fail(err error) attempt.Result {
	kind := x.failureEvent(err)
	x.stopWriter(0)
	contextLive := x.stopWatchingContext()
	if kind == outcome.AttemptWithdrawn && contextLive {
		x.t.pool.putUnused(x.c, time.Now())
		return x.end(outcome.Event{Kind: kind}, err)
	}
	x.t.pool.discardUnsent(x.c)
	lostOrTimedOut := kind == outcome.ConnectionFailed || kind == outcome.DeadlineExceeded
	x.t.pool.closeInUse(x.c, x.c.reused && !x.responded && lostOrTimedOut)
	return x.end(outcome.Event{Kind: kind}, err)
}

// failureEvent maps an error to the event that ends the attempt.
func (x *exchange) failureEvent(err error) outcome.EventKind {
	x.mu.Lock()
	cause := x.cause
	x.mu.Unlock()
	var netErr net.Error
	switch {
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		return outcome.DeadlineExceeded
	case x.ctx.Err() != nil, cause != nil, isCallerError(err):
		return outcome.AttemptCanceled
	case errors.Is(err, ErrWithdrawn):
		return outcome.AttemptWithdrawn
	case errors.Is(err, ErrFirstByteTimeout):
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

// end applies the final event, fills in the trace and returns the result.
func (x *exchange) end(e outcome.Event, err error) attempt.Result {
	x.mu.Lock()
	defer x.mu.Unlock()
	stage := x.state.Stage()
	if !x.state.Apply(e) {
		// AttemptCanceled is valid at every stage and implies nothing about the target.
		x.state.Apply(outcome.Event{Kind: outcome.AttemptCanceled})
	}
	if x.cancelBody != nil && !x.writesOn {
		x.cancelBody()
	}
	if !x.writesOn {
		x.releaseBodyAfterWriter()
	}
	res, _ := x.state.Result()
	res.FirstByte = x.firstByte
	x.fillTrace(stage, err)
	return res
}

func (x *exchange) fillTrace(stage outcome.Stage, err error) {
	tr := x.a.Trace
	if tr == nil {
		return
	}
	tr.Stage, tr.Err = stage, err
	if x.cause != nil {
		tr.Err = x.cause
	}
	tr.Reused = x.c != nil && x.c.reused
	tr.BytesWritten, tr.BodyBytesRead, tr.ResponseBytes = x.bytesWritten, x.bodyBytesRead, x.responseBytes
	if !x.state.Sent() {
		tr.UnsentBody = x.wholeBody
	}
}
