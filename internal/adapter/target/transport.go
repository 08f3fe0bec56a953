package target

import (
	"context"
	"errors"
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
}

// New returns a transport. Check cfg with Validate first.
func New(cfg Config) *Transport {
	t := &Transport{cfg: cfg, pool: newPool(cfg)}
	t.pacer.setRate(cfg.CrossRegionBytesPerSecond)
	return t
}

// Close closes idle connections and refuses new attempts. Attempts in flight
// go on.
func (t *Transport) Close() { t.pool.close() }

// SetCrossRegionRate changes the pace of uploads across regions in bytes per
// second; 0 removes the limit.
func (t *Transport) SetCrossRegionRate(rate int64) { t.pacer.setRate(rate) }

// PoolStats returns counters of the connection pool.
func (t *Transport) PoolStats() PoolStats { return t.pool.snapshot() }

// Traffic returns the bytes across regions of each class, ordered by class.
func (t *Transport) Traffic() []ClassTraffic { return t.traffic.snapshot() }

// Do sends one attempt, once, and returns when the head of the response has
// arrived. ctx bounds the attempt including the response body; its deadline is
// sent to the target. Without a response, the result is final. With one, the
// caller must call Response.Finish, which returns the final result.
func (t *Transport) Do(ctx context.Context, a Attempt) (*Response, attempt.Result) {
	x := &exchange{t: t, a: &a, ctx: ctx, start: time.Now()}
	if err := x.open(); err != nil {
		return nil, x.failOpen(err)
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

// open acquires a connection.
func (x *exchange) open() error {
	if err := x.a.validate(); err != nil {
		return err
	}
	if err := x.ctx.Err(); err != nil {
		return err
	}
	c, err := x.t.pool.take(x.a, x.start)
	if err != nil {
		return err
	}
	if c == nil {
		x.apply(outcome.DialStarted)
		if c, err = x.t.pool.dial(x.ctx, x.a.Address); err != nil {
			return errDial{err}
		}
	}
	if x.a.CrossRegion {
		c.counter = x.t.traffic.counter(x.a.Class)
	}
	x.c = c
	x.apply(outcome.Connected)
	x.interruptDone = make(chan struct{})
	x.stop = context.AfterFunc(x.ctx, x.ctxDone)
	return nil
}

// errDial marks an error of the dial.
type errDial struct{ error }

func (e errDial) Unwrap() error { return e.error }

// failOpen ends an attempt that got no connection.
func (x *exchange) failOpen(err error) attempt.Result {
	kind := outcome.AttemptCanceled
	if errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		kind = outcome.DeadlineExceeded
	} else if errors.As(err, new(errDial)) && x.ctx.Err() == nil {
		kind = outcome.DialFailed
	}
	return x.end(outcome.Event{Kind: kind}, err)
}
