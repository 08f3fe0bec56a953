package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// TestFewHostsTestDueTargetFirst guards against hosts that all send a request to a
// failing target as soon as it is due, before they have learned of each other's: with 8
// hosts nearly half of the requests for the floor followed another one to the same target
// within 0.1 s, and other targets received none. All hosts must act before the target
// counts as healthy.
func TestFewHostsTestDueTargetFirst(t *testing.T) {
	const hosts = 200
	due := func(sinceFailure time.Duration) int {
		n := 0
		for host := range hosts {
			failed := &target{affinity: affinity(ident.HostID(fmt.Sprint("h", host)), "t0"), failedAt: epoch, lastUsed: epoch.Add(-time.Second)}
			if failed.dueForFloor(epoch.Add(sinceFailure)) {
				n++
			}
		}
		return n
	}
	if n := due(dueAfter + dueJitter/4); n == 0 || n > hosts/10 {
		t.Errorf("the target is due on %d of %d hosts after a quarter of the jitter, want 1 to %d", n, hosts, hosts/10)
	}
	if n := due(healthyAfter - 50*time.Millisecond); n < hosts {
		t.Errorf("the target is due on %d of %d hosts before it counts as healthy", n, hosts)
	}
}

// TestActiveFloorCoversAllTargets guards against an active floor that leaves out the last
// fifth of the targets: if only a few targets count, these may be among them.
func TestActiveFloorCoversAllTargets(t *testing.T) {
	cfg := config(hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone, hostZone)
	f := newFixture(t, cfg)
	f.advance(10 * time.Second)
	used := map[ident.TargetID]bool{}
	for range 20 {
		f.Observe(f.now, "other", Observations{Ended: 100, Unserved: 20})
		used[f.serveRequest("order", 50*time.Millisecond, answered)] = true
	}
	if len(used) < len(cfg.Targets) {
		t.Errorf("%d of %d targets were used in a second while a fifth of the requests failed", len(used), len(cfg.Targets))
	}
}
