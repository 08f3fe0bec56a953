package engine

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
)

// failingDecider panics at its first ticks.
type failingDecider struct {
	Decider
	left int
}

func (d *failingDecider) Tick(now time.Time) []dispatch.Action {
	if d.left > 0 {
		d.left--
		panic("unexpected")
	}
	return d.Decider.Tick(now)
}

// kinds counts events by their kind.
type kinds struct {
	mu    sync.Mutex
	count map[event.Kind]int
}

func (k *kinds) Record(kind event.Kind, _ ...event.Field) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count[kind]++
}

func (k *kinds) of(kind event.Kind) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.count[kind]
}

// TestTimerGoesOn guards against an unexpected error in a timer that ends the process,
// or after which requests wait for ever.
func TestTimerGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := &kinds{count: map[event.Kind]int{}}
		cfg := dispatch.Config{
			Service: "s",
			Targets: []dispatch.Target{{ID: "t", Slots: 1, MaxConnections: 1}},
			Classes: []dispatch.Class{{Name: "c", Idempotent: true, Deadline: time.Minute}},
		}
		s := NewService(cfg, dispatch.Self{Host: "h"}, 1, nothing{}, recorder)
		defer s.Close()
		s.mu.Lock()
		s.decider = &failingDecider{Decider: s.decider, left: 2}
		s.mu.Unlock()
		time.Sleep(5 * time.Second)
		if n := recorder.of(event.TimerFailed); n != 2 {
			t.Errorf("%d failures of the timer are on record, want 2", n)
		}
		call := s.Arrive(dispatch.Request{ID: 1, Class: "c"})
		if step, err := call.Next(t.Context()); err != nil {
			t.Errorf("%v, %v after the timer failed", step, err)
		}
		call.Cancel()
	})
}
