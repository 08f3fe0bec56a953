package app

import (
	"testing"
	"time"
)

// TestSignalGate guards against a host that, after a stall, passes requests on before it has handled a stop that was
// requested meanwhile, and against requests that wait without a stall or after the host knows of the stop.
func TestSignalGate(t *testing.T) {
	var g signalGate
	now := processStart.Add(time.Minute)
	if g.holds(now) {
		t.Error("a gate without checks holds requests back")
	}
	for range 10 {
		g.check(now)
		now = now.Add(stallCheckInterval)
	}
	if g.holds(now) {
		t.Error("requests wait without a stall")
	}
	now = now.Add(4 * time.Second)
	if !g.holds(now) {
		t.Error("no request waits before the first check after a stall")
	}
	g.check(now)
	if !g.holds(now.Add(settleTime - time.Millisecond)) {
		t.Error("no request waits right after the first check after a stall")
	}
	if g.holds(now.Add(settleTime)) {
		t.Error("requests wait after the signals have been handled")
	}
	now = now.Add(4 * time.Second)
	g.open()
	if g.holds(now) {
		t.Error("an open gate holds requests back")
	}
}
