package health

import (
	"math"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Evidence is the report of one serving host to the others about the targets of a
// service. Reports can be delayed, duplicated or lost.
type Evidence struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	// Sequence increases with each report of an incarnation.
	Sequence uint64
	// SentMicros is the sender's clock in microseconds, 0 if unknown. Only
	// differences between reports of one host are used.
	SentMicros int64
	Targets    []TargetEvidence
}

// TargetEvidence is one host's view of one target.
type TargetEvidence struct {
	Target ident.TargetID
	// Score is the test statistic from that host's own attempts.
	Score float64
	// Attempts is the number of attempts that the score is based on.
	Attempts uint32
	// InFlight is the number of that host's attempts in flight at the target.
	InFlight uint32
	// Draining reports whether the host saw the target announce draining.
	Draining bool
}

// Parameters of the evidence of other hosts. Shares are fractions of the threshold.
const (
	// claimLifetime is how long a report is valid; reports are sent about every
	// second.
	claimLifetime = 3 * time.Second
	// minDelayDrift is the rate, as a fraction of elapsed time, at which the minimum
	// delay of a host's reports is raised, so that a step of its clock does not
	// invalidate its reports permanently.
	minDelayDrift = 0.1
	// minReportShare is the score below which a target without attempts in flight
	// is left out of a report to limit its size.
	minReportShare = 0.1
	// maxReporters is the maximum number of reporting hosts that are tracked.
	maxReporters = 64
	// minClaimAttempts is the number of attempts below which the score of a claim is
	// ignored.
	minClaimAttempts = 3
	// agreeShare is the score from which another host counts as agreeing, and the
	// amount that it adds to this host's own evidence.
	agreeShare = 0.5
	// minOwnShare is the minimum evidence of this host for a decision on fused
	// evidence.
	minOwnShare = 1.0 / 3
	// strongShare is the score that each of two other hosts needs when this host has
	// no evidence of its own. If only one has it, minOthersSum is the sum of the
	// scores of all agreeing hosts that suffices instead: a host that removed a
	// target with the help of another host's evidence reports a lower score.
	strongShare  = 0.75
	minOthersSum = 1.4
	// minOthers is the minimum number of agreeing hosts in that case.
	minOthers = 2
	// fewAttempts is the number of this host's recent attempts from which its own
	// lack of evidence prevails: a target may fail for some callers only.
	fewAttempts = 10
	// removedScoreHalfLife is the half-life with which the reported score of a
	// removed target decays down to agreeShare. The decayed score does not remove the
	// target on other hosts much later, but still delays its return on hosts that
	// removed it on the evidence of others. Those report no score, so hosts do not
	// prolong each other's ejections.
	removedScoreHalfLife = 10 * time.Second
	// peerDrainIgnoreTime is how long other hosts' draining claims are ignored after
	// the target announced to this host that it stopped draining.
	peerDrainIgnoreTime = 10 * time.Second
)

// reporter is another host that sends reports.
type reporter struct {
	host        ident.HostID
	incarnation ident.Incarnation
	sequence    uint64
	receivedAt  int64
	// delay is the minimum of receive time minus send time over the reports, which
	// includes the offset between the clocks; 0 if unknown.
	delay   int64
	targets []*target
}

// claim is the stored TargetEvidence of a target from the newest report of a host.
type claim struct {
	sender   *reporter
	score    float32
	draining bool
}

// agreement summarizes the claims about a target that have not expired.
type agreement struct {
	// hosts is the number of other hosts that agree, fused the sum of their bounded
	// scores, strong the number of hosts with a score of at least strongShare, and
	// draining the number of hosts that saw the target announce draining.
	hosts, strong, draining int
	fused                   float64
	// sum is the sum of the scores of the agreeing hosts.
	sum float64
}

// agreement summarizes the valid claims about a target.
func (t *Tracker) agreement(target *target, now int64) agreement {
	var a agreement
	for _, c := range target.claims {
		if now-c.sender.receivedAt > int64(claimLifetime) {
			continue
		}
		if c.draining {
			a.draining++
		}
		score := float64(c.score)
		if score >= agreeShare*t.threshold {
			a.hosts++
			a.fused += agreeShare * t.threshold
			a.sum += score
		}
		if score >= strongShare*t.threshold {
			a.strong++
		}
	}
	return a
}

// suffices reports whether the other hosts' evidence is enough to remove a target
// without evidence of this host.
func (a agreement) suffices(threshold float64) bool {
	return a.strong >= minOthers || a.strong > 0 && a.hosts >= minOthers && a.sum >= minOthersSum*threshold
}

// Evidence returns this host's report for the other serving hosts. It lists
// the targets with attempts in flight or with evidence against them. The
// caller sets the incarnation of this host.
func (t *Tracker) Evidence(now time.Time) Evidence {
	at := now.UnixNano()
	// The clock keeps the sequence increasing if this Tracker replaces an earlier one.
	t.sequence = max(t.sequence+1, uint64(max(now.UnixMicro(), 0)))
	e := Evidence{Host: t.self, Sequence: t.sequence, SentMicros: now.UnixMicro()}
	for _, target := range t.order {
		te := TargetEvidence{Target: target.ID, InFlight: target.open, Draining: target.state == Draining && target.drainObserved}
		te.Score, te.Attempts = t.ownEvidence(target, at)
		if te.Score >= minReportShare*t.threshold || te.InFlight > 0 || te.Draining {
			e.Targets = append(e.Targets, te)
		}
	}
	return e
}

// ownEvidence returns the score from this host's own attempts and their number.
func (t *Tracker) ownEvidence(target *target, now int64) (float64, uint32) {
	if target.state.removed() {
		if target.removedByPeers {
			return 0, 0
		}
		fade := math.Exp2(-float64(now-target.removedAt) / float64(removedScoreHalfLife))
		score := float64(target.removedScore)
		return max(score*fade, min(score, agreeShare*t.threshold)), target.removedAttempts
	}
	if target.state == Draining {
		return 0, 0
	}
	return min(t.correctedScore(target, now), t.threshold), t.recentAttempts(target, now)
}

// recentAttempts returns the number of this host's recent attempts, including those
// in flight.
func (t *Tracker) recentAttempts(target *target, now int64) uint32 {
	return uint32(target.decayedSums.count/t.decayWeight(now)+0.5) + target.open
}

// Merge processes the report of another serving host. Reports that are duplicated,
// delayed by more than claimLifetime, or older than one already processed have no
// effect.
func (t *Tracker) Merge(now time.Time, e Evidence) []Change {
	at := now.UnixNano()
	t.now = at
	r := t.acceptReport(at, e)
	if r == nil {
		return nil
	}
	for _, target := range r.targets {
		target.claims = slices.DeleteFunc(target.claims, func(c claim) bool { return c.sender == r })
	}
	r.targets = r.targets[:0]
	for _, te := range e.Targets {
		t.claim(r, te)
	}
	var changes []Change
	for _, target := range r.targets {
		changes = append(changes, t.evaluate(at, target)...)
	}
	t.rebuildIfDirty()
	return changes
}

// acceptReport records a report as the newest one of its host and returns the host,
// or nil if the report has to be ignored.
func (t *Tracker) acceptReport(now int64, e Evidence) *reporter {
	if e.Host == t.self || e.Host == "" {
		return nil
	}
	r := t.reporters[e.Host]
	if r == nil {
		if len(t.reporters) >= maxReporters {
			t.dropOldestReporter()
		}
		r = &reporter{host: e.Host}
		t.reporters[e.Host] = r
	} else if e.Incarnation < r.incarnation || e.Incarnation == r.incarnation && e.Sequence <= r.sequence {
		return nil
	}
	if e.Incarnation != r.incarnation {
		r.delay = 0
	}
	delayed := r.delayed(now, e.SentMicros)
	r.incarnation, r.sequence = e.Incarnation, e.Sequence
	if delayed {
		return nil
	}
	r.receivedAt = now
	return r
}

// delayed reports whether a report took much longer than the fastest one. The offset
// between the clocks cancels out.
func (r *reporter) delayed(now, sentMicros int64) bool {
	if sentMicros == 0 {
		return false
	}
	delay := now - sentMicros*int64(time.Microsecond)
	if r.delay != 0 {
		r.delay += int64(minDelayDrift * float64(max(now-r.receivedAt, 0)))
	}
	if r.delay == 0 || delay < r.delay {
		r.delay = delay
	}
	return delay-r.delay > int64(claimLifetime)
}

func (t *Tracker) dropOldestReporter() {
	var oldest *reporter
	for _, r := range t.reporters {
		if oldest == nil || r.receivedAt < oldest.receivedAt || r.receivedAt == oldest.receivedAt && r.host < oldest.host {
			oldest = r
		}
	}
	for _, target := range oldest.targets {
		target.claims = slices.DeleteFunc(target.claims, func(c claim) bool { return c.sender == oldest })
	}
	delete(t.reporters, oldest.host)
}

// claim stores an entry of a report if it is evidence against the target or reports
// that it drains.
func (t *Tracker) claim(r *reporter, te TargetEvidence) {
	target := t.targets[te.Target]
	if target == nil || slices.ContainsFunc(target.claims, func(c claim) bool { return c.sender == r }) {
		return
	}
	score := te.Score
	if !(score > 0) || te.Attempts < minClaimAttempts {
		score = 0
	}
	score = min(score, t.threshold)
	if score < agreeShare*t.threshold && !te.Draining {
		return
	}
	target.claims = append(target.claims, claim{sender: r, score: float32(score), draining: te.Draining})
	r.targets = append(r.targets, target)
}
