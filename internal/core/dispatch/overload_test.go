package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// source generates requests of one class as an open Poisson process.
type source struct {
	class                                   ident.ClassName
	meanInterval, meanServiceTime, deadline time.Duration
	next                                    time.Time
	arrived, completed, refused, evicted    int
	waits                                   []time.Duration
}

// simulate sends the requests of the sources to 4 targets with 2 slots each for
// a minute of simulated time.
func simulate(sources ...*source) {
	// event is a request with its arrival time or a running attempt with its end time.
	type event struct {
		source *source
		id     ident.AttemptID
		at     time.Time
	}
	rng := rand.New(rand.NewPCG(3, 3))
	exp := func(mean time.Duration) time.Duration { return time.Duration(rng.ExpFloat64() * float64(mean)) }
	d := benchDispatcher(16)
	cfg := d.cfg
	cfg.Targets = slices.DeleteFunc(cfg.Targets, func(t Target) bool { return t.Location.Zone != "z0" })
	d.Configure(epoch, cfg)
	var requests []event
	var running []event
	now := epoch
	apply := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Start:
				r := requests[a.Request]
				r.source.waits = append(r.source.waits, now.Sub(r.at))
				running = append(running, event{r.source, a.Attempt, now.Add(exp(r.source.meanServiceTime))})
			case Complete:
				requests[a.Request].source.completed++
			case Refuse:
				r := requests[a.Request]
				r.source.refused++
				if now.After(r.at) {
					r.source.evicted++
				}
			}
		}
	}
	for ; now.Before(epoch.Add(time.Minute)); now = now.Add(100 * time.Microsecond) {
		for _, a := range slices.Clone(running) {
			if !a.at.After(now) {
				running = slices.DeleteFunc(running, func(o event) bool { return o == a })
				apply(d.Finish(now, a.id, Result{Kind: attempt.Answered}))
			}
		}
		for _, s := range sources {
			for ; !s.next.After(now); s.next = now.Add(exp(s.meanInterval)) {
				s.arrived++
				requests = append(requests, event{source: s, at: now})
				apply(d.Arrive(now, Request{ID: ident.RequestID(len(requests) - 1), Class: s.class, Deadline: now.Add(s.deadline)}))
			}
		}
		if !d.NextTick(now).After(now) {
			apply(d.Tick(now))
		}
	}
}

func (s *source) log(t *testing.T) {
	slices.Sort(s.waits)
	t.Logf("%s: %d arrived, %d completed, %d refused, %d of them after waiting, p99 wait %v", s.class, s.arrived, s.completed, s.refused, s.evicted, s.waits[len(s.waits)*99/100])
}

// TestOverload guards against admission control that leaves slots unused under
// overload, evicts many requests after queueing them, or lets uploads displace
// lookups from the slots and the queue.
func TestOverload(t *testing.T) {
	overloaded := &source{class: "lookup", meanInterval: 1250 * time.Microsecond, meanServiceTime: 20 * time.Millisecond, deadline: 200 * time.Millisecond}
	simulate(overloaded)
	overloaded.log(t)
	if overloaded.completed < 23_000 || overloaded.evicted > overloaded.refused/20 {
		t.Error("at twice the capacity of 24,000 requests, slots are unused or many requests are refused after waiting")
	}
	lookups := &source{class: "lookup", meanInterval: 6250 * time.Microsecond, meanServiceTime: 20 * time.Millisecond, deadline: 200 * time.Millisecond}
	uploads := &source{class: "upload", meanInterval: 100 * time.Millisecond, meanServiceTime: 2 * time.Second, deadline: 20 * time.Second}
	simulate(lookups, uploads)
	lookups.log(t)
	uploads.log(t)
	if lookups.refused > lookups.arrived/100 || uploads.completed < 90 {
		t.Error("lookups are refused although uploads may hold only half of the slots, or uploads get no slots")
	}
}
