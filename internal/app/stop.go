package app

import (
	"context"
	"time"
)

const (
	// stallCheckInterval is the time between two checks for a stall of the process.
	stallCheckInterval = 50 * time.Millisecond
	// stallThreshold is the time between checks from which the process counts as stalled. A shorter delay
	// of the stop is covered by forcedCloseMargin.
	stallThreshold = 200 * time.Millisecond
	// signalDelay is the time after a stall in which a stop that is handled may have been requested before or
	// during the stall. On a host that is short of processor time, the requests that have arrived meanwhile can
	// get it first.
	signalDelay = time.Second
)

// stallWatch keeps the times of the last two checks and the latest stall.
type stallWatch struct {
	last, beforeLast time.Time
	// stalledSince is the time before the latest stall since which a stop may have been requested without
	// being handled, stalledUntil the first check after the stall.
	stalledSince, stalledUntil time.Time
}

func (w *stallWatch) check(now time.Time) {
	if now.Sub(w.last) >= stallThreshold {
		w.stalledSince, w.stalledUntil = w.beforeLast, now
	}
	w.beforeLast, w.last = w.last, now
}

// stopSince returns the earliest time at which a stop that is handled now may have been requested.
func (w *stallWatch) stopSince(now time.Time) time.Time {
	w.check(now)
	if !w.stalledUntil.IsZero() && now.Sub(w.stalledUntil) < signalDelay {
		return w.stalledSince
	}
	return now
}

// awaitStop waits until ctx ends or a server has failed. It returns the earliest time at which the stop may
// have been requested: a process that is suspended or short of processor time handles a signal late, but
// the platform counts the grace period from the signal.
//
// Meanwhile it keeps the gate up to date. The caller opens the gate once the host rejects requests that it
// cannot answer in time.
func awaitStop(ctx context.Context, failed <-chan error, gate *signalGate) (since time.Time, err error) {
	start := time.Now()
	gate.check(start)
	watch := stallWatch{last: start, beforeLast: start}
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return watch.stopSince(time.Now()), nil
		case err := <-failed:
			return time.Now(), err
		case <-ticker.C:
			now := time.Now()
			watch.check(now)
			gate.check(now)
		}
	}
}
