package ingress

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/httpserver"
	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

const (
	// bodyStallTimeout is the longest time for which a caller may send nothing of a body. It is longer than
	// the connection of a caller is interrupted by a change of its network.
	bodyStallTimeout = 10 * time.Second
	// evictionWait is the longest time for which a body waits for the room of evicted ones, whose handlers
	// have to run to release it.
	evictionWait = 500 * time.Millisecond
	// releaseWait is the longest time for which it waits for a single release.
	releaseWait = 20 * time.Millisecond
	// memoryRetryAfter is the time after which a refused caller should retry: by then, bodies that make no
	// progress can be evicted for its own.
	memoryRetryAfter = time.Second
)

// Reasons for which the read of a body ends early, besides those of the connection.
var (
	errMemoryFull = errors.New("the memory for request bodies is in use")
	errBodyStall  = errors.New("the request body made no progress")
)

// bodyRead ends the read of a request body before its end: when the request may no longer be passed on,
// or when the budget needs the memory.
type bodyRead struct {
	q *request

	mu sync.Mutex
	// ended is set after the read, cause if it was ended early.
	ended bool
	cause error
	// deadline is the current read deadline.
	deadline time.Time
}

// interrupt ends the read with the given cause.
func (b *bodyRead) interrupt(cause error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended && b.cause == nil {
		b.cause = cause
		b.q.setReadDeadline(time.Now())
	}
}

// evict is called by the memory budget.
func (b *bodyRead) evict(reason membudget.Reason) {
	if reason == membudget.Stalled {
		b.interrupt(errBodyStall)
	} else {
		b.interrupt(errMemoryFull)
	}
}

// renewDeadline extends the read deadline to the stall timeout from now, but not beyond that of the
// request. It is renewed only if that extends it by a part of the timeout, since it resets a timer.
func (b *bodyRead) renewDeadline(now time.Time) {
	deadline := now.Add(bodyStallTimeout)
	if b.q.deadline.Before(deadline) {
		deadline = b.q.deadline
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cause == nil && (b.deadline.IsZero() || deadline.Sub(b.deadline) >= bodyStallTimeout/renewalFraction) {
		b.deadline = deadline
		b.q.setReadDeadline(deadline)
	}
}

// end returns the cause if the read was interrupted. A later interrupt has no effect on the connection.
func (b *bodyRead) end() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	return b.cause
}

// readWholeBody reads the request body. The error is errStopping if the read was ended because the host is
// stopping and the request may no longer be passed on, and errMemoryFull or errBodyStall if it was ended
// because of the memory.
func (q *request) readWholeBody() (*bodyBuffer, error) {
	read := &bodyRead{q: q}
	buffer := &bodyBuffer{pool: &q.server.segments}
	if q.caller != nil {
		account, decision := q.server.memory.OpenBody(httpserver.ClientAddress(q.r.RemoteAddr), q.r.ContentLength, time.Now(), read.evict)
		if decision != membudget.Granted {
			return nil, errMemoryFull
		}
		buffer.account = account
	}
	// The buffer is released when the request ends, also if the read fails or panics.
	q.body = buffer
	if !q.ticketed() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		stop := q.afterLatestStart(ctx, func() { read.interrupt(errStopping) })
		defer stop()
	}
	err := q.fillBuffer(buffer, read)
	if buffer.account != nil && !buffer.account.Complete() && err == nil {
		err = errMemoryFull
	}
	if cause := read.end(); cause != nil && err != nil {
		err = cause
	}
	return buffer, err
}

// fillBuffer reads the body until its end.
func (q *request) fillBuffer(buffer *bodyBuffer, read *bodyRead) error {
	body := q.limitedBody()
	for {
		if len(buffer.space()) == 0 {
			if err := q.growBuffer(buffer); err != nil {
				return err
			}
		}
		read.renewDeadline(time.Now())
		n, err := body.Read(buffer.space())
		buffer.added(n)
		if buffer.account != nil && n > 0 {
			buffer.account.Received(n, time.Now())
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// growBuffer adds a segment for the next bytes, whose room is reserved first.
func (q *request) growBuffer(buffer *bodyBuffer) error {
	remaining := int64(-1)
	if q.r.ContentLength >= 0 {
		remaining = q.r.ContentLength - buffer.length
	}
	size := buffer.nextSegment(remaining)
	if buffer.account == nil {
		buffer.addSegment(size)
		return nil
	}
	for end := time.Now().Add(evictionWait); ; {
		switch now := time.Now(); buffer.account.Grow(size, now) {
		case membudget.Granted:
			buffer.addSegment(size)
			return nil
		case membudget.Wait:
			if !now.Before(end) {
				return errMemoryFull
			}
			// A release between the two calls is seen after the longest wait for one.
			awaitRelease(q.server.memory.Released(), min(end.Sub(now), releaseWait))
		default:
			return errMemoryFull
		}
	}
}

// awaitRelease waits until a channel is closed or the time has passed.
func awaitRelease(closed <-chan struct{}, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	}
}

// memoryFullProblem is the refusal of a request whose body found no room.
func (q *request) memoryFullProblem() *Problem {
	return unavailableProblem("memory_full", fmt.Sprintf("the memory for request bodies is in use: %d of %d bytes", q.server.memory.Used(), q.server.memory.Size()), memoryRetryAfter)
}

// bodyTimeoutProblem is the refusal of a request whose body did not arrive in time.
func bodyTimeoutProblem(detail string) *Problem {
	return notRunProblem(http.StatusRequestTimeout, "body_timeout", detail)
}
