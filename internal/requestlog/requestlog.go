// Package requestlog writes one line for each decision that touches a request.
//
// It never blocks a request and bounds its volume: lines wait in a queue of fixed
// length for a writer, and each second has a budget. Requests that failed, were
// refused or took long may use the whole budget, routine ones only a part of it.
// What is left out is counted and reported.
package requestlog

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// queueLength is the number of lines that may wait for the writer.
	queueLength = 1024
	// linesPerSecond is the budget of a host, routinePerSecond the part of it that
	// routine lines may use.
	linesPerSecond   = 400
	routinePerSecond = 100
)

// Line is one line. Fields are key and value pairs in the order in which they
// are written.
type Line struct {
	// Event says what was decided.
	Event string
	// Request is the ID by which the caller knows the request.
	Request string
	Fields  logrus.Fields
	// Routine tells that nothing went wrong.
	Routine bool
}

// Log is safe for concurrent use. A nil Log writes nothing.
type Log struct {
	log     logrus.FieldLogger
	lines   chan Line
	left    atomic.Int64
	routine atomic.Int64
	dropped atomic.Int64
}

// droppedLines counts what was left out.
var droppedLines = metrics.NewCounter("sapphirehaven_request_log_lines_dropped_total")

// New returns a log that writes nothing until Run.
func New(log logrus.FieldLogger) *Log {
	l := &Log{log: log, lines: make(chan Line, queueLength)}
	l.renew()
	return l
}

func (l *Log) renew() {
	l.left.Store(linesPerSecond)
	l.routine.Store(routinePerSecond)
}

// Write hands a line to the writer or leaves it out.
func (l *Log) Write(line Line) {
	if l == nil {
		return
	}
	if (line.Routine && l.routine.Add(-1) < 0) || l.left.Add(-1) < 0 {
		l.drop()
		return
	}
	select {
	case l.lines <- line:
	default:
		l.drop()
	}
}

func (l *Log) drop() {
	l.dropped.Add(1)
	droppedLines.Inc()
}

// Run writes lines until ctx ends.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-ticker.C:
			l.renew()
			if n := l.dropped.Swap(0); n > 0 {
				l.log.WithField("lines", n).Info("lines about requests were left out")
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l *Log) write(line Line) {
	l.log.WithField("event", line.Event).WithField("request_id", line.Request).WithFields(line.Fields).Info("request")
}
