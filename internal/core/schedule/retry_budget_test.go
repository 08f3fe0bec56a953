package schedule

import (
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
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

// TestObservationsWithoutRetriesAreNoHistory guards against a host that, after a message without a report on
// retries, never learns what the others used of the budget before it started.
func TestObservationsWithoutRetriesAreNoHistory(t *testing.T) {
	cfg := config(hostZone, hostZone)
	cfg.FleetRetryRatio, cfg.FleetRetryAllowance = 0.2, 10
	f := newFixture(t, cfg)
	f.apply(f.Observe(f.now, "other", Observations{Targets: []Observation{{Target: "t0", Successes: 1}}}))
	used := retry.Report{}
	used.Fleet[1] = retry.Usage{Retries: 10}
	f.apply(f.Observe(f.now, "other", Observations{Retries: used}))
	if left := f.budget.Remaining(f.now); left > 0 {
		t.Errorf("%v retries are left though another host told that all were used", left)
	}
}
