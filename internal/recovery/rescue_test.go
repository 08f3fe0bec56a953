package recovery

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// TestLoopGoesOn guards against a loop that an unexpected error ends, and with it the
// process or a part of it that nobody misses.
func TestLoopGoesOn(t *testing.T) {
	log, lines := test.NewNullLogger()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	before, runs := panics.Get(), 0
	Loop(ctx, log, "loop", func(context.Context) {
		if runs++; runs < 3 {
			panic("unexpected")
		}
	})
	if runs != 3 || panics.Get()-before != 2 {
		t.Errorf("%d runs and %d panics, want 3 and 2", runs, panics.Get()-before)
	}
	if e := lines.LastEntry(); e == nil || e.Level != logrus.ErrorLevel || e.Data["work"] != "loop" || e.Data["panic"] != "unexpected" {
		t.Errorf("logged %+v", e)
	}
}

// TestLoopEndsWithContext guards against a loop that panics and is started again for
// ever after the end of the process was asked for.
func TestLoopEndsWithContext(t *testing.T) {
	log, _ := test.NewNullLogger()
	ctx, cancel := context.WithCancel(t.Context())
	runs := 0
	Loop(ctx, log, "loop", func(context.Context) {
		runs++
		cancel()
		panic("unexpected")
	})
	if runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}
