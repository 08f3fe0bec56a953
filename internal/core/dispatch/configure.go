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

// Configure applies a new revision of the service's configuration. The state of
// remaining targets and classes is kept. Attempts at removed targets continue;
// waiting requests of removed classes end.
func (d *Dispatcher) Configure(now time.Time, cfg Config) []Action {
	rescheduleProbes := cfg.ProbeInterval != d.cfg.ProbeInterval
	d.cfg = withDefaults(cfg)
	d.budget.SetFraction(max(0, d.cfg.RetryRatio))
	d.queue.SetCapacity(max(0, d.cfg.QueueLength))
	removed := d.configureClasses()
	d.configureTargets(now, rescheduleProbes)
	d.recordChanges(d.health.Configure(now, healthConfig(d.cfg)))
	d.syncRotations(now)
	for _, c := range removed {
		d.endFlow(now, c)
	}
	d.refreshTrials(now)
	return d.finishEvent(now)
}

func withDefaults(cfg Config) Config {
	if cfg.QueueLength == 0 {
		cfg.QueueLength = DefaultQueueLength
	}
	if cfg.RetryRatio == 0 {
		cfg.RetryRatio = DefaultRetryRatio
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

// configureClasses applies the configured classes and returns the removed ones.
func (d *Dispatcher) configureClasses() []*class {
	known := d.classes
	d.classes = map[ident.ClassName]*class{}
	old := d.classList
	d.classList = nil
	d.uploadsOnly = true
	var flows []*limit.Flow[*request]
	for _, cc := range d.cfg.Classes {
		c := known[cc.Name]
		if c == nil {
			c = &class{flow: &limit.Flow[*request]{}}
		}
		c.Class, c.ordinal, c.synced = cc, len(d.classList), false
		c.members = nil
		d.classes[cc.Name] = c
		d.classList = append(d.classList, c)
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

func (d *Dispatcher) configureTargets(now time.Time, rescheduleProbes bool) {
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
		t.rotationIndexes = slices.Repeat([]int{notInRotation}, len(d.classList))
		d.targets[tc.ID] = t
		d.armLimitTimer(now, t)
		if added || rescheduleProbes {
			d.scheduleFirstProbe(now, t)
		}
	}
	for id, t := range old {
		if d.targets[id] == nil {
			d.removeTarget(id, t)
		}
	}
	for _, t := range d.removedTargets {
		t.rotationIndexes = slices.Repeat([]int{notInRotation}, len(d.classList))
	}
}

// addTarget returns a new target, or the existing state of a target that was
// removed and still has attempts in flight.
func (d *Dispatcher) addTarget(now time.Time, tc Target) *target {
	if t := d.removedTargets[tc.ID]; t != nil {
		delete(d.removedTargets, tc.ID)
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
	t.probeSentAt = time.Time{}
	if t.inFlight > 0 {
		d.removedTargets[id] = t
	}
}

// endFlow ends all queued requests of a removed class.
func (d *Dispatcher) endFlow(now time.Time, c *class) {
	for c.flow.Len() > 0 {
		head, first := c.flow.Heads()
		if head == nil {
			head = first
		}
		d.endWait(now, head.Value, UnknownClass)
	}
}

func healthConfig(cfg Config) health.Config {
	hc := health.Config{Service: cfg.Service, Balance: cfg.Balance, ProbeInterval: cfg.ProbeInterval}
	for _, t := range cfg.Targets {
		hc.Targets = append(hc.Targets, health.Target{ID: t.ID, Location: t.Location, Slots: t.Slots})
	}
	for _, c := range cfg.Classes {
		hc.Floors = append(hc.Floors, health.ClassFloor{Class: c.Name, Floor: c.Floor})
		hc.IdempotentTrials = hc.IdempotentTrials || c.eligibleForTrial()
	}
	return hc
}

// eligibleForTrial reports whether requests of the class may test an ejected
// target.
func (c Class) eligibleForTrial() bool { return c.Idempotent && !c.Upload }

// recordChanges emits health changes as timeline events.
func (d *Dispatcher) recordChanges(changes []health.Change) {
	for _, c := range changes {
		if t := d.targets[c.Target]; t != nil && c.Kind == event.TargetReturned {
			t.drainReported = false
		}
		fields := append([]event.Field{event.F("service", d.cfg.Service), event.F("target", c.Target)}, c.Fields...)
		d.emit(Record{Kind: c.Kind, Fields: fields})
	}
}
