package engine

import (
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// TestReopenRestartsTimer guards against a reopened service without ticks: only a tick ends
// the wait of a request whose deadline has passed.
func TestReopenRestartsTimer(t *testing.T) {
	cfg := dispatch.Config{
		Service:      "s",
		Targets:      []dispatch.Target{{ID: "t", Slots: 1, MaxConnections: 1}},
		Classes:      []dispatch.Class{{Name: "c", Deadline: time.Minute}},
		SelectByCost: true,
	}
	s := NewService(cfg, dispatch.Self{Host: "h"}, 1, noop{}, noop{})
	defer s.Close()
	s.Close()
	s.Reopen(cfg)
	s.Arrive(dispatch.Request{ID: 1, Class: "c"})
	waiting := s.Arrive(dispatch.Request{ID: 2, Class: "c", Deadline: monotonicNow().Add(100 * time.Millisecond)})
	if a := waiting.Pending(); a != nil {
		t.Fatalf("the request does not wait: %T", a)
	}
	select {
	case <-waiting.steps:
	case <-time.After(10 * time.Second):
		t.Error("the request still waits after its deadline")
	}
}
