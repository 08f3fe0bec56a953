package dispatch

import (
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// TestDrainedTargetReturns guards against two failures on a host that reads no
// load reports: a target that never returns to rotation after it refused one
// attempt as draining, and requests to a target that is still draining.
func TestDrainedTargetReturns(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		for _, drains := range []bool{true, false} {
			starts := startsAfterDraining(idempotent, drains)
			if drains && starts["t0"] != 1 || !drains && starts["t0"] < 2 {
				t.Errorf("idempotent %t: t0 refused 1 attempt as draining, still drains %t, and got %d attempts in 10 min; t1 got %d", idempotent, drains, starts["t0"], starts["t1"])
			}
		}
	}
}

// startsAfterDraining counts the attempts per target in 10 min. Target t0 refuses
// its first attempt as draining. If drains is true, its probes fail from then on.
func startsAfterDraining(idempotent, drains bool) map[ident.TargetID]int {
	cfg := Config{
		Service:       "s",
		Targets:       []Target{{ID: "t0", Slots: 4, MaxConnections: 4}, {ID: "t1", Slots: 4, MaxConnections: 4}},
		Classes:       []Class{{Name: "c", Idempotent: idempotent, Deadline: time.Minute}},
		ProbeInterval: time.Second,
	}
	d := New(epoch, cfg, Self{Host: "h"}, 1)
	now := epoch
	refuse := true
	starts := map[ident.TargetID]int{}
	for i := range 6000 {
		now = now.Add(100 * time.Millisecond)
		actions := d.Tick(now)
		actions = append(actions, d.Arrive(now, Request{ID: ident.RequestID(i + 1), Class: "c", Deadline: now.Add(10 * time.Second)})...)
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			switch a := a.(type) {
			case Probe:
				ok := a.Target != "t0" || refuse || !drains
				actions = append(actions, d.ProbeResult(now, a.Target, ok, time.Millisecond)...)
			case Start:
				starts[a.Target]++
				res := Result{Kind: attempt.Answered}
				if a.Target == "t0" && refuse {
					res = Result{Kind: attempt.Draining, NotRun: true}
					refuse = false
				}
				actions = append(actions, d.Finish(now, a.Attempt, res)...)
			}
		}
	}
	return starts
}
