package dispatch

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/limit"
)

// Configure puts a new revision of the service's configuration in force. State
// of targets and classes that stay is kept. Attempts at removed targets finish;
// waiting requests of removed classes are refused.
func (d *Dispatcher) Configure(now time.Time, cfg Config) []Action {
	reprobe := cfg.ProbeInterval != d.cfg.ProbeInterval
	d.cfg = withDefaults(cfg)
	d.budget.SetFraction(max(0, d.cfg.RetryBudget))
	d.queue.SetCapacity(max(0, d.cfg.QueueLength))
	removed := d.configureClasses()
	d.configureTargets(now, reprobe)
	d.record(d.health.Configure(now, healthConfig(d.cfg)))
	d.syncAll(now)
	for _, c := range removed {
		d.endFlow(now, c)
	}
	d.refreshTrials(now)
	return d.settle(now)
}

func withDefaults(cfg Config) Config {
	if cfg.QueueLength == 0 {
		cfg.QueueLength = DefaultQueueLength
	}
	if cfg.RetryBudget == 0 {
		cfg.RetryBudget = DefaultRetryBudget
	}
	if cfg.UploadShare == 0 {
		cfg.UploadShare = DefaultUploadShare
	}
	cfg.Classes = slices.Clone(cfg.Classes)
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		if c.Deadline <= 0 {
			c.Deadline = DefaultDeadline
		}
		if c.MaxAttempts <= 0 {
			c.MaxAttempts = DefaultMaxAttempts
		}
	}
	return cfg
}

// configureClasses returns the classes that are no longer configured.
func (d *Dispatcher) configureClasses() []*class {
	known := d.classes
	d.classes = map[ident.ClassName]*class{}
	old := d.order
	d.order = nil
	d.uploadsOnly = true
	var flows []*limit.Flow[*request]
	for _, cc := range d.cfg.Classes {
		c := known[cc.Name]
		if c == nil {
			c = &class{flow: &limit.Flow[*request]{}}
		}
		c.Class, c.ordinal, c.synced = cc, len(d.order), false
		c.members = nil
		d.classes[cc.Name] = c
		d.order = append(d.order, c)
		flows = append(flows, c.flow)
		d.uploadsOnly = d.uploadsOnly && cc.Upload
	}
	var removed []*class
	for _, c := range old {
		if d.classes[c.Name] != c {
			c.removed = true
			removed = append(removed, c)
		}
	}
	d.queue.SetFlows(flows)
	return removed
}

func (d *Dispatcher) configureTargets(now time.Time, reprobe bool) {
	old := d.targets
	d.targets = map[ident.TargetID]*target{}
	for _, tc := range d.cfg.Targets {
		t := old[tc.ID]
		added := t == nil
		if added {
			t = d.addTarget(now, tc)
		}
		t.Target = tc
		t.distance = balance.DistanceBetween(d.self.Location, tc.Location)
		t.limit.SetSlots(now, tc.Slots)
		t.places = slices.Repeat([]int{notInRotation}, len(d.order))
		d.targets[tc.ID] = t
		d.armLimitTimer(now, t)
		if added || reprobe {
			d.scheduleFirstProbe(now, t)
		}
	}
	for id, t := range old {
		if d.targets[id] == nil {
			d.removeTarget(id, t)
		}
	}
	for _, t := range d.leaving {
		t.places = slices.Repeat([]int{notInRotation}, len(d.order))
	}
}

// addTarget returns a new target, or one that was removed earlier and still
// has attempts in flight.
func (d *Dispatcher) addTarget(now time.Time, tc Target) *target {
	if t := d.leaving[tc.ID]; t != nil {
		delete(d.leaving, tc.ID)
		t.removed = false
		return t
	}
	return &target{limit: limit.NewAdaptive(now, tc.Slots)}
}

func (d *Dispatcher) removeTarget(id ident.TargetID, t *target) {
	t.removed = true
	d.timers.remove(t.probeTimer)
	d.timers.remove(t.limitTimer)
	t.probeTimer, t.limitTimer = nil, nil
	t.probeSent = time.Time{}
	if t.inFlight > 0 {
		d.leaving[id] = t
	}
}

// endFlow ends the waiting requests of a removed class.
func (d *Dispatcher) endFlow(now time.Time, c *class) {
	for c.flow.Len() > 0 {
		retry, first := c.flow.Heads()
		if retry == nil {
			retry = first
		}
		d.endWait(now, retry.Value, UnknownClass)
	}
}

func healthConfig(cfg Config) health.Config {
	hc := health.Config{Service: cfg.Service, Balance: cfg.Balance, ProbeInterval: cfg.ProbeInterval}
	for _, t := range cfg.Targets {
		hc.Targets = append(hc.Targets, health.Target{ID: t.ID, Location: t.Location, Slots: t.Slots})
	}
	for _, c := range cfg.Classes {
		hc.Floors = append(hc.Floors, health.ClassFloor{Class: c.Name, Floor: c.Floor})
		hc.IdempotentTrials = hc.IdempotentTrials || c.canTest()
	}
	return hc
}

// canTest tells that requests of the class may test an ejected target.
func (c Class) canTest() bool { return c.Idempotent && !c.Upload }

// record turns health changes into events of the timeline.
func (d *Dispatcher) record(changes []health.Change) {
	for _, c := range changes {
		if t := d.targets[c.Target]; t != nil && c.Kind == event.TargetReturned {
			t.drained = false
		}
		fields := append([]event.Field{event.F("service", d.cfg.Service), event.F("target", c.Target)}, c.Fields...)
		d.emit(Record{Kind: c.Kind, Fields: fields})
	}
}
