package target

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// A target may answer with success before it has read the whole body of a request, and read
// the rest afterwards. The rest is written then as well, since the request would otherwise
// be cut off although it counts as served.

// writesBody reports whether the body is still being written to a working connection.
func (x *exchange) writesBody() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.writerDone != nil && !x.state.RequestWritten() && !x.writeFailed && !x.writerStopping
}

// completeBeforeRequest ends the attempt with a complete response that arrived before the
// body was written. The body is written on until the deadline of the attempt.
func (r *Response) completeBeforeRequest(reuse bool) {
	x := r.x
	if x.a.ReleaseBody == nil {
		// The body can be read only while the caller's request is served. The context of
		// the attempt interrupts the connection.
		<-x.writerDone
		contextLive := x.stopWatchingContext()
		r.result = x.end(outcome.Event{Kind: outcome.ResponseComplete, Classification: r.classification}, nil)
		x.releaseAfterBody(contextLive && reuse)
		return
	}
	deadline, limited := x.ctx.Deadline()
	contextLive := x.stopWatchingContext()
	if !limited {
		deadline = time.Now().Add(x.t.cfg.EarlyResponseWait)
	}
	if contextLive {
		x.c.setWriteDeadline(deadline)
	}
	x.writesOn = true
	x.t.unfinishedBodies.Add(1)
	r.result = x.end(outcome.Event{Kind: outcome.ResponseComplete, Classification: r.classification}, nil)
	go func() {
		defer x.t.unfinishedBodies.Add(-1)
		<-x.writerDone
		x.cancelBody()
		x.c.setWriteDeadline(time.Time{})
		x.releaseAfterBody(contextLive && reuse)
		x.releaseBody()
	}()
}

// releaseAfterBody returns the connection to the pool if the whole request was written and
// it can carry another one, and closes it otherwise.
func (x *exchange) releaseAfterBody(reuse bool) {
	x.mu.Lock()
	written := x.bodyWritten
	x.mu.Unlock()
	if reuse && written {
		x.t.pool.putIdle(x.c, time.Now())
		return
	}
	if !written {
		x.t.pool.discardUnsent(x.c)
	}
	x.t.pool.closeInUse(x.c, false)
}

// resetWhileWriting reports whether the target reset the connection while the request was
// being written. The write then reports the reset, and a read only the end of the stream, so
// that a response which ends with its connection may be a part of the whole.
func (x *exchange) resetWhileWriting() bool {
	if x.requestWritten() {
		return false
	}
	if x.writerDone != nil {
		x.stopWriter(0)
		x.awaitWriter(x.t.cfg.BodyFlushWait)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.writeFailed
}

// awaitWriter waits until the writer of the body has returned, for a limited time: it may be
// blocked in a read of the body that cannot be interrupted.
func (x *exchange) awaitWriter(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-x.writerDone:
	case <-timer.C:
	}
}

// releaseBodyAfterWriter tells the owner of the body that it is no longer read as soon as
// the writer has returned.
func (x *exchange) releaseBodyAfterWriter() {
	switch {
	case x.a.ReleaseBody == nil:
	case x.writerDone == nil:
		x.a.ReleaseBody()
	default:
		go func() {
			<-x.writerDone
			x.a.ReleaseBody()
		}()
	}
}

// releaseBody tells the owner of the body that it is no longer read.
func (x *exchange) releaseBody() {
	if x.a.ReleaseBody != nil {
		x.a.ReleaseBody()
	}
}
