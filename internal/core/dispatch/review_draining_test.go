package dispatch

import (
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

func newTwoTargets() *Dispatcher {
	cfg := Config{
		Service:       "s",
		Targets:       []Target{{ID: "t0", Slots: 4, MaxConnections: 4}, {ID: "t1", Slots: 4, MaxConnections: 4}},
		Classes:       []Class{{Name: "c", Idempotent: true, Deadline: time.Minute}},
		ProbeInterval: time.Second,
	}
	return New(epoch, cfg, Self{Host: "h"}, 1)
}

// TestStaleReportAfterHeader guards against new work for a leaving target that
// announces it in the header of its answers while its load endpoint is stale.
func TestStaleReportAfterHeader(t *testing.T) {
	d := newTwoTargets()
	now := epoch
	header := LoadReport{Target: "t0", Draining: true, FromResponse: true}
	d.LoadReport(now, header)
	sent := 0
	for i := range 80 {
		now = now.Add(100 * time.Millisecond)
		if i%10 == 0 {
			d.LoadReport(now, LoadReport{Target: "t0", Slots: 4})
		}
		for _, a := range d.Arrive(now, Request{ID: ident.RequestID(i + 1), Class: "c", Deadline: now.Add(time.Second)}) {
			s, ok := a.(Start)
			if !ok {
				continue
			}
			if s.Target == "t0" {
				sent++
				d.LoadReport(now, header)
			}
			d.Finish(now, s.Attempt, Result{Kind: attempt.Answered})
		}
	}
	if sent > 0 {
		t.Fatalf("%d new attempts at a target that announced draining in the 8 s before", sent)
	}
}
