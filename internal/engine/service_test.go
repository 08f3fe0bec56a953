package engine

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

type noop struct{}

func (noop) Probes(ident.ServiceName) bool { return true }
func (noop) Probe(context.Context, ident.ServiceName, ident.TargetID) (bool, time.Duration) {
	return false, 0
}
func (noop) Record(event.Kind, ...event.Field) {}

// newService returns a service with a single one-slot target.
func newService(t *testing.T) *Service {
	cfg := dispatch.Config{
		Service: "s",
		Targets: []dispatch.Target{{ID: "t", Slots: 1, MaxConnections: 1}},
		Classes: []dispatch.Class{{Name: "c", Idempotent: true, Floor: 1, Deadline: time.Minute}},
	}
	s := NewService(cfg, dispatch.Self{Host: "h"}, 1, noop{}, noop{})
	t.Cleanup(s.Close)
	return s
}

func (s *Service) checkIdle(t *testing.T) {
	t.Helper()
	if status, _ := s.Status(); status.InFlight != 0 || status.Waiting != 0 {
		t.Fatalf("%d attempts hold a slot, %d requests wait", status.InFlight, status.Waiting)
	}
	if len(s.calls) != 0 {
		t.Fatalf("%d calls are left", len(s.calls))
	}
}

// TestCancelBeforeStart guards against a leaked slot when the caller disconnects
// between the decision to start an attempt and its execution, including a start for
// a waiting request that follows the end of another one.
func TestCancelBeforeStart(t *testing.T) {
	s := newService(t)
	first, second := s.Arrive(dispatch.Request{ID: 1, Class: "c"}), s.Arrive(dispatch.Request{ID: 2, Class: "c"})
	if len(first.steps) != 1 || len(second.steps) != 0 {
		t.Fatal("want one start and one waiting request")
	}
	first.Cancel()
	if len(second.steps) != 1 {
		t.Fatal("the released slot was not assigned to the waiting request")
	}
	second.Cancel()
	s.checkIdle(t)
}

// TestDecidedStepAfterCancel guards against replacing an outcome by a timeout, or
// never finishing a start, when a step and the end of the context are both pending.
func TestDecidedStepAfterCancel(t *testing.T) {
	s := newService(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range 50 {
		c := s.Arrive(dispatch.Request{ID: ident.RequestID(i + 1), Class: "c"})
		a, err := c.Next(ctx)
		start, ok := a.(dispatch.Start)
		if err != nil || !ok {
			t.Fatalf("%v, %v", a, err)
		}
		s.Finish(start.Attempt, dispatch.Result{Kind: attempt.Answered})
		if a, err := c.Next(ctx); err != nil {
			t.Fatalf("%v, %v", a, err)
		}
	}
	s.checkIdle(t)
}

// TestConcurrentCancels guards against leaking a slot or a call when callers
// disconnect at arbitrary moments.
func TestConcurrentCancels(t *testing.T) {
	s := newService(t)
	var callers sync.WaitGroup
	for n := range 8 {
		callers.Go(func() {
			for i := range 200 {
				c := s.Arrive(dispatch.Request{ID: ident.RequestID(n*1000 + i + 1), Class: "c"})
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%7)*10*time.Microsecond)
				a, err := c.Next(ctx)
				if err != nil {
					c.Cancel()
				} else if start, ok := a.(dispatch.Start); ok {
					c.Cancel()
					s.Finish(start.Attempt, dispatch.Result{Kind: attempt.Canceled})
				}
				cancel()
			}
		})
	}
	callers.Wait()
	s.checkIdle(t)
}
