package dispatch

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
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
	// remoteTrialWait is the time that a target of the other region waits before
	// requests test it: it is longer than three probes take, and a request to the
	// other region costs the caller a round trip between regions.
	remoteTrialWait = 5 * time.Second
	// trialServiceTimes is the least time for each of a trial and the attempt
	// after it, in mean service times.
	trialServiceTimes = 2
)

// refreshTrials takes the targets that health wants tested. Requests test the
// targets of this region at once, and those of the other region only when
// probes alone did not return them.
func (d *Dispatcher) refreshTrials(now time.Time) {
	d.trials = d.trials[:0]
	d.trialRound++
	byRequest := d.hasTestClass()
	waiting := d.health.DueTrials(now)
	for _, id := range waiting {
		if t := d.targets[id]; t != nil && !t.trial && !t.draining(now) {
			// Probes are no work: a target that still drains gets none.
			d.offerTrial(now, t, byRequest && !t.drained)
		}
	}
	d.hastenHealth(now)
}

// verify probes the targets whose silence health wants confirmed.
func (d *Dispatcher) verify(now time.Time) {
	for _, id := range d.health.DueProbes(now) {
		if t := d.targets[id]; t != nil {
			d.probe(now, t)
		}
	}
}

func (d *Dispatcher) offerTrial(now time.Time, t *target, byRequest bool) {
	if t.testableRound != d.trialRound-1 {
		t.testableSince = now
	}
	t.testableRound = d.trialRound
	wait := now.Sub(t.testableSince)
	if t.distance == balance.OtherRegion {
		byRequest = byRequest && wait >= remoteTrialWait
	}
	if !byRequest || wait >= trialWait {
		d.probe(now, t)
	}
	if byRequest {
		d.trials = append(d.trials, t)
	}
}

func (d *Dispatcher) hasTestClass() bool {
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
	for i, t := range d.trials {
		if !t.usable(now) || t.trial || t.inFlight >= t.limit.Limit(now) {
			continue
		}
		if !d.budget.Take(now, retry.FullCost) {
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

// SetRegularProbes switches the probes in every interval on or off; they are on
// at first. Probes that test one target for a reason are sent in both cases.
func (d *Dispatcher) SetRegularProbes(on bool) { d.noRegularProbes = !on }

// ProbeSkipped reports that a probe was not sent, so that its silence is no
// evidence.
func (d *Dispatcher) ProbeSkipped(id ident.TargetID) {
	if t := d.targets[id]; t != nil {
		t.probeSent = time.Time{}
		d.health.ProbeSkipped(id)
	}
}

func (d *Dispatcher) probeDue(now time.Time, t *target) {
	if !d.noRegularProbes {
		d.probe(now, t)
	}
	interval := float64(d.cfg.ProbeInterval) * (1 + probeJitter*(2*d.rng.Float64()-1))
	t.probeTimer = d.timers.add(&timer{at: now.Add(max(1, time.Duration(interval))), kind: probeTimer, target: t})
}

func (d *Dispatcher) probe(now time.Time, t *target) {
	underWay := !t.probeSent.IsZero() && now.Sub(t.probeSent) < probeLost
	if d.cfg.ProbeInterval <= 0 || underWay {
		return
	}
	t.probeSent = now
	d.health.ProbeStarted(now, t.ID)
	d.emit(Probe{Target: t.ID})
}

// ProbeResult reports the end of a probe.
func (d *Dispatcher) ProbeResult(now time.Time, id ident.TargetID, ok bool, took time.Duration) []Action {
	t := d.targets[id]
	if t == nil {
		return nil
	}
	t.probeSent = time.Time{}
	if changes := d.health.ProbeFinished(now, id, ok, took); len(changes) > 0 {
		d.record(changes)
		d.refreshTrials(now)
	}
	d.syncAll(now)
	return d.settle(now)
}
