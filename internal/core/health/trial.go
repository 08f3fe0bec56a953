package health

import (
	"math"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Parameters of removal, return and ramp.
const (
	// basePenalty is the time out of rotation of a first ejection; it doubles
	// with each further one up to maxPenalty.
	basePenalty = 5 * time.Second
	maxPenalty  = 5 * time.Minute
	// unseenPenalty is the least time out of a target that failed requests while
	// its probes passed, in a service without idempotent trials: passing probes
	// tell nothing about its return, and each return fails requests that must not
	// be repeated.
	unseenPenalty = 2 * time.Minute
	// penaltyHalfLife makes earlier ejections count less; it runs only while the
	// target is in rotation.
	penaltyHalfLife = 5 * time.Minute
	// penaltyJitter spreads the returns of targets removed together.
	penaltyJitter = 0.1
	// trialFailureLevel is what a failed trial adds to the penalty level.
	trialFailureLevel = 0.5
	// trialInterval is the least time between the starts of two trials of a
	// target; trialExpiry frees the slot of a trial that never finished.
	trialInterval = 500 * time.Millisecond
	trialExpiry   = time.Minute
	// minTrials is the least number of successful trials or probes in a row.
	minTrials = 3
	// A target that failed a share p of its attempts needs passFactor/p successful
	// trials, up to maxTrials. If it is unchanged it passes them with a probability
	// of about exp(-passFactor). With three trials a target with 30% errors
	// returned after every third series.
	// The share is lowered by passPrior successes, because a removal comes after a
	// chance peak of failures.
	passFactor = 3.0
	passPrior  = 4.0
	maxTrials  = 60
	// slowTrials is the number of trials of a target that was removed for its
	// latency. Three do not tell a factor of 3 from chance.
	slowTrials = 8
	// maxTrialExcess is the mean log latency above the baseline (a factor of
	// 2.5) at which a series of trials fails, maxSlowExcess (a factor of 1.8) the
	// one for a target that was removed for its latency.
	maxTrialExcess = 0.92
	maxSlowExcess  = 0.6
	// maxTrialLevel bounds the penalty that failed trials lead to at 1 minute, so
	// that a target that recovered after a long fault returns soon.
	maxTrialLevel = 4.58
	// probeFailureStep, probeSuccessStep and maxProbeShare make failing probes
	// bounded evidence. The bound is below ownShare, so that probes and other
	// hosts' claims do not remove a target without an attempt.
	probeFailureStep = 1.5
	probeSuccessStep = 1.5
	maxProbeShare    = 0.3
	// rampTime is the time from the first weight to full weight; rampSteps is
	// the number of weights, which bounds the rebuilds of the rotation.
	rampTime  = 10 * time.Second
	rampSteps = 10
	// rampLatencySlack is the extra log latency (a factor of 4) that a cold
	// target may show at the start of its ramp.
	rampLatencySlack = 1.39
	// drainMemory is how long a draining response keeps a target out before a
	// trial may test whether it still drains.
	drainMemory = time.Minute
	// drainQuiet is how long after a draining response reports that the target
	// does not drain are ignored: its load endpoint may be stale.
	drainQuiet = 10 * time.Second
)

// remove takes a target out of rotation on evidence.
func (t *Tracker) remove(now int64, target *target, state State, cause string, score float64, a agreement) Change {
	weight := t.weight(now)
	failures := math.Round(target.sums.failed / weight)
	target.removedScore = float32(min(score, t.threshold))
	target.removedAttempts = t.recentAttempts(target, now)
	target.removedAt = now
	target.adopted = cause == adoptedCause
	t.setTrials(target, cause)
	target.unseen = !t.cfg.IdempotentTrials && !target.adopted && target.probe.reliable && !target.probe.silent(now)
	idle := float64(now-target.returnedAt) / float64(penaltyHalfLife)
	target.level = float32(float64(target.level)*math.Exp2(-idle) + 1)
	t.forget(target)
	t.setState(target, state)
	t.penalize(now, target)
	c := t.ejection(now, target, cause, score, a)
	c.Fields = append(c.Fields, event.F("failures", failures))
	return c
}

// setTrials sets how many trials return a removed target.
func (t *Tracker) setTrials(target *target, cause string) {
	target.trialsNeeded, target.maxExcess = minTrials, maxTrialExcess
	s := &target.stat
	switch {
	case cause == "latency":
		target.trialsNeeded, target.maxExcess = slowTrials, maxSlowExcess
	case !t.cfg.IdempotentTrials || s.run == s.runFailed && target.removedAttempts < fewAttempts:
		// Probes do not fail in proportion. At little traffic trials are rare, and a
		// target that failed all attempts has a fault that a few of them show.
	case s.runFailed > 0:
		n := math.Ceil(passFactor * (float64(s.run) + passPrior) / float64(s.runFailed))
		target.trialsNeeded = uint16(min(max(n, minTrials), maxTrials))
	}
}

// ejection describes a removal for the timeline.
func (t *Tracker) ejection(now int64, target *target, cause string, score float64, a agreement) Change {
	return Change{Kind: event.TargetEjected, Target: target.ID, Fields: []event.Field{
		event.F("scope", scopeOf(target.state)),
		event.F("cause", cause),
		event.F("score", rounded(score)),
		event.F("threshold", rounded(t.threshold)),
		event.F("attempts", target.removedAttempts),
		event.F("in_flight", target.open),
		event.F("in_flight_age", target.pending.oldest),
		event.F("hosts_agreeing", a.hosts),
		event.F("out_ms", max(target.until-now, 0)/int64(time.Millisecond)),
	}}
}

func scopeOf(state State) string {
	if state == Ejected {
		return "service"
	}
	return "host"
}

func rounded(x float64) float64 { return math.Round(x*100) / 100 }

// penalize sets the end of the penalty from the level.
func (t *Tracker) penalize(now int64, target *target) {
	d := float64(basePenalty) * math.Exp2(float64(target.level)-1)
	if target.unseen {
		d = max(d, float64(unseenPenalty))
	}
	d = min(d, float64(maxPenalty))
	d *= 1 + penaltyJitter*(2*t.rng.Float64()-1)
	target.until = now + int64(d)
	target.successes = 0
	target.trialExcess = 0
}

// prolong extends the removal after a failed trial.
func (t *Tracker) prolong(now int64, target *target) {
	target.level = max(target.level, min(target.level+trialFailureLevel, maxTrialLevel))
	t.penalize(now, target)
}

// testable reports whether the return of a target may be tested.
func (t *Tracker) testable(now int64, target *target) bool {
	switch {
	case target.state.removed():
		return now >= target.until
	case target.state == Draining:
		// Every sign of draining renews drainTill.
		return now >= target.drainTill
	}
	return false
}

// Trials returns the removed targets that a trial request or probe may test now.
// A target is listed until the trial is started or the probe has ended.
func (t *Tracker) DueTrials(now time.Time) []ident.TargetID {
	at := now.UnixNano()
	var list []ident.TargetID
	for _, target := range t.unsettled {
		if !t.testable(at, target) {
			continue
		}
		if target.adopted && t.agreement(target, at).hosts > 0 {
			// The hosts that send it work still have evidence against it.
			continue
		}
		busy := target.trialOpen && at-target.trialAt < int64(trialExpiry)
		if !busy && at-target.trialAt >= int64(trialInterval) {
			list = append(list, target.ID)
		}
	}
	return list
}

// finishTrial takes the result of a trial request.
func (t *Tracker) finishTrial(now int64, a *openAttempt, res attempt.Result, excess float64, known bool) []Change {
	target := a.target
	if a.started == target.trialAt {
		target.trialOpen = false
	}
	if !t.testable(now, target) {
		return nil
	}
	switch res.Kind {
	case attempt.Answered:
		if known {
			target.trialExcess += float32(excess)
		}
		return t.trialSucceeded(now, target)
	case attempt.Shed, attempt.Draining, attempt.Canceled:
		return nil
	case attempt.ConnectionLost, attempt.TimedOut:
		if !a.fresh {
			return nil
		}
	}
	t.trialFailed(now, target)
	return nil
}

func (t *Tracker) trialFailed(now int64, target *target) {
	if target.state == Draining {
		target.drainTill = now + int64(drainMemory)
		target.successes = 0
		return
	}
	t.prolong(now, target)
}

func (t *Tracker) trialSucceeded(now int64, target *target) []Change {
	target.successes++
	if target.successes < max(target.trialsNeeded, minTrials) {
		return nil
	}
	if target.trialExcess/float32(target.successes) > max(target.maxExcess, maxSlowExcess) {
		t.trialFailed(now, target)
		return nil
	}
	return []Change{t.restore(now, target)}
}

// restore puts a target back into rotation at the start of its ramp.
func (t *Tracker) restore(now int64, target *target) Change {
	fields := []event.Field{
		event.F("from", target.state),
		event.F("successes", target.successes),
		event.F("out_ms", (now-target.removedAt)/int64(time.Millisecond)),
		event.F("penalty_level", rounded(float64(target.level))),
	}
	t.startRamp(now, target)
	return Change{Kind: event.TargetReturned, Target: target.ID, Fields: fields}
}

func (t *Tracker) startRamp(now int64, target *target) {
	t.setState(target, Ramping)
	target.stat = statistic{updated: now}
	target.probeScore = 0
	target.returnedAt = now
	target.rampFrom = now
	target.successes = 0
	target.trialExcess = 0
	target.adopted = false
	target.weight = 1.0 / rampSteps
}

// adoptedCause is the cause of a removal on the evidence of other hosts alone.
const adoptedCause = "agreement"

// Probed records the end of a probe.
func (t *Tracker) ProbeFinished(now time.Time, id ident.TargetID, ok bool, took time.Duration) []Change {
	target := t.targets[id]
	if target == nil {
		return nil
	}
	at := now.UnixNano()
	t.now = at
	failing := target.probe.failing
	target.probe.ended(at, ok, took)
	t.countFailing(failing, !ok)
	var changes []Change
	switch {
	case target.state.inRotation():
		step := probeFailureStep
		if ok {
			step = -probeSuccessStep
		}
		target.probeScore = accumulate(target.probeScore, step, maxProbeShare*t.threshold)
		if !ok {
			changes = t.evaluate(at, target)
		}
	case t.cfg.IdempotentTrials && !target.adopted && target.state != Draining || !t.testable(at, target):
	case target.adopted && t.agreement(target, at).hosts > 0:
	case ok:
		target.trialAt = at
		changes = t.trialSucceeded(at, target)
	default:
		t.trialFailed(at, target)
	}
	t.rebuildIfDirty()
	return changes
}

// Drain records that a target announced draining, or with draining false that
// it stopped doing so.
func (t *Tracker) SetDraining(now time.Time, id ident.TargetID, draining bool) []Change {
	target := t.targets[id]
	if target == nil {
		return nil
	}
	at := now.UnixNano()
	var changes []Change
	switch {
	case draining:
		changes = t.drain(at, target, "announced")
		target.drainSeen = true
	case target.state == Draining && at-target.drainResponse < int64(drainQuiet):
	case target.state == Draining:
		target.undrainedAt = at
		changes = t.undrain(at, target)
	default:
		target.undrainedAt = at
	}
	t.rebuildIfDirty()
	return changes
}

// drain takes a target out of rotation without counting it as ejected.
func (t *Tracker) drain(now int64, target *target, source string) []Change {
	target.drainTill = now + int64(drainMemory)
	target.successes = 0
	if target.state == Draining {
		return nil
	}
	from := target.state
	target.drainedRemoved = from.removed()
	target.drainSeen = source != "hosts"
	t.forget(target)
	t.setState(target, Draining)
	fields := []event.Field{event.F("source", source), event.F("from", from), event.F("in_flight", target.open)}
	return []Change{{Kind: event.TargetDraining, Target: target.ID, Fields: fields}}
}

// undrain ends draining. A target that was removed before it drained still
// has to pass trials.
func (t *Tracker) undrain(now int64, target *target) []Change {
	if target.drainedRemoved {
		t.setState(target, Excluded)
		target.removedAt = now
		return nil
	}
	target.removedAt = now
	return []Change{t.restore(now, target)}
}

// advance moves a target that is not settled at a tick.
func (t *Tracker) advance(now int64, target *target) []Change {
	switch {
	case target.state == Ramping:
		t.ramp(now, target)
	case target.state == Draining || t.cfg.IdempotentTrials || t.cfg.ProbeInterval > 0:
	case target.adopted && t.agreement(target, now).hosts > 0:
	case t.testable(now, target):
		// Neither trials nor probes exist: the time alone returns the target.
		return []Change{t.restore(now, target)}
	}
	return nil
}

// ramp sets the weight of a ramping target.
func (t *Tracker) ramp(now int64, target *target) {
	step := 1 + (now-target.rampFrom)*(rampSteps-1)/int64(rampTime)
	if step >= rampSteps {
		t.setState(target, Healthy)
		return
	}
	weight := float64(max(step, 1)) / rampSteps
	if weight != target.weight {
		target.weight = weight
		t.dirty = true
	}
}

// slack is the log latency that a cold target may show above the baseline.
func (t *target) slack() float64 {
	if t.state != Ramping {
		return 0
	}
	return rampLatencySlack * (1 - t.weight)
}
