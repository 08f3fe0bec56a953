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
)

// stallWatch keeps the times of the last two checks. The signal to stop may be handled shortly after the
// first check that follows a stall, so that the last check alone would hide the stall.
type stallWatch struct {
	last, beforeLast time.Time
}

func (w *stallWatch) check(now time.Time) { w.beforeLast, w.last = w.last, now }

// stopSince returns the earliest time at which a stop that is handled now may have been requested.
func (w *stallWatch) stopSince(now time.Time) time.Time {
	if now.Sub(w.beforeLast) < stallThreshold {
		return now
	}
	return w.beforeLast
}

// awaitStop waits until ctx ends or a server has failed. It returns the earliest time at which the stop may
// have been requested: a process that is suspended or short of processor time handles a signal late, but
// the platform counts the grace period from the signal.
func awaitStop(ctx context.Context, failed <-chan error) (since time.Time, err error) {
	start := time.Now()
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
			watch.check(time.Now())
		}
	}
}
