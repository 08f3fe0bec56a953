package dispatch

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

const (
	// probeJitter is the variation of the interval between probes to either
	// side, as a fraction, so that hosts do not probe in step.
	probeJitter = 0.1
	// probeLost is the time after which a probe without result no longer
	// holds back the next one.
	probeLost = 5 * time.Second
	// trialWait is the time that an ejected target waits for a request that
	// can test it before a probe does. A probe costs about 25 ms of a target.
	trialWait = time.Second
	// trialServiceTimes is the least time for each of a trial and the attempt
	// after it, in mean service times.
	trialServiceTimes = 2
)

// trial is an ejected target that may be tested since a time.
type trial struct {
	target *target
	since  time.Time
}

// refreshTrials takes the targets that health wants tested. Requests test only
// targets of this region; probes test the others and those that no request
// tested in time.
func (d *Dispatcher) refreshTrials(now time.Time) {
	old := d.trials
	d.trials = nil
	for _, id := range d.health.Trials(now) {
		t := d.targets[id]
		if t == nil || t.trial || t.draining(now) {
			continue
		}
		since := trialSince(old, t, now)
		if !d.testsWithRequests(t) || now.Sub(since) >= trialWait {
			d.probe(now, t)
		}
		d.trials = append(d.trials, trial{target: t, since: since})
	}
	if len(d.trials) > 0 {
		d.hastenHealth(now)
	}
}

func trialSince(list []trial, t *target, now time.Time) time.Time {
	for _, tr := range list {
		if tr.target == t {
			return tr.since
		}
	}
	return now
}

func (d *Dispatcher) testsWithRequests(t *target) bool {
	if t.distance == balance.OtherRegion {
		return false
	}
	for _, c := range d.order {
		if c.canTest() {
			return true
		}
	}
	return false
}

// takeTrial returns an ejected target that the request should test, nil if
// none. The token for the attempt that may have to follow is taken here.
func (d *Dispatcher) takeTrial(now time.Time, r *request) *target {
	if len(d.trials) == 0 || !r.canTest(now) {
		return nil
	}
	for i, tr := range d.trials {
		t := tr.target
		if !t.usable(now) || t.trial || t.distance == balance.OtherRegion || t.inFlight >= t.limit.Limit(now) {
			continue
		}
		if !d.budget.Take(now) {
			return nil
		}
		d.trials = append(d.trials[:i], d.trials[i+1:]...)
		return t
	}
	return nil
}

func (r *request) canTest(now time.Time) bool {
	c := r.class
	if !c.canTest() || !r.idempotent || r.attempts > 0 || c.MaxAttempts < 2 {
		return false
	}
	half := r.Deadline.Sub(now) / 2
	return half > trialServiceTimes*c.service.Mean(now)
}

// scheduleFirstProbe puts the probes of a target at a random phase of the
// interval, so that probes spread in time.
func (d *Dispatcher) scheduleFirstProbe(now time.Time, t *target) {
	d.timers.remove(t.probeTimer)
	t.probeTimer = nil
	if d.cfg.ProbeInterval <= 0 {
		return
	}
	phase := time.Duration(d.rng.Int64N(int64(d.cfg.ProbeInterval)))
	t.probeTimer = d.timers.add(&timer{at: now.Add(phase), kind: probeTimer, target: t})
}

func (d *Dispatcher) probeDue(now time.Time, t *target) {
	d.probe(now, t)
	interval := float64(d.cfg.ProbeInterval) * (1 + probeJitter*(2*d.rng.Float64()-1))
	t.probeTimer = d.timers.add(&timer{at: now.Add(max(1, time.Duration(interval))), kind: probeTimer, target: t})
}

func (d *Dispatcher) probe(now time.Time, t *target) {
	underWay := !t.probeSent.IsZero() && now.Sub(t.probeSent) < probeLost
	if d.cfg.ProbeInterval <= 0 || underWay {
		return
	}
	t.probeSent = now
	d.emit(Probe{Target: t.ID})
}

// ProbeResult reports the end of a probe.
func (d *Dispatcher) ProbeResult(now time.Time, id ident.TargetID, ok bool, took time.Duration) []Action {
	t := d.targets[id]
	if t == nil {
		return nil
	}
	t.probeSent = time.Time{}
	if changes := d.health.Probed(now, id, ok, took); len(changes) > 0 {
		d.record(changes)
		d.refreshTrials(now)
	}
	d.syncAll(now)
	return d.settle(now)
}
