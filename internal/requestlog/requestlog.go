// Package requestlog writes a log line for each decision about a request.
//
// It never blocks a request, and its volume is bounded: lines are queued for a writer
// in a queue of fixed length, and the number of lines per second is limited. Lines
// about requests that failed, were refused or were slow may use the whole budget,
// routine lines only a part of it. Dropped lines are counted and reported.
package requestlog

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// queueLength is the number of lines that can be queued for the writer.
	queueLength = 1024
	// linesPerSecond is the line budget of a host per second, routinePerSecond the part
	// of it that routine lines may use.
	linesPerSecond   = 400
	routinePerSecond = 100
)

// maxTextBytes is the length of a request ID or another text of a line from which on it is cut. Callers choose
// them, up to the length of a request head, and queued lines keep them outside of the memory budget.
const maxTextBytes = 256

// Cut returns a text as it is kept in logs and events: its end is replaced if it is long.
func Cut(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxTextBytes], "") + "..."
}

// Line is a log line. Fields are additional key and value pairs.
type Line struct {
	// Event is the type of the decision.
	Event string
	// Request is the request ID as known to the caller.
	Request string
	Fields  logrus.Fields
	// Routine is set if the request was neither refused nor failed nor slow.
	Routine bool
}

// Log is a rate-limited request log. It is safe for concurrent use. A nil Log discards
// all lines.
type Log struct {
	log               logrus.FieldLogger
	lines             chan Line
	budgetLeft        atomic.Int64
	routineBudgetLeft atomic.Int64
	dropped           atomic.Int64
}

var droppedLines = metrics.NewCounter("sapphirehaven_request_log_lines_dropped_total")

// New returns a log that writes nothing until Run is called.
func New(log logrus.FieldLogger) *Log {
	l := &Log{log: log, lines: make(chan Line, queueLength)}
	l.resetBudget()
	return l
}

func (l *Log) resetBudget() {
	l.budgetLeft.Store(linesPerSecond)
	l.routineBudgetLeft.Store(routinePerSecond)
}

// Write queues a line for the writer, or drops it if the budget or the queue is
// exhausted.
func (l *Log) Write(line Line) {
	if l == nil {
		return
	}
	if (line.Routine && l.routineBudgetLeft.Add(-1) < 0) || l.budgetLeft.Add(-1) < 0 {
		l.drop()
		return
	}
	line.Request = Cut(line.Request)
	for name, value := range line.Fields {
		if text, ok := value.(string); ok {
			line.Fields[name] = Cut(text)
		}
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

// Run writes queued lines until ctx ends, and then those that are still queued.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-ticker.C:
			l.resetBudget()
			if n := l.dropped.Swap(0); n > 0 {
				l.log.WithField("lines", n).Info("lines about requests were left out")
			}
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

// flush writes the lines that are queued.
func (l *Log) flush() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			return
		}
	}
}

func (l *Log) write(line Line) {
	l.log.WithField("event", line.Event).WithField("request_id", line.Request).WithFields(line.Fields).Info("request")
}
