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
	// basePenalty is the time out of rotation after a first ejection. It doubles with
	// each further one, up to maxPenalty.
	basePenalty = 5 * time.Second
	maxPenalty  = 5 * time.Minute
	// undetectedPenalty is the minimum time out of rotation of a target that failed
	// requests while its probes passed, in a service without idempotent trials:
	// passing probes do not show whether it recovered, and each premature return fails
	// requests that must not be repeated.
	undetectedPenalty = 2 * time.Minute
	// penaltyHalfLife is the half-life of the penalty level, which decays only while
	// the target is in rotation.
	penaltyHalfLife = 5 * time.Minute
	// penaltyJitter spreads the returns of targets that were removed together.
	penaltyJitter = 0.1
	// trialFailureLevel is the increase of the penalty level by a failed trial.
	trialFailureLevel = 0.5
	// trialInterval is the minimum time between the starts of two trials of a target.
	// After trialExpiry, a trial that has not finished no longer blocks the next one.
	trialInterval = 500 * time.Millisecond
	trialExpiry   = time.Minute
	// minTrials is the minimum number of consecutive successful trials or probes.
	minTrials = 3
	// A target that failed a share p of its attempts needs trialsFactor/p successful
	// trials, up to maxTrials. If its failure rate is unchanged, it passes them with a
	// probability of about exp(-trialsFactor). With only three trials, a target with
	// 30% errors returned after every third series. The share is estimated with
	// priorSuccesses additional successes, because a removal follows a random peak of
	// failures.
	trialsFactor   = 3.0
	priorSuccesses = 4.0
	maxTrials      = 60
	// slowTrials is the number of trials of a target that was removed for its
	// latency. Three do not distinguish a latency factor of 3 from chance.
	slowTrials = 8
	// maxTrialExcess is the mean log latency above the baseline (a factor of 2.5)
	// above which a series of trials fails; maxSlowExcess (a factor of 1.8) applies to
	// a target that was removed for its latency.
	maxTrialExcess = 0.92
	maxSlowExcess  = 0.6
	// maxTrialLevel limits the penalty after failed trials to 1 minute, so that a target
	// that recovered after a long fault returns soon. It is 1 + log2(60 s / basePenalty).
	maxTrialLevel = 4.58
	// probeFailureStep and probeSuccessStep are the changes of the probe score by a
	// failed and a successful probe. maxProbeShare is its limit as a share of the
	// threshold. It is below minOwnShare, so that probes and other hosts' claims do
	// not remove a target without an attempt.
	probeFailureStep = 1.5
	probeSuccessStep = 1.5
	maxProbeShare    = 0.3
	// rampTime is the time from the first weight to full weight; rampSteps is the
	// number of weights, which limits the rebuilds of the rotation.
	rampTime  = 10 * time.Second
	rampSteps = 10
	// rampLatencySlack is the additional log latency (a factor of 4) that is tolerated
	// from a cold target at the start of its ramp.
	rampLatencySlack = 1.39
	// drainTrialDelay is the time after the last sign of draining from which a trial
	// may test whether the target still drains.
	drainTrialDelay = time.Minute
	// undrainIgnoreTime is how long after a draining response reports that the target
	// is not draining are ignored, because its load endpoint may be stale.
	undrainIgnoreTime = 10 * time.Second
)

// remove takes a target out of rotation because of the evidence against it.
func (t *Tracker) remove(now int64, target *target, state State, cause string, score float64, a agreement) Change {
	decayWeight := t.decayWeight(now)
	failures := math.Round(target.decayedSums.failed / decayWeight)
	target.removedScore = float32(min(score, t.threshold))
	target.removedAttempts = t.recentAttempts(target, now)
	target.removedAt = now
	target.removedByPeers = cause == peerEvidenceCause
	t.setTrials(target, cause)
	target.undetectedByProbes = !t.cfg.IdempotentTrials && !target.removedByPeers && target.probe.reliable && !target.probe.isSilent(now)
	halfLives := float64(now-target.returnedAt) / float64(penaltyHalfLife)
	target.penaltyLevel = float32(float64(target.penaltyLevel)*math.Exp2(-halfLives) + 1)
	t.removeFromBaselines(target)
	t.setState(target, state)
	t.startPenalty(now, target)
	c := t.ejectionChange(now, target, cause, score, a)
	c.Fields = append(c.Fields, event.F("failures", failures))
	return c
}

// setTrials sets the number of successful trials that return a removed target, and the
// latency from which they fail.
func (t *Tracker) setTrials(target *target, cause string) {
	target.trialsNeeded, target.maxExcess = minTrials, maxTrialExcess
	s := &target.cusum
	switch {
	case cause == "latency":
		target.trialsNeeded, target.maxExcess = slowTrials, maxSlowExcess
	case !t.cfg.IdempotentTrials || s.run == s.runFailed && target.removedAttempts < fewAttempts:
		// Probes do not fail in proportion to requests. With little traffic trials are
		// rare, and if all attempts failed, a few trials show whether the fault persists.
	case s.runFailed > 0:
		n := math.Ceil(trialsFactor * (float64(s.run) + priorSuccesses) / float64(s.runFailed))
		target.trialsNeeded = uint16(min(max(n, minTrials), maxTrials))
	}
}

// ejectionChange returns the timeline entry of a removal.
func (t *Tracker) ejectionChange(now int64, target *target, cause string, score float64, a agreement) Change {
	return Change{Kind: event.TargetEjected, Target: target.ID, Fields: []event.Field{
		event.F("scope", scopeOf(target.state)),
		event.F("cause", cause),
		event.F("score", roundHundredths(score)),
		event.F("threshold", roundHundredths(t.threshold)),
		event.F("attempts", target.removedAttempts),
		event.F("in_flight", target.open),
		event.F("in_flight_age", target.pendingEvidence.oldest),
		event.F("hosts_agreeing", a.hosts),
		event.F("out_ms", max(target.penaltyUntil-now, 0)/int64(time.Millisecond)),
	}}
}

func scopeOf(state State) string {
	if state == Ejected {
		return "service"
	}
	return "host"
}

func roundHundredths(x float64) float64 { return math.Round(x*100) / 100 }

// startPenalty sets the end of the penalty according to the penalty level.
func (t *Tracker) startPenalty(now int64, target *target) {
	d := float64(basePenalty) * math.Exp2(float64(target.penaltyLevel)-1)
	if target.undetectedByProbes {
		d = max(d, float64(undetectedPenalty))
	}
	d = min(d, float64(maxPenalty))
	d *= 1 + penaltyJitter*(2*t.rng.Float64()-1)
	target.penaltyUntil = now + int64(d)
	target.trialSuccesses = 0
	target.trialExcessSum = 0
}

// extendPenalty starts a longer penalty after a failed trial.
func (t *Tracker) extendPenalty(now int64, target *target) {
	target.penaltyLevel = max(target.penaltyLevel, min(target.penaltyLevel+trialFailureLevel, maxTrialLevel))
	t.startPenalty(now, target)
}

// mayTest reports whether trials may test the return of a target.
func (t *Tracker) mayTest(now int64, target *target) bool {
	switch {
	case target.state.removed():
		return now >= target.penaltyUntil
	case target.state == Draining:
		// Each sign of draining extends drainUntil.
		return now >= target.drainUntil
	}
	return false
}

// DueTrials returns the targets out of rotation that a trial request or probe may test
// now. A target is listed until the trial has started or the probe has ended.
func (t *Tracker) DueTrials(now time.Time) []ident.TargetID {
	at := now.UnixNano()
	var list []ident.TargetID
	for _, target := range t.notHealthy {
		if !t.mayTest(at, target) {
			continue
		}
		if target.removedByPeers && t.agreement(target, at).hosts > 0 {
			// Hosts with their own attempts at the target still have evidence against it.
			continue
		}
		busy := target.trialInFlight && at-target.trialStart < int64(trialExpiry)
		if !busy && at-target.trialStart >= int64(trialInterval) {
			list = append(list, target.ID)
		}
	}
	return list
}

// finishTrial processes the result of a trial request.
func (t *Tracker) finishTrial(now int64, a *openAttempt, res attempt.Result, excess float64, known bool) []Change {
	target := a.target
	if a.started == target.trialStart {
		target.trialInFlight = false
	}
	if !t.mayTest(now, target) {
		return nil
	}
	switch res.Kind {
	case attempt.Answered:
		if known {
			target.trialExcessSum += float32(excess)
		}
		return t.trialSucceeded(now, target)
	case attempt.Shed, attempt.Draining, attempt.Canceled, attempt.Withdrawn:
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
		target.drainUntil = now + int64(drainTrialDelay)
		target.trialSuccesses = 0
		return
	}
	t.extendPenalty(now, target)
}

func (t *Tracker) trialSucceeded(now int64, target *target) []Change {
	target.trialSuccesses++
	if target.trialSuccesses < max(target.trialsNeeded, minTrials) {
		return nil
	}
	if target.trialExcessSum/float32(target.trialSuccesses) > max(target.maxExcess, maxSlowExcess) {
		t.trialFailed(now, target)
		return nil
	}
	return []Change{t.restore(now, target)}
}

// restore puts a target back into rotation at the start of its ramp.
func (t *Tracker) restore(now int64, target *target) Change {
	fields := []event.Field{
		event.F("from", target.state),
		event.F("successes", target.trialSuccesses),
		event.F("out_ms", (now-target.removedAt)/int64(time.Millisecond)),
		event.F("penalty_level", roundHundredths(float64(target.penaltyLevel))),
	}
	t.startRamp(now, target)
	return Change{Kind: event.TargetReturned, Target: target.ID, Fields: fields}
}

func (t *Tracker) startRamp(now int64, target *target) {
	t.setState(target, Ramping)
	target.cusum = cusumState{updated: now}
	target.probeScore = 0
	target.returnedAt = now
	target.rampStart = now
	target.trialSuccesses = 0
	target.trialExcessSum = 0
	target.removedByPeers = false
	target.weight = 1.0 / rampSteps
}

// peerEvidenceCause is the cause of a removal on the evidence of other hosts alone. The
// same text is the cause of an ejection by confirmExclusion, where another host agrees
// with an exclusion by this host.
const peerEvidenceCause = "agreement"

// ProbeFinished records the end of a probe.
func (t *Tracker) ProbeFinished(now time.Time, id ident.TargetID, ok bool, took time.Duration) []Change {
	target := t.targets[id]
	if target == nil {
		return nil
	}
	at := now.UnixNano()
	t.now = at
	failing := target.probe.failing
	target.probe.ended(at, ok, took)
	t.updateFailingProbes(failing, !ok)
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
	case t.cfg.IdempotentTrials && !target.removedByPeers && target.state != Draining || !t.mayTest(at, target):
		// Requests instead of probes test the target, or it may not be tested yet.
	case target.removedByPeers && t.agreement(target, at).hosts > 0:
		// Other hosts still report the target as faulty.
	case ok:
		target.trialStart = at
		changes = t.trialSucceeded(at, target)
	default:
		t.trialFailed(at, target)
	}
	t.rebuildIfDirty()
	return changes
}

// SetDraining records that a target announced draining or, if draining is false, that it
// no longer drains.
func (t *Tracker) SetDraining(now time.Time, id ident.TargetID, draining bool) []Change {
	target := t.targets[id]
	if target == nil {
		return nil
	}
	at := now.UnixNano()
	var changes []Change
	switch {
	case draining:
		changes = t.startDraining(at, target, "announced")
		target.drainObserved = true
	case target.state == Draining && at-target.drainResponseAt < int64(undrainIgnoreTime):
		// The load endpoint may be stale (undrainIgnoreTime).
	case target.state == Draining:
		target.undrainedAt = at
		changes = t.endDraining(at, target)
	default:
		target.undrainedAt = at
	}
	t.rebuildIfDirty()
	return changes
}

// startDraining takes a target out of rotation without counting it as ejected.
func (t *Tracker) startDraining(now int64, target *target, source string) []Change {
	target.drainUntil = now + int64(drainTrialDelay)
	target.trialSuccesses = 0
	if target.state == Draining {
		return nil
	}
	from := target.state
	target.removedBeforeDrain = from.removed()
	target.drainObserved = source != "hosts"
	t.removeFromBaselines(target)
	t.setState(target, Draining)
	fields := []event.Field{event.F("source", source), event.F("from", from), event.F("in_flight", target.open)}
	return []Change{{Kind: event.TargetDraining, Target: target.ID, Fields: fields}}
}

// endDraining ends the draining of a target. A target that had been removed before it
// drained still has to pass trials.
func (t *Tracker) endDraining(now int64, target *target) []Change {
	if target.removedBeforeDrain {
		t.setState(target, Excluded)
		target.removedAt = now
		return nil
	}
	target.removedAt = now
	return []Change{t.restore(now, target)}
}

// advanceState updates the state of a target that is not Healthy at a tick.
func (t *Tracker) advanceState(now int64, target *target) []Change {
	switch {
	case target.state == Ramping:
		t.updateRamp(now, target)
	case target.state == Draining || t.cfg.IdempotentTrials || t.cfg.ProbeInterval > 0:
		// The target returns through trials, probes or the end of draining.
	case target.removedByPeers && t.agreement(target, now).hosts > 0:
		// Other hosts still report the target as faulty.
	case t.mayTest(now, target):
		// There are neither trials nor probes: the end of the penalty returns the target.
		return []Change{t.restore(now, target)}
	}
	return nil
}

// updateRamp sets the weight of a ramping target.
func (t *Tracker) updateRamp(now int64, target *target) {
	step := 1 + (now-target.rampStart)*(rampSteps-1)/int64(rampTime)
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

// latencySlack returns the log latency above the baseline that is tolerated because the
// target may be cold.
func (t *target) latencySlack() float64 {
	if t.state != Ramping {
		return 0
	}
	return rampLatencySlack * (1 - t.weight)
}
