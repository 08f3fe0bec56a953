package app

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// stalledOutput is an output that accepts writes only after it is released.
type stalledOutput struct {
	released chan struct{}
	mu       sync.Mutex
	text     strings.Builder
}

func (o *stalledOutput) Write(p []byte) (int, error) {
	<-o.released
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// TestLoggerDoesNotWaitForOutput guards against an output that is not read and blocks whoever logs,
// and against lines that are dropped without a report.
func TestLoggerDoesNotWaitForOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledOutput{released: make(chan struct{})}
		log, flush, err := NewLogger(out, "info", "host-1")
		if err != nil {
			t.Fatal(err)
		}
		line := strings.Repeat("x", 1000)
		started := time.Now()
		const lines = 2 * logQueueBytes / 1000
		for range lines {
			log.Info(line)
		}
		if waited := time.Since(started); waited > 0 {
			t.Errorf("the logger waited %s for its output", waited)
		}
		close(out.released)
		synctest.Wait()
		log.Info("last")
		flush()
		text := out.text.String()
		if kept := strings.Count(text, line); kept < lines/3 || kept >= lines {
			t.Errorf("%d of %d lines were written, want a full queue", kept, lines)
		}
		if !strings.Contains(text, "lines of the log were dropped") || !strings.Contains(text, "msg=last") {
			t.Error("the report of dropped lines or the line after it is missing")
		}
	})
}

// TestFlushOfStalledOutput guards against a process that can't end because its output is not read.
func TestFlushOfStalledOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalledOutput{released: make(chan struct{})}
		log, flush, err := NewLogger(out, "info", "host-1")
		if err != nil {
			t.Fatal(err)
		}
		log.Info("first")
		started := time.Now()
		flush()
		if waited := time.Since(started); waited != logFlushTimeout {
			t.Errorf("flush took %s, want %s", waited, logFlushTimeout)
		}
		close(out.released)
	})
}
