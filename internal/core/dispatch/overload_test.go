package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// flow is an open flow of requests of one class with Poisson arrivals.
type flow struct {
	class                                ident.ClassName
	every, service, deadline             time.Duration
	next                                 time.Time
	arrived, completed, refused, evicted int
	waits                                []time.Duration
}

// offer sends flows to 4 targets with 2 slots each for a minute.
func offer(flows ...*flow) {
	type event struct {
		flow *flow
		id   ident.AttemptID
		at   time.Time
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
				r.flow.waits = append(r.flow.waits, now.Sub(r.at))
				running = append(running, event{r.flow, a.Attempt, now.Add(exp(r.flow.service))})
			case Complete:
				requests[a.Request].flow.completed++
			case Refuse:
				r := requests[a.Request]
				r.flow.refused++
				if now.After(r.at) {
					r.flow.evicted++
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
		for _, f := range flows {
			for ; !f.next.After(now); f.next = now.Add(exp(f.every)) {
				f.arrived++
				requests = append(requests, event{flow: f, at: now})
				apply(d.Arrive(now, Request{ID: ident.RequestID(len(requests) - 1), Class: f.class, Deadline: now.Add(f.deadline)}))
			}
		}
		if !d.NextTick(now).After(now) {
			apply(d.Tick(now))
		}
	}
}

func (f *flow) log(t *testing.T) {
	slices.Sort(f.waits)
	t.Logf("%s: %d arrived, %d completed, %d refused, %d of them after waiting, p99 wait %v", f.class, f.arrived, f.completed, f.refused, f.evicted, f.waits[len(f.waits)*99/100])
}

// TestOverload guards against admission that wastes capacity, queues requests
// only to refuse them later, or lets uploads take slots and queue from lookups.
func TestOverload(t *testing.T) {
	twice := &flow{class: "lookup", every: 1250 * time.Microsecond, service: 20 * time.Millisecond, deadline: 200 * time.Millisecond}
	offer(twice)
	twice.log(t)
	if twice.completed < 23_000 || twice.evicted > twice.refused/20 {
		t.Error("at twice the capacity of 24,000, the slots are not used or many requests are refused after waiting")
	}
	lookups := &flow{class: "lookup", every: 6250 * time.Microsecond, service: 20 * time.Millisecond, deadline: 200 * time.Millisecond}
	uploads := &flow{class: "upload", every: 100 * time.Millisecond, service: 2 * time.Second, deadline: 20 * time.Second}
	offer(lookups, uploads)
	lookups.log(t)
	uploads.log(t)
	if lookups.refused > lookups.arrived/100 || uploads.completed < 90 {
		t.Error("lookups are refused although uploads may hold only half of the slots, or uploads get no slots")
	}
}
