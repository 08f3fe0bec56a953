// Package recovery recovers panics: a function that panics is logged and counted, and
// the process continues.
package recovery

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// restartDelay is the delay before a loop that panicked is restarted.
const restartDelay = 100 * time.Millisecond

var panics = metrics.NewCounter("sapphirehaven_panics_total")

// Call runs work and reports whether it returned without a panic. A panic is logged.
func Call(log logrus.FieldLogger, name string, work func()) (ok bool) {
	return CallWithHandler(work, func(cause any, stack []byte) {
		log.WithField("work", name).WithField("panic", cause).WithField("stack", string(stack)).Error("recovered from a panic")
	})
}

// CallWithHandler runs work and reports whether it returned without a panic. A panic is
// counted and passed to report.
func CallWithHandler(work func(), report func(cause any, stack []byte)) (ok bool) {
	defer func() {
		if cause := recover(); cause != nil {
			Count()
			report(cause, debug.Stack())
			ok = false
		}
	}()
	work()
	return true
}

// Count counts a panic that its caller has recovered.
func Count() { panics.Inc() }

// Loop runs loop until it returns without a panic or ctx ends. After a panic it is
// restarted.
func Loop(ctx context.Context, log logrus.FieldLogger, name string, loop func(context.Context)) {
	for ctx.Err() == nil && !Call(log, name, func() { loop(ctx) }) {
		select {
		case <-time.After(restartDelay):
		case <-ctx.Done():
		}
	}
}
