package engine

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
)

// panickingDecider panics in its first ticks.
type panickingDecider struct {
	Decider
	panics int
}

func (d *panickingDecider) Tick(now time.Time) []dispatch.Action {
	if d.panics > 0 {
		d.panics--
		panic("unexpected")
	}
	return d.Decider.Tick(now)
}

// eventCounter counts events by kind.
type eventCounter struct {
	mu    sync.Mutex
	count map[event.Kind]int
}

func (c *eventCounter) Record(kind event.Kind, _ ...event.Field) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count[kind]++
}

func (c *eventCounter) kindCount(kind event.Kind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count[kind]
}

// TestTimerContinuesAfterPanic guards against a panic in a timer that terminates
// the process or leaves requests waiting forever.
func TestTimerContinuesAfterPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := &eventCounter{count: map[event.Kind]int{}}
		cfg := dispatch.Config{
			Service: "s",
			Targets: []dispatch.Target{{ID: "t", Slots: 1, MaxConnections: 1}},
			Classes: []dispatch.Class{{Name: "c", Idempotent: true, Deadline: time.Minute}},
		}
		s := NewService(cfg, dispatch.Self{Host: "h"}, 1, noop{}, recorder)
		defer s.Close()
		s.mu.Lock()
		s.decider = &panickingDecider{Decider: s.decider, panics: 2}
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		if n := recorder.kindCount(event.TimerFailed); n != 2 {
			t.Errorf("%d failures of the timer were recorded, want 2", n)
		}
		call := s.Arrive(dispatch.Request{ID: 1, Class: "c"})
		if step, err := call.Next(t.Context()); err != nil {
			t.Errorf("%v, %v after the timer failed", step, err)
		}
		call.Cancel()
	})
}
