package schedule

import (
	"testing"
	"time"
)

// TestRetriesOfReplacedHostCount guards against a host that takes over from another and retries as if that one had
// made no retries.
func TestRetriesOfReplacedHostCount(t *testing.T) {
	cfg := config(hostZone, hostZone, hostZone, hostZone)
	cfg.FleetRetryRatio, cfg.FleetRetryAllowance = cfg.RetryRatio, cfg.RetryAllowance
	before := newFixture(t, cfg)
	for range 200 {
		r := before.arrive("lookup")
		before.finish(r, serverError)
		if before.runningTarget(r) != "" {
			before.finish(r, serverError)
		}
		before.advance(10 * time.Millisecond)
	}
	after := newFixture(t, cfg)
	after.advance(before.now.Sub(after.now))
	full := after.budget.Remaining(after.now)
	after.Observe(after.now, "before", before.TakeObservations(before.now))
	if left, want := after.budget.Remaining(after.now), before.budget.Remaining(before.now); left > want+1 || full < 10 {
		t.Errorf("%.1f retries are left after a report, %.1f at the host that made it, %.1f before", left, want, full)
	}
}
