// Package rescue contains panics: a piece of work that panics ends with a log line and
// a counter, and the process goes on.
package recovery

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// restartPause is the time after which a loop that panicked starts again.
const restartPause = 100 * time.Millisecond

var panics = metrics.NewCounter("sapphirehaven_panics_total")

// Call runs one piece of work and reports whether it ended without a panic, which is
// logged.
func Call(log logrus.FieldLogger, name string, work func()) (ok bool) {
	return CallWithHandler(work, func(cause any, stack []byte) {
		log.WithField("work", name).WithField("panic", cause).WithField("stack", string(stack)).Error("a piece of work panicked")
	})
}

// Contain runs one piece of work and reports whether it ended without a panic, which is
// counted and handed to report.
func CallWithHandler(work func(), report func(cause any, stack []byte)) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			panics.Inc()
			report(cause, debug.Stack())
			ok = false
		}
	}()
	work()
	return true
}

// Loop runs a loop until it returns or ctx ends; after a panic it starts again.
func Loop(ctx context.Context, log logrus.FieldLogger, name string, loop func(context.Context)) {
	for ctx.Err() == nil && !Call(log, name, func() { loop(ctx) }) {
		select {
		case <-time.After(restartPause):
		case <-ctx.Done():
		}
	}
}
