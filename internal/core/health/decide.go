package health

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// minTimeoutTail is the value of -ln P(latency > age) below which a timeout does not
// count as a failure: the caller's deadline was short, and more than 5% of the
// peers' answers take that long.
const minTimeoutTail = 3.0

// unreachableRate is the failure rate of a group from which its network link is
// considered down rather than slow, and its targets are compared with the whole
// service.
const unreachableRate = 0.9

// finishAttempt updates the target's evidence with the end of an attempt.
func (t *Tracker) finishAttempt(now int64, a *openAttempt, res attempt.Result) []Change {
	target := a.target
	switch res.Kind {
	case attempt.Answered, attempt.ServerError, attempt.BadAnswer, attempt.Shed, attempt.Draining:
		target.responses++
		target.answeredAt = now
	}
	if res.Kind == attempt.Draining {
		if a.trial && a.started == target.trialStart {
			target.trialInFlight = false
		}
		target.drainResponseAt = now
		return t.startDraining(now, target, "response")
	}
	r := t.compareLatency(now, a, res)
	if a.trial {
		return t.finishTrial(now, a, res, r.abovePeers, r.baseline.known)
	}
	if target.state == Draining {
		return nil
	}
	target.cusum.decay(now)
	t.recordResult(now, a, res.Kind, r)
	return t.evaluate(now, target)
}

// latencyComparison compares an attempt's latency with those of the peers.
type latencyComparison struct {
	baseline latencyBaseline
	// decayWeight is the forward-decay weight of a result at this time.
	decayWeight float64
	// excess is logLatency minus the mean of its class, aboveLevel the same minus its
	// level; abovePeers is excess minus the mean excess of the peers and the latency
	// slack of the target.
	logLatency, excess, aboveLevel, abovePeers float64
}

func (t *Tracker) compareLatency(now int64, a *openAttempt, res attempt.Result) latencyComparison {
	g := a.target.group
	latency := res.FirstByte
	if latency <= 0 {
		latency = time.Duration(now - a.started)
	}
	r := latencyComparison{decayWeight: t.decayWeight(now), logLatency: g.logSeconds(latency)}
	r.baseline = g.longBaseline(a.target, r.decayWeight).withRecent(a.target, now)
	if m := g.classMeans[a.latencyClass]; m.count != 0 {
		r.excess, r.aboveLevel = r.logLatency-m.mean, r.logLatency-m.level
	}
	r.abovePeers = r.excess - r.baseline.mean
	if a.fresh {
		r.abovePeers = g.limitByLevel(a.target, now, r.abovePeers, r.aboveLevel, r.baseline.sigma)
	}
	r.abovePeers -= a.target.latencySlack()
	return r
}

// recordResult adds the end of an attempt to the target's CUSUM tests and to the
// baselines.
func (t *Tracker) recordResult(now int64, a *openAttempt, kind attempt.Kind, r latencyComparison) {
	target := a.target
	s := sample{target: target, started: a.started, ended: now, excess: float32(r.excess), aboveLevel: float32(r.aboveLevel)}
	switch kind {
	case attempt.Answered:
		t.addSuccess(now, a, r)
		t.addToBaselines(target, s, true, r.decayWeight)
		if target.state.inRotation() {
			target.group.addLatency(a.latencyClass, r.logLatency)
		}
		if r.baseline.known && target.state == Healthy && float64(target.cusum.slowness) < maxTailScore*t.threshold {
			target.group.latencyTail.add(r.abovePeers, r.decayWeight)
		}
	case attempt.Shed:
	case attempt.Canceled, attempt.Withdrawn:
		t.addCensored(now, a)
	case attempt.TimedOut:
		if r.baseline.known && target.group.latencyTail.evidence(r.abovePeers, r.baseline.sigma, r.decayWeight) < minTimeoutTail {
			t.addCensored(now, a)
			return
		}
		s.failed = true
		t.addFailure(now, a, true)
		t.addToBaselines(target, s, false, r.decayWeight)
	default:
		s.failed = true
		t.addFailure(now, a, kind == attempt.ConnectionLost)
		t.addToBaselines(target, s, false, r.decayWeight)
	}
}

func (t *Tracker) addSuccess(now int64, a *openAttempt, r latencyComparison) {
	target := a.target
	limit := maxScoreFactor * t.threshold
	p0 := failureBaseline(target, t.total, &t.recent, now)
	target.cusum.addOutcome(false, p0, 1, limit)
	target.cusum.setRunStart(a.started)
	if r.baseline.known && target.group.size > 1 {
		step := latencyStep(target.group.latencyTail.normalized(r.abovePeers, r.baseline.sigma, r.decayWeight), r.baseline.sigma)
		target.cusum.addAnswer(a.started, r.excess, step, limit)
	}
}

// addFailure adds a failure to the CUSUM tests. Timeouts and lost connections are also
// compared with the targets of the same group, which share a network link, and have
// a reduced weight on reused connections.
func (t *Tracker) addFailure(now int64, a *openAttempt, connection bool) {
	target := a.target
	p0 := failureBaseline(target, t.total, &t.recent, now)
	weight, limit := 1.0, maxScoreFactor*t.threshold
	if connection {
		if t.noOtherOverdue(target) {
			target.unansweredAt = now
		}
		if target.group.size > 1 {
			linkRate := failureBaseline(target, target.group.total, &target.group.recent, now)
			if linkRate < unreachableRate {
				p0 = max(p0, linkRate)
			}
		}
		if !a.fresh && !target.probe.isSilent(now) {
			weight, limit = reusedWeight, maxReusedShare*t.threshold
			target.suspectUntil = now + int64(suspectTime)
		}
	}
	p0 = t.partialFailureBaseline(now, target, p0)
	target.cusum.addOutcome(true, p0, weight, limit)
	target.cusum.setRunStart(a.started)
}

// addCensored adds the age of an attempt that ended without a result, as a censored
// observation of its latency.
func (t *Tracker) addCensored(now int64, a *openAttempt) {
	step := t.ageStep(a, now, t.decayWeight(now))
	if step <= 0 || !t.peersResponding(a) {
		return
	}
	limit := maxScoreFactor * t.threshold
	if !a.fresh {
		if step >= overdueStep {
			a.target.suspectUntil = now + int64(suspectTime)
		}
		step *= reusedWeight
		limit = maxReusedShare * t.threshold
	}
	a.target.cusum.addLatencyStep(step, limit)
}

// lesserEvidenceWeight is the weight of the lower of the scores of finished and of
// pending attempts. At full weight, random peaks of both add up: a run of slow
// answers and one long attempt ejected healthy targets.
const lesserEvidenceWeight = 0.5

// rawScore returns the score from this host's own evidence, before the correction
// by the scores of the peers.
func (t *Tracker) rawScore(now int64, target *target) float64 {
	return t.combineEvidence(now, target, target.cusum.score())
}

// combineEvidence adds the evidence of attempts in flight and of probes to the score
// of the finished attempts.
func (t *Tracker) combineEvidence(now int64, target *target, finished float64) float64 {
	pendingEvidence := target.pendingEvidence.score(t.threshold)
	if silentProbeEvidence := t.silentProbeEvidence(now, target); silentProbeEvidence > 0 {
		// The unanswered probe used a new connection, so overdue attempts on reused
		// connections have full weight.
		pendingEvidence = max(target.pendingEvidence.unweighted(), 0)
		return min(max(finished, pendingEvidence)+silentProbeEvidence, maxScoreFactor*t.threshold)
	}
	both := max(finished, pendingEvidence) + lesserEvidenceWeight*min(finished, pendingEvidence)
	return min(both+float64(target.probeScore), maxScoreFactor*t.threshold)
}

// Parameters of the correction for faults that the targets share. A quantile of the
// peers' scores above minSharedShare (as a share of the threshold) indicates a
// shared fault. The part above it is subtracted with the additional weight
// sharedExcessWeight, because the random differences between scores grow in
// proportion to them. The median does not change the scores while fewer than half
// of the targets are affected.
const (
	minSharedShare = 0.1
	// latencyQuantile and failureQuantile are the quantiles of the peers' scores
	// that are subtracted as shared. For failures the median would mask faults of
	// half of the targets; a fault of all targets raises the lower quartile too.
	latencyQuantile    = 0.5
	failureQuantile    = 0.25
	sharedExcessWeight = 3
	// discardShare is the shared part (as a share of the threshold) from which a
	// score at the threshold is reduced permanently. Otherwise the score from the
	// onset of an error burst would remain after the peers' scores have fallen.
	discardShare = 0.15
)

// correctedScore returns the score of a target after the comparison with the peers'
// results and the subtraction of the part that is due to a shared fault.
func (t *Tracker) correctedScore(target *target, now int64) float64 {
	raw := t.rawScore(now, target)
	if raw < minOwnShare*t.threshold {
		return raw
	}
	raw = t.combineEvidence(now, target, t.comparedScore(now, target))
	outcome := max(target.cusum.highRate, target.cusum.lowRate)
	if target.cusum.slowness <= outcome && target.pendingEvidence.fresh <= outcome {
		return max(raw-t.sharedScore(&t.recent, target, now, failureQuantile), 0)
	}
	shared := t.sharedScore(&t.recent, target, now, latencyQuantile)
	if target.group.size > 1 {
		shared = max(shared, t.sharedScore(&target.group.recent, target, now, latencyQuantile))
	}
	return max(raw-shared, 0)
}

// sharedScore estimates the part of a target's score that is due to a shared fault:
// a quantile of the peers' scores, weighted by their number of results in recent.
func (t *Tracker) sharedScore(recent *ring, target *target, now int64, quantile float64) float64 {
	var scores [recentOutcomes]float64
	n := 0
	for s := range recent.peers(target, now-int64(recentWindow)) {
		scores[n] = min(t.rawScore(now, s.target), t.threshold)
		n++
	}
	if n == 0 {
		return 0
	}
	slices.Sort(scores[:n])
	shared := scores[int(quantile*float64(n))]
	return shared + sharedExcessWeight*max(shared-minSharedShare*t.threshold, 0)
}

// evaluate removes a target from rotation if the evidence suffices, or promotes the
// exclusion by this host alone to an ejection if other hosts agree. A ramping target
// has just passed this host's trials, so older evidence of other hosts does not
// remove it without evidence of this host.
func (t *Tracker) evaluate(now int64, target *target) []Change {
	switch {
	case target.state == Draining:
		return nil
	case target.state.removed():
		return t.confirmExclusion(now, target)
	case len(target.claims) == 0 && t.rawScore(now, target) < t.threshold:
		return nil
	}
	own := t.correctedScore(target, now)
	if raw := t.rawScore(now, target); raw >= t.threshold && raw-own >= discardShare*t.threshold {
		target.cusum.scale(own / raw)
	}
	a := t.agreement(target, now)
	h := t.threshold
	switch {
	case a.draining >= minOthers && now-target.undrainedAt >= int64(peerDrainIgnoreTime):
		return t.startDraining(now, target, "hosts")
	case own >= h && a.hosts == 0:
		return []Change{t.remove(now, target, Excluded, t.mainCause(target), own, a)}
	case own >= minOwnShare*h && own+a.fused >= h:
		return []Change{t.remove(now, target, Ejected, t.mainCause(target), own, a)}
	case a.suffices(h) && target.state == Healthy && (own >= minOwnShare*h || t.recentAttempts(target, now) < fewAttempts):
		return []Change{t.remove(now, target, Ejected, peerEvidenceCause, own, a)}
	}
	return nil
}

// confirmExclusion turns an exclusion by this host into an ejection if another host
// agrees.
func (t *Tracker) confirmExclusion(now int64, target *target) []Change {
	if target.state != Excluded {
		return nil
	}
	a := t.agreement(target, now)
	if a.hosts == 0 {
		return nil
	}
	target.state = Ejected
	return []Change{t.ejectionChange(now, target, "agreement", float64(target.removedScore), a)}
}

// mainCause returns the name of the strongest part of the evidence.
func (t *Tracker) mainCause(target *target) string {
	s := &target.cusum
	switch pendingEvidence := float32(target.pendingEvidence.score(t.threshold)); {
	case pendingEvidence > max(s.highRate, s.lowRate, s.slowness):
		return "in_flight"
	case s.slowness > max(s.highRate, s.lowRate):
		return "latency"
	default:
		return "failures"
	}
}
