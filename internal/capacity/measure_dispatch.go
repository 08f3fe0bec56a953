package capacity

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

var epoch = time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)

// dispatchDriver sends requests to a dispatcher and answers all attempts.
type dispatchDriver struct {
	*dispatch.Dispatcher
	now      time.Time
	next     ident.RequestID
	attempts []ident.AttemptID
}

func (s Size) dispatchConfig(svc *document.Service) dispatch.Config {
	cfg := dispatch.Config{Service: svc.Name, Balance: 0.5, ProbeInterval: 2 * time.Second}
	for i, t := range svc.Targets {
		cfg.Targets = append(cfg.Targets, dispatch.Target{ID: t.Name, Location: s.location(i), Slots: t.Slots, MaxConnections: t.Connections})
	}
	for _, c := range svc.Classes {
		cfg.Classes = append(cfg.Classes, dispatch.Class{Name: c.Name, Idempotent: c.Idempotent, Floor: c.Floor, Deadline: time.Duration(c.Deadline), MaxAttempts: 3})
	}
	return cfg
}

func (s Size) dispatchDriver(cfg dispatch.Config) *dispatchDriver {
	self := dispatch.Self{Host: "host-0000", Location: s.location(0)}
	return &dispatchDriver{Dispatcher: dispatch.New(epoch, cfg, self, 1), now: epoch}
}

func (d *dispatchDriver) arrive() {
	d.next++
	d.now = d.now.Add(time.Microsecond)
	for _, a := range d.Arrive(d.now, dispatch.Request{ID: d.next, Class: "lookup", Deadline: d.now.Add(time.Hour)}) {
		if start, ok := a.(dispatch.Start); ok {
			d.attempts = append(d.attempts, start.Attempt)
		}
	}
}

func (d *dispatchDriver) finishAll() {
	for _, id := range d.attempts {
		d.now = d.now.Add(time.Microsecond)
		d.Finish(d.now, id, dispatch.Result{Kind: attempt.Answered, FirstByte: 20 * time.Millisecond})
	}
	d.attempts = d.attempts[:0]
}

// tick advances an idle service by one second and answers its probes.
func (d *dispatchDriver) tick() {
	d.now = d.now.Add(time.Second)
	for _, a := range d.Tick(d.now) {
		if p, ok := a.(dispatch.Probe); ok {
			d.ProbeResult(d.now, p.Target, true, time.Millisecond)
		}
	}
}

func measureDispatch(cfg Config, s *Slopes) error {
	size := cfg.Size
	measureDispatchMemory(size, s)
	svc := size.service(0)
	dispatchCfg := size.dispatchConfig(&svc)
	targets := float64(len(svc.Targets))
	var arrivals, outcomes float64
	d := size.dispatchDriver(dispatchCfg)
	const concurrentRequests = 16
	calls := 0.0
	nsPerCall(cfg, func() {
		start := time.Now()
		for range concurrentRequests {
			d.arrive()
		}
		middle := time.Now()
		d.finishAll()
		arrivals += float64(middle.Sub(start).Nanoseconds())
		outcomes += float64(time.Since(middle).Nanoseconds())
		calls += concurrentRequests
	})
	s.add("selection", arrivals/calls, "ns", "one arrival that selects a target among those of a service (`dispatch.Arrive`)")
	s.add("outcome", outcomes/calls, "ns", "the end of one attempt (`dispatch.Finish`)")
	s.add("tick.target", nsPerCall(cfg, d.tick)/targets, "ns", "one second of one target without requests, with a probe each 2 s, but without sending it (`dispatch.Tick`, `ProbeResult`)")
	s.add("configure.target", nsPerCall(cfg, func() { d.Configure(d.now, dispatchCfg) })/targets, "ns", "one target of a service when a configuration comes into force (`dispatch.Configure`)")
	return nil
}

// measureDispatchMemory determines the memory of a service and of a target from
// measurements with two different numbers of targets.
func measureDispatchMemory(size Size, s *Slopes) {
	const services, few, many = 200, 1, 41
	held := func(targets int, used bool) float64 {
		one := Size{Zones: size.Zones, Regions: size.Regions, Services: 1, Targets: targets, SlotsPerTarget: size.SlotsPerTarget}
		svc := one.service(0)
		cfg := one.dispatchConfig(&svc)
		return retainedBytes(func() any {
			drivers := make([]*dispatchDriver, services)
			for i := range drivers {
				drivers[i] = one.dispatchDriver(cfg)
				for n := 0; used && n < targets*4; n++ {
					drivers[i].arrive()
				}
				drivers[i].finishAll()
			}
			return drivers
		}) / services
	}
	perTarget := (held(many, false) - held(few, false)) / (many - few)
	usedTarget := (held(many, true) - held(few, true)) / (many - few)
	s.add("state.service", held(few, false)-perTarget*few, "bytes", "dispatcher of a service apart from its targets (live heap of `dispatch.New`)")
	s.add("state.target", perTarget, "bytes", "health and dispatch state of a target that this host has sent nothing (live heap)")
	s.add("state.used", usedTarget, "bytes", "the same after requests to all targets of the nearest zone (live heap)")
}
