package health

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// minTimeoutTail is -ln P(latency > age) below which a timeout is no failure:
// the caller's deadline was short, and more than 5% of the peers' answers take
// that long.
const minTimeoutTail = 3.0

// unreachableRate is the failure rate of a group above which its link counts as
// broken rather than slow, and its targets are compared with the whole service.
const unreachableRate = 0.9

// finish turns the end of an attempt into evidence.
func (t *Tracker) finish(now int64, a *openAttempt, res attempt.Result) []Change {
	target := a.target
	switch res.Kind {
	case attempt.Answered, attempt.ServerError, attempt.BadAnswer, attempt.Shed, attempt.Draining:
		target.answered++
		target.answeredAt = now
	}
	if res.Kind == attempt.Draining {
		if a.trial && a.started == target.trialAt {
			target.trialOpen = false
		}
		target.drainResponse = now
		return t.drain(now, target, "response")
	}
	r := t.relate(now, a, res)
	if a.trial {
		return t.finishTrial(now, a, res, r.above, r.baseline.known)
	}
	if target.state == Draining {
		return nil
	}
	target.stat.fade(now)
	t.count(now, a, res.Kind, r)
	return t.evaluate(now, target)
}

// relation compares an attempt's latency with those of the peers.
type relation struct {
	baseline latencyBaseline
	// weight is that of a result now.
	weight float64
	// log is the log latency; excess is what it has above the center of its
	// profile, and above what it has above the peers, too.
	log, excess, above float64
	center             *center
}

func (t *Tracker) relate(now int64, a *openAttempt, res attempt.Result) relation {
	g := a.target.group
	latency := res.FirstByte
	if latency <= 0 {
		latency = time.Duration(now - a.started)
	}
	r := relation{weight: t.weight(now), log: g.logSeconds(latency), center: &g.centers[a.profile]}
	r.baseline = g.longBaseline(a.target, r.weight).withRecent(a.target, now)
	if r.center.n != 0 {
		r.excess = r.log - r.center.mean
	}
	r.above = r.excess - r.baseline.mean - a.target.slack()
	return r
}

// count adds the end of an attempt to the statistics and the baselines.
func (t *Tracker) count(now int64, a *openAttempt, kind attempt.Kind, r relation) {
	target := a.target
	s := sample{target: target, started: a.started, ended: now, excess: float32(r.excess)}
	switch kind {
	case attempt.Answered:
		t.succeeded(now, a, r.excess, r.above, r.baseline, r.weight)
		t.learn(target, s, true, r.weight)
		if target.state.inRotation() {
			r.center.add(r.log)
		}
		if r.baseline.known && target.state == Healthy && float64(target.stat.slow) < maxTailScore*t.threshold {
			target.group.tail.add(r.above, r.weight)
		}
	case attempt.Shed:
	case attempt.Canceled:
		t.censored(now, a)
	case attempt.TimedOut:
		if r.baseline.known && target.group.tail.evidence(r.above, r.baseline.sigma, r.weight) < minTimeoutTail {
			t.censored(now, a)
			return
		}
		s.failed = true
		t.failed(now, a, true)
		t.learn(target, s, false, r.weight)
	default:
		s.failed = true
		t.failed(now, a, kind == attempt.ConnectionLost)
		t.learn(target, s, false, r.weight)
	}
}

func (t *Tracker) succeeded(now int64, a *openAttempt, excess, above float64, b latencyBaseline, weight float64) {
	target := a.target
	limit := maxScoreFactor * t.threshold
	p0 := failureBaseline(target, t.total, &t.recent, now)
	target.stat.outcome(false, p0, 1, limit)
	target.stat.startRun(a.started)
	if b.known && target.group.size > 1 {
		step := latencyStep(target.group.tail.normalized(above, b.sigma, weight), b.sigma)
		target.stat.answer(a.started, excess, step, limit)
	}
}

// failed adds a failure. Silence and breaks are compared with the targets of
// the same group, which share a link, and on reused connections count little.
func (t *Tracker) failed(now int64, a *openAttempt, connection bool) {
	target := a.target
	p0 := failureBaseline(target, t.total, &t.recent, now)
	weight, limit := 1.0, maxScoreFactor*t.threshold
	if connection {
		if t.overdueAlone(target) {
			target.unansweredAt = now
		}
		if target.group.size > 1 {
			linkRate := failureBaseline(target, target.group.total, &target.group.recent, now)
			if linkRate < unreachableRate {
				p0 = max(p0, linkRate)
			}
		}
		if !a.fresh && !target.probe.silent(now) {
			weight, limit = reusedWeight, maxReusedShare*t.threshold
			target.suspectTill = now + int64(suspectTime)
		}
	}
	p0 = t.unlessPartial(now, target, p0)
	target.stat.outcome(true, p0, weight, limit)
	target.stat.startRun(a.started)
}

// censored adds the age of an attempt that ended without a result.
func (t *Tracker) censored(now int64, a *openAttempt) {
	step := t.ageStep(a, now, t.weight(now))
	if step <= 0 || !t.peersAnswer(a) {
		return
	}
	limit := maxScoreFactor * t.threshold
	if !a.fresh {
		if step >= overdueStep {
			a.target.suspectTill = now + int64(suspectTime)
		}
		step *= reusedWeight
		limit = maxReusedShare * t.threshold
	}
	a.target.stat.latency(step, limit)
}

// minorShare is the weight of the lesser of the finished and the pending
// evidence. At full weight, chance peaks of both add up: a run of slow answers
// and one long attempt ejected healthy targets.
const minorShare = 0.5

// rawScore is the evidence of this host alone, not yet compared with the
// scores of the peers.
func (t *Tracker) rawScore(now int64, target *target) float64 {
	return t.combine(now, target, target.stat.score())
}

// combine adds the evidence of attempts in flight and of probes to that of
// finished attempts.
func (t *Tracker) combine(now int64, target *target, finished float64) float64 {
	pending := target.pending.score(t.threshold)
	if silence := t.silence(now, target); silence > 0 {
		// The silent probe used a new connection, so the silence of reused ones
		// counts in full.
		pending = max(target.pending.steps(), 0)
		return min(max(finished, pending)+silence, maxScoreFactor*t.threshold)
	}
	both := max(finished, pending) + minorShare*min(finished, pending)
	return min(both+float64(target.probeScore), maxScoreFactor*t.threshold)
}

// A median score of the peers above sharedShare (in thresholds) shows a cause
// that the targets share. The part above it is subtracted sharedWeight times
// more, because the scores differ by chance in proportion. The median leaves
// the scores alone while fewer than half of the targets fail.
const (
	sharedShare = 0.1
	// latencyQuantile and failureQuantile are the quantiles of the peers' scores
	// that count as shared. Half of the targets may fail on their own, so a median
	// would hide them; a cause that all share raises the lower quartile too.
	latencyQuantile = 0.5
	failureQuantile = 0.25
	sharedWeight    = 3
	// discardShare is the shared part from which a score at the threshold is
	// reduced for good. Otherwise the first excess of an error burst is left over
	// when the peers' scores have fallen.
	discardShare = 0.15
)

// corrected subtracts the median score of the peers, weighted by their recent
// traffic.
func (t *Tracker) corrected(target *target, now int64) float64 {
	raw := t.rawScore(now, target)
	if raw < ownShare*t.threshold {
		return raw
	}
	raw = t.combine(now, target, t.comparedScore(now, target))
	outcome := max(target.stat.burst, target.stat.leak)
	if target.stat.slow <= outcome && target.pending.fresh <= outcome {
		return max(raw-t.sharedScore(&t.recent, target, now, failureQuantile), 0)
	}
	shared := t.sharedScore(&t.recent, target, now, latencyQuantile)
	if target.group.size > 1 {
		shared = max(shared, t.sharedScore(&target.group.recent, target, now, latencyQuantile))
	}
	return max(raw-shared, 0)
}

// sharedScore is the part of a target's score that is due to a shared cause,
// from the scores of the targets with recent results in a ring.
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
	return shared + sharedWeight*max(shared-sharedShare*t.threshold, 0)
}

// evaluate decides whether a target leaves rotation, or whether a target that
// this host excluded alone counts as ejected by agreement. A ramping target has
// just passed this host's trials, so other hosts' older evidence alone does not
// remove it.
func (t *Tracker) evaluate(now int64, target *target) []Change {
	switch {
	case target.state == Draining:
		return nil
	case target.state.removed():
		return t.upgrade(now, target)
	case len(target.claims) == 0 && t.rawScore(now, target) < t.threshold:
		return nil
	}
	own := t.corrected(target, now)
	if raw := t.rawScore(now, target); raw >= t.threshold && raw-own >= discardShare*t.threshold {
		target.stat.scale(own / raw)
	}
	a := t.agreement(target, now)
	h := t.threshold
	switch {
	case a.draining >= minOthers && now-target.undrainedAt >= int64(undrainQuiet):
		return t.drain(now, target, "hosts")
	case own >= h && a.hosts == 0:
		return []Change{t.remove(now, target, Excluded, t.cause(target), own, a)}
	case own >= ownShare*h && own+a.fused >= h:
		return []Change{t.remove(now, target, Ejected, t.cause(target), own, a)}
	case a.enough(h) && target.state == Healthy && (own >= ownShare*h || t.recentAttempts(target, now) < fewAttempts):
		return []Change{t.remove(now, target, Ejected, adoptedCause, own, a)}
	}
	return nil
}

// upgrade turns an exclusion by this host into an ejection when others agree.
func (t *Tracker) upgrade(now int64, target *target) []Change {
	if target.state != Excluded {
		return nil
	}
	a := t.agreement(target, now)
	if a.hosts == 0 {
		return nil
	}
	target.state = Ejected
	return []Change{t.ejection(now, target, "agreement", float64(target.removedScore), a)}
}

// cause names the part of the evidence that weighs most.
func (t *Tracker) cause(target *target) string {
	s := &target.stat
	switch pending := float32(target.pending.score(t.threshold)); {
	case pending > max(s.burst, s.leak, s.slow):
		return "in_flight"
	case s.slow > max(s.burst, s.leak):
		return "latency"
	default:
		return "failures"
	}
}
