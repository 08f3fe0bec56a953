package schedule

import (
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// TestRequestThatCannotWaitUsesFreeTarget guards against refusing a request because it
// cannot wait for a busy target that is slightly cheaper, while another target has free
// slots: requests got 503 queue_full from a host with three idle targets.
func TestRequestThatCannotWaitUsesFreeTarget(t *testing.T) {
	for _, tt := range []struct {
		name                 string
		queueLength, waiting int
		timeLeft             time.Duration
	}{
		{"the queue is disabled", -1, 0, 20 * time.Second},
		{"the queue is full", 1, 1, 20 * time.Second},
		{"the requests ahead take too long", 64, 30, 500 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			cfg := config(hostZone, otherRegionZone)
			cfg.QueueLength = tt.queueLength
			cfg.Classes[0].Deadline, cfg.Classes[0].Objective = 20*time.Second, 0
			f := newFixture(t, cfg)
			near := f.serveRequest("order", 160*time.Millisecond, answered)
			for range cfg.Targets[0].Slots {
				if at := f.runningTarget(f.arrive("order")); at != near {
					t.Fatalf("an order went to %q before %s had no free slot", at, near)
				}
			}
			for range tt.waiting {
				if at := f.runningTarget(f.arrive("order")); at != "" {
					t.Fatalf("an order that could wait for %s went to %s", near, at)
				}
			}
			f.next++
			f.apply(f.Arrive(f.now, dispatch.Request{ID: f.next, Class: "order", Deadline: f.now.Add(tt.timeLeft)}))
			if f.runningTarget(f.next) == "" {
				t.Errorf("an order ended with %+v although a target had free slots", f.ends[f.next])
			}
		})
	}
}
