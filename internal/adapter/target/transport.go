package target

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/outcome"
)

// Transport sends attempts to targets. It is safe for concurrent use.
type Transport struct {
	cfg     Config
	pool    *pool
	pacer   pacer
	traffic traffic
	// unfinishedBodies counts the bodies that are written on after their attempt has ended.
	unfinishedBodies atomic.Int64
}

// New returns a Transport. It does not validate cfg; see Config.Validate.
func New(cfg Config) *Transport {
	t := &Transport{cfg: cfg, pool: newPool(cfg)}
	t.pacer.setRate(cfg.CrossRegionBytesPerSecond)
	return t
}

// Close closes idle connections and rejects new attempts. Attempts in progress
// continue.
func (t *Transport) Close() { t.pool.close() }

// SetCrossRegionRate sets the rate limit of uploads to other regions in bytes per
// second; 0 removes the limit.
func (t *Transport) SetCrossRegionRate(rate int64) { t.pacer.setRate(rate) }

// PoolStats returns the counters of the connection pool.
func (t *Transport) PoolStats() PoolStats { return t.pool.snapshot() }

// UnfinishedBodies returns the number of request bodies that are still being written to
// targets that have already answered with success.
func (t *Transport) UnfinishedBodies() int { return int(t.unfinishedBodies.Load()) }

// Traffic returns the cross-region traffic of each class, ordered by class.
func (t *Transport) Traffic() []ClassTraffic { return t.traffic.snapshot() }

// Do sends an attempt at most once and returns when the head of the response has
// arrived. ctx bounds the attempt including the response body; its deadline is
// sent to the target. If the response is nil, the result is final. Otherwise the
// caller must call Response.Finish, which returns the final result.
func (t *Transport) Do(ctx context.Context, a Attempt) (*Response, attempt.Result) {
	if a.ContentLength == 0 {
		a.Body = nil
	}
	x := &exchange{t: t, a: &a, ctx: ctx, start: time.Now()}
	returning := false
	defer func() {
		switch {
		case returning:
		case x.c != nil:
			x.fail(errPanic)
		default:
			x.releaseBodyAfterWriter()
		}
	}()
	response, result := x.do()
	returning = true
	return response, result
}

// errPanic ends an attempt whose goroutine panics.
var errPanic = errors.New("target: panic")

// do implements Transport.Do.
func (x *exchange) do() (*Response, attempt.Result) {
	if err := x.acquireConn(); err != nil {
		return nil, x.failAcquire(err)
	}
	if err := x.send(); err != nil {
		return nil, x.fail(err)
	}
	resp, err := x.receive()
	if err != nil {
		return nil, x.fail(err)
	}
	return resp, attempt.Result{}
}

// acquireConn takes a connection from the pool or dials a new one.
func (x *exchange) acquireConn() error {
	if err := x.a.validate(); err != nil {
		return err
	}
	if err := x.ctx.Err(); err != nil {
		return err
	}
	if err := x.checkMayWrite(); err != nil {
		return err
	}
	c, err := x.t.pool.acquire(x.a, x.start)
	if err != nil {
		return err
	}
	if c == nil {
		x.apply(outcome.DialStarted)
		if c, err = x.t.pool.dial(x.ctx, x.a.Address); err != nil {
			return dialError{err}
		}
	}
	if x.a.CrossRegion {
		c.counter = x.t.traffic.counter(x.a.Class)
	}
	x.c = c
	x.apply(outcome.Connected)
	x.interruptDone = make(chan struct{})
	x.stopContextWatch = context.AfterFunc(x.ctx, x.onContextDone)
	return nil
}

// dialError marks an error as returned by the dial.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// failAcquire ends an attempt that obtained no connection.
func (x *exchange) failAcquire(err error) attempt.Result {
	kind := outcome.AttemptCanceled
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		kind = outcome.DeadlineExceeded
	} else if errors.Is(err, ErrWithdrawn) {
		kind = outcome.AttemptWithdrawn
	} else if errors.As(err, new(dialError)) && x.ctx.Err() == nil {
		kind = outcome.DialFailed
	}
	return x.end(outcome.Event{Kind: kind}, err)
}
