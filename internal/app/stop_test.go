package app

import (
	"testing"
	"time"
)

// TestStopSince guards against a stalled host that measures its grace period from when it handles the signal,
// also if a check runs between the stall and the signal, and against one that gives up a part of the grace
// period without a stall.
func TestStopSince(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name               string
		checks             []int
		handled, wantSince int
	}{
		{"no stall", []int{50, 100, 150}, 199, 199},
		{"late checks", []int{50, 130, 210}, 300, 300},
		{"stall until the signal", []int{50, 100}, 4100, 50},
		{"check after the stall", []int{50, 100, 4100}, 4110, 50},
		{"checks after the stall", []int{50, 100, 4100, 4150, 4200, 4250}, 4290, 50},
		{"stall long before the signal", []int{50, 4050, 4200, 4350, 4500, 4650, 4800, 4950, 5050}, 5060, 5060},
	} {
		t.Run(c.name, func(t *testing.T) {
			watch := stallWatch{last: start, beforeLast: start}
			for _, ms := range c.checks {
				watch.check(at(ms))
			}
			if got := watch.stopSince(at(c.handled)); !got.Equal(at(c.wantSince)) {
				t.Errorf("since %s, want %d ms", got.Sub(start), c.wantSince)
			}
		})
	}
}
