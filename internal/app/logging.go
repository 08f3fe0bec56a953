package app

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes each entry as one line of key=value pairs, and a function that
// writes the queued lines before the process ends. A slow or failing output neither blocks nor ends the
// process: lines that do not fit into the queue are dropped, counted and reported.
func NewLogger(out io.Writer, level, host string) (entry *logrus.Entry, flush func(), err error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	queue := newLogQueue(out)
	log := logrus.New()
	log.SetOutput(queue)
	log.SetLevel(parsed)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000000Z07:00"})
	entry = log.WithField("host", host)
	go queue.run(func(dropped int) {
		entry.WithField("lines", dropped).Warn("lines of the log were dropped because the output was not read")
	})
	return entry, queue.flush, nil
}

const (
	// logQueueBytes bounds the lines that wait to be written, about a second at the highest rate of
	// lines about requests.
	logQueueBytes = 256 << 10
	// logFlushTimeout limits the wait for the output when the process ends.
	logFlushTimeout = 100 * time.Millisecond
)

var (
	droppedLogLines = metrics.NewCounter("sapphirehaven_log_lines_dropped_total")
	logWriteErrors  = metrics.NewCounter("sapphirehaven_log_write_errors_total")
)

// logQueue is a writer that never waits for its output. It is safe for concurrent use.
type logQueue struct {
	out io.Writer
	// queued receives a value when there are lines to write. It is closed by flush.
	queued  chan struct{}
	written chan struct{}

	mu      sync.Mutex
	closed  bool
	pending []byte
	dropped int
}

func newLogQueue(out io.Writer) *logQueue {
	return &logQueue{out: out, queued: make(chan struct{}, 1), written: make(chan struct{})}
}

// Write queues a line, or drops it if the queue is full.
func (q *logQueue) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.pending)+len(line) > logQueueBytes {
		q.dropped++
		droppedLogLines.Inc()
		return len(line), nil
	}
	q.pending = append(q.pending, line...)
	select {
	case q.queued <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes queued lines until flush is called, and reports dropped lines once the output accepts
// lines again.
func (q *logQueue) run(reportDropped func(lines int)) {
	defer close(q.written)
	var batch []byte
	for range q.queued {
		var dropped int
		batch, dropped = q.take(batch)
		// An error can't be logged, because it concerns the log.
		if _, err := q.out.Write(batch); err != nil {
			logWriteErrors.Inc()
		} else if dropped > 0 {
			reportDropped(dropped)
		}
	}
	batch, _ = q.take(batch)
	if _, err := q.out.Write(batch); err != nil {
		logWriteErrors.Inc()
	}
}

// take returns the queued lines and the number of dropped ones. The queue then uses the given buffer.
func (q *logQueue) take(buffer []byte) (batch []byte, dropped int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch, dropped = q.pending, q.dropped
	q.pending, q.dropped = buffer[:0], 0
	return batch, dropped
}

// flush writes the queued lines and ends the queue. It gives up after logFlushTimeout.
func (q *logQueue) flush() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.queued)
	}
	q.mu.Unlock()
	select {
	case <-q.written:
	case <-time.After(logFlushTimeout):
	}
}
