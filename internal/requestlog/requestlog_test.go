package requestlog

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"
	"unicode/utf8"

	"github.com/sirupsen/logrus"
)

// TestFailedRequestsHavePriority guards against a log that drops the lines of failed
// requests in favor of routine ones, and against one that does not report how many
// lines it dropped.
func TestFailedRequestsHavePriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := logrus.New()
		log.SetOutput(&out)
		l := New(log)
		ctx, cancel := context.WithCancel(t.Context())
		go l.Run(ctx)
		for range 1000 {
			l.Write(Line{Event: "attempt", Request: "routine", Routine: true})
			synctest.Wait()
		}
		for range 200 {
			l.Write(Line{Event: "attempt", Request: "failed"})
			synctest.Wait()
		}
		time.Sleep(1100 * time.Millisecond)
		l.Write(Line{Event: "attempt", Request: "next second", Routine: true})
		synctest.Wait()
		cancel()
		synctest.Wait()
		text := out.String()
		if routine := strings.Count(text, "request_id=routine"); routine != routinePerSecond {
			t.Errorf("%d routine lines in a second, want %d", routine, routinePerSecond)
		}
		if failed := strings.Count(text, "request_id=failed"); failed != 200 {
			t.Errorf("%d of 200 lines of failed requests", failed)
		}
		if !strings.Contains(text, "lines=900") || !strings.Contains(text, "next second") {
			t.Errorf("want the number of dropped lines, and lines in the next second: %.200s", text[len(text)-200:])
		}
	})
}

// TestWriteNeverBlocks guards against requests that wait for a slow log. No writer
// consumes the lines in this test.
func TestWriteNeverBlocks(t *testing.T) {
	l := New(logrus.New())
	for range 10 * queueLength {
		l.resetBudget()
		l.Write(Line{})
	}
	if l.dropped.Load() != 9*queueLength {
		t.Errorf("%d lines dropped", l.dropped.Load())
	}
	var none *Log
	none.Write(Line{})
}

// TestLongTextsAreCut guards against queued lines that keep request IDs and other texts that callers choose, up to
// the length of a request head.
func TestLongTextsAreCut(t *testing.T) {
	l := New(logrus.New())
	long := strings.Repeat("\u00e9", 8<<10)
	l.Write(Line{Event: "problem", Request: long, Fields: logrus.Fields{"detail": long, "count": 1}})
	line := <-l.lines
	for _, text := range []string{line.Request, line.Fields["detail"].(string)} {
		if len(text) > 1<<10 || !utf8.ValidString(text) || !strings.HasPrefix(text, long[:200]) {
			t.Errorf("%d bytes: %.20q", len(text), text)
		}
	}
	if line.Fields["count"] != 1 {
		t.Errorf("fields %v", line.Fields)
	}
}
