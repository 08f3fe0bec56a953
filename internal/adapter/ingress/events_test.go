package ingress

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
)

type eventList struct {
	mu   sync.Mutex
	list []string
}

func (l *eventList) Record(kind event.Kind, fields ...event.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, fmt.Sprint(kind, fields))
}

// TestProblemEvents guards against refusals and unknown outcomes that the
// timeline does not show, and against overload that pushes all other events out
// of it.
func TestProblemEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorded := &eventList{}
		events := newProblemEvents(recorded)
		for i := range 1000 {
			events.note(notRun(503, "queue_full", ""), fmt.Sprint("r", i))
		}
		events.note(unknown(502, "timed_out", ""), "u")
		time.Sleep(10 * eventInterval)
		events.note(notRun(503, "queue_full", ""), "later")
		time.Sleep(10 * eventInterval)
		synctest.Wait()
		want := []string{
			"request_refused[{problem queue_full} {count 1} {request_id r0}]",
			"outcome_unknown[{problem timed_out} {count 1} {request_id u}]",
			"request_refused[{problem queue_full} {count 999} {request_id r1}]",
			"request_refused[{problem queue_full} {count 1} {request_id later}]",
		}
		if !slices.Equal(recorded.list, want) {
			t.Fatalf("events %q", recorded.list)
		}
		if len(events.pending) > 0 {
			t.Fatalf("%d counts are kept although nothing happens", len(events.pending))
		}
	})
}
