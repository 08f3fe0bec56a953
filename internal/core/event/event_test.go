package event

import (
	"testing"
	"time"
)

var start = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// TestClockOrdersCauses guards against an event that is ordered before its cause when
// the clocks of the two hosts differ.
func TestClockOrdersCauses(t *testing.T) {
	var ahead, behind Clock
	cause := ahead.Now(start.Add(20 * time.Second))
	behind.Observe(start, cause)
	effect := behind.Now(start)
	if !cause.Before(effect) {
		t.Fatalf("effect %s is not after its cause %s", effect, cause)
	}
	if next := behind.Now(start.Add(-time.Second)); !effect.Before(next) {
		t.Fatalf("%s is not after %s although the wall clock went back", next, effect)
	}
}

// TestClockRefusesFarFuture guards against one host with a wrong clock that moves the
// clocks of all others.
func TestClockRefusesFarFuture(t *testing.T) {
	var c Clock
	c.Observe(start, Stamp{WallMicros: start.Add(24 * time.Hour).UnixMicro()})
	if got := c.Now(start); got.WallMicros != start.UnixMicro() {
		t.Fatalf("the clock was moved to %s", got)
	}
}

// TestRingKeepsNewest guards against lost new events and against a wrong order after
// the ring buffer has wrapped around.
func TestRingKeepsNewest(t *testing.T) {
	r := NewRing(3)
	for i := range 5 {
		r.Add(Event{Stamp: Stamp{WallMicros: int64(i)}})
	}
	events := r.Events()
	if len(events) != 3 || events[0].Stamp.WallMicros != 2 || events[2].Stamp.WallMicros != 4 {
		t.Fatalf("kept %v", events)
	}
}
