package ingress

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
)

// eventRecorder records events as text.
type eventRecorder struct {
	mu   sync.Mutex
	list []string
}

func (l *eventRecorder) Record(kind event.Kind, fields ...event.Field) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, fmt.Sprint(kind, fields))
}

// TestProblemEvents checks that rejected requests and unknown outcomes appear in
// the timeline, and that they are aggregated under overload, so that they do not
// evict all other events.
func TestProblemEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorded := &eventRecorder{}
		events := newProblemEvents(recorded)
		for i := range 1000 {
			events.add(notRunProblem(503, "queue_full", ""), fmt.Sprint("r", i))
		}
		events.add(unknownOutcomeProblem(502, "timed_out", ""), "u")
		time.Sleep(10 * eventInterval)
		events.add(notRunProblem(503, "queue_full", ""), "later")
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
			t.Fatalf("%d counters are retained after the last problem", len(events.pending))
		}
	})
}

// TestEventsKeepNoLongIDs guards against a timeline that keeps the IDs of refused requests, which callers choose up
// to the length of a request head.
func TestEventsKeepNoLongIDs(t *testing.T) {
	recorded := &eventRecorder{}
	newProblemEvents(recorded).add(notRunProblem(503, "queue_full", ""), strings.Repeat("x", 14<<10))
	if length := len(recorded.list[0]); length > 1<<10 {
		t.Errorf("the event has %d bytes", length)
	}
}
