package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

func benchDispatcher(n int) *Dispatcher {
	cfg := Config{
		Service:       "s",
		ProbeInterval: 2 * time.Second,
		Classes:       []Class{{Name: "lookup", Idempotent: true}, {Name: "upload", Upload: true}},
	}
	for i := range n {
		zone := fmt.Sprintf("z%d", i%4)
		region := fmt.Sprintf("r%d", i%4/2)
		cfg.Targets = append(cfg.Targets, Target{
			ID: ident.TargetID(fmt.Sprintf("t%d", i)), Slots: 2,
			Location: ident.Location{Region: ident.Region(region), Zone: ident.Zone(zone)},
		})
	}
	return New(epoch, cfg, Self{Host: "self", Location: ident.Location{Region: "r0", Zone: "z0"}}, 1)
}

// BenchmarkRequest measures one arrival and the end of an older attempt while
// half of the slots in the zone are occupied.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			d := benchDispatcher(n)
			now := epoch
			busy := ident.AttemptID(max(1, n/4))
			id := ident.RequestID(0)
			arrive := func() {
				id++
				now = now.Add(time.Microsecond)
				d.Arrive(now, Request{ID: id, Class: "lookup", Deadline: now.Add(time.Hour)})
			}
			for range busy {
				arrive()
			}
			b.ReportAllocs()
			for b.Loop() {
				arrive()
				d.Finish(now, d.lastAttemptID-busy, Result{Kind: attempt.Answered})
			}
		})
	}
}

// BenchmarkTick measures one tick per millisecond, including the due probes.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			d := benchDispatcher(n)
			now := epoch
			probes := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				for _, a := range d.Tick(now) {
					if p, ok := a.(Probe); ok {
						probes++
						d.ProbeResult(now, p.Target, true, time.Millisecond)
					}
				}
			}
			b.ReportMetric(float64(probes)/float64(b.N), "probes/op")
		})
	}
}
