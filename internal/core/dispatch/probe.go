package dispatch

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/balance"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
)

const (
	// probeJitter is the maximum deviation from the probe interval in both
	// directions, as a fraction. It prevents hosts from probing simultaneously.
	probeJitter = 0.1
	// probeResultTimeout is the time after which a probe without a result no
	// longer blocks the next one.
	probeResultTimeout = 5 * time.Second
	// probeTrialDelay is the time for which an ejected target waits for an
	// eligible request before a probe tests it. A probe takes about 25 ms of the
	// target's time.
	probeTrialDelay = time.Second
	// remoteTrialDelay is the time before requests test a target in the other
	// region. It exceeds the duration of three probes; a request to the other
	// region costs the caller an inter-region round trip.
	remoteTrialDelay = 5 * time.Second
	// minTrialServiceTimes is the minimum time for a trial, and for the attempt
	// after it, in mean service times.
	minTrialServiceTimes = 2
)

// refreshTrials updates the list of targets that are due for a trial. Requests
// test targets in this region at once, and targets in the other region only if
// probes alone have not returned them to rotation.
func (d *Dispatcher) refreshTrials(now time.Time) {
	d.dueTrials = d.dueTrials[:0]
	d.trialRound++
	byRequest := d.hasTrialClass()
	waiting := d.health.DueTrials(now)
	for _, id := range waiting {
		if t := d.targets[id]; t != nil && !t.trial && !t.draining(now) {
			// A draining target may be probed but gets no requests.
			d.scheduleTrial(now, t, byRequest && !t.drainReported)
		}
	}
	d.advanceHealthTick(now)
}

// sendDueProbes probes targets in rotation for which the health tracker needs
// confirmation, such as those with an overdue attempt.
func (d *Dispatcher) sendDueProbes(now time.Time) {
	for _, id := range d.health.DueProbes(now) {
		if t := d.targets[id]; t != nil {
			d.sendProbe(now, t)
		}
	}
}

func (d *Dispatcher) scheduleTrial(now time.Time, t *target, byRequest bool) {
	if t.trialDueRound != d.trialRound-1 {
		t.trialDueSince = now
	}
	t.trialDueRound = d.trialRound
	wait := now.Sub(t.trialDueSince)
	if t.distance == balance.OtherRegion {
		byRequest = byRequest && wait >= remoteTrialDelay
	}
	if !byRequest || wait >= probeTrialDelay {
		d.sendProbe(now, t)
	}
	if byRequest {
		d.dueTrials = append(d.dueTrials, t)
	}
}

func (d *Dispatcher) hasTrialClass() bool {
	for _, c := range d.classList {
		if c.eligibleForTrial() {
			return true
		}
	}
	return false
}

// takeTrial returns an ejected target that the request should test, or nil. It
// takes the budget token for the retry that may have to follow.
func (d *Dispatcher) takeTrial(now time.Time, r *request) *target {
	if len(d.dueTrials) == 0 || !r.eligibleForTrial(now) {
		return nil
	}
	for i, t := range d.dueTrials {
		if !t.usable(now) || t.trial || t.inFlight >= t.limit.Limit(now) {
			continue
		}
		if !d.budget.Take(now, retry.FullCost) {
			return nil
		}
		d.dueTrials = append(d.dueTrials[:i], d.dueTrials[i+1:]...)
		return t
	}
	return nil
}

func (r *request) eligibleForTrial(now time.Time) bool {
	c := r.class
	if !c.eligibleForTrial() || !r.idempotent || r.attempts > 0 || c.MaxAttempts < 2 {
		return false
	}
	half := r.Deadline.Sub(now) / 2
	return half > minTrialServiceTimes*c.serviceTime.Mean(now)
}

// scheduleFirstProbe schedules the first probe of a target at a random offset
// within the interval, so that probes are spread over time.
func (d *Dispatcher) scheduleFirstProbe(now time.Time, t *target) {
	d.timers.remove(t.probeTimer)
	t.probeTimer = nil
	if d.cfg.ProbeInterval <= 0 {
		return
	}
	phase := time.Duration(d.rng.Int64N(int64(d.cfg.ProbeInterval)))
	t.probeTimer = d.timers.add(&timer{at: now.Add(phase), kind: probeTimer, target: t})
}

// SetPeriodicProbes enables or disables the periodic probes, which are enabled
// initially. Probes that test a particular target are sent in both cases.
func (d *Dispatcher) SetPeriodicProbes(on bool) { d.periodicProbesDisabled = !on }

// ProbeSkipped reports that a probe was not sent, so that the missing result does
// not count as evidence.
func (d *Dispatcher) ProbeSkipped(id ident.TargetID) {
	if t := d.targets[id]; t != nil {
		t.probeSentAt = time.Time{}
		d.health.ProbeSkipped(id)
	}
}

func (d *Dispatcher) handleProbeTimer(now time.Time, t *target) {
	if !d.periodicProbesDisabled {
		d.sendProbe(now, t)
	}
	interval := float64(d.cfg.ProbeInterval) * (1 + probeJitter*(2*d.rng.Float64()-1))
	t.probeTimer = d.timers.add(&timer{at: now.Add(max(1, time.Duration(interval))), kind: probeTimer, target: t})
}

func (d *Dispatcher) sendProbe(now time.Time, t *target) {
	pending := !t.probeSentAt.IsZero() && now.Sub(t.probeSentAt) < probeResultTimeout
	if d.cfg.ProbeInterval <= 0 || pending {
		return
	}
	t.probeSentAt = now
	d.health.ProbeStarted(now, t.ID)
	d.emit(Probe{Target: t.ID})
}

// ProbeResult reports the end of a probe.
func (d *Dispatcher) ProbeResult(now time.Time, id ident.TargetID, ok bool, took time.Duration) []Action {
	t := d.targets[id]
	if t == nil {
		return nil
	}
	t.probeSentAt = time.Time{}
	if changes := d.health.ProbeFinished(now, id, ok, took); len(changes) > 0 {
		d.recordChanges(changes)
		d.refreshTrials(now)
	}
	d.syncRotations(now)
	return d.finishEvent(now)
}
