package health

import (
	"math"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Evidence is what one serving host tells the others about the targets of a
// service. It travels between hosts and can arrive late, twice or never.
type Evidence struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	// Sequence grows with each report of an incarnation.
	Sequence uint64
	// SentMicros is the sender's clock in microseconds, 0 if unknown. Only
	// differences between reports of one host are used.
	SentMicros int64
	Targets    []TargetEvidence
}

// TargetEvidence is one host's view of one target.
type TargetEvidence struct {
	Target ident.TargetID
	// Score is the sequential test's statistic on that host's own attempts.
	Score float64
	// Attempts is the number of attempts that the statistic rests on.
	Attempts uint32
	// InFlight is the number of that host's attempts at the target.
	InFlight uint32
	// Draining tells that the host saw the target announce draining.
	Draining bool
}

// Parameters of the evidence of other hosts. Shares are in thresholds.
const (
	// claimLifetime is how long a report counts; reports are sent about every
	// second.
	claimLifetime = 3 * time.Second
	// delayCreep is how fast, as a fraction of time, the least delay of a host's
	// reports is forgotten, so that a step of its clock is not held against it for
	// good.
	delayCreep = 0.1
	// minReportShare is the score below which a target without attempts in flight
	// is not worth the bytes of a report.
	minReportShare = 0.1
	// maxReporters bounds the hosts that are remembered.
	maxReporters = 64
	// minClaimAttempts is the number of attempts below which a claim is ignored.
	minClaimAttempts = 3
	// agreeShare is the score at which another host counts as agreeing, and the
	// most that it adds to this host's own evidence.
	agreeShare = 0.5
	// ownShare is the least evidence of this host for a fused decision.
	ownShare = 1.0 / 3
	// othersShare is the score that each of two other hosts needs when this host
	// has no evidence of its own, and othersSum the sum of the scores of all hosts
	// that agree, which serves as well: a host that removed a target with the help
	// of another host's evidence reports a lower score.
	othersShare = 0.75
	othersSum   = 1.4
	// minOthers is the number of other hosts that agree in that case.
	minOthers = 2
	// fewAttempts is the number of this host's recent attempts above which it
	// trusts its own lack of evidence: a target may fail for some callers only.
	fewAttempts = 10
	// removedHalfLife makes this host's claim about a removed target fade down to
	// agreeShare, so that it removes no target on other hosts much later, but
	// still holds back the return on hosts that took the removal over. Those make
	// no claim, so hosts do not keep each other's ejections alive.
	removedHalfLife = 10 * time.Second
	// undrainQuiet is how long others' draining claims are ignored after the
	// target told this host that it stopped draining.
	undrainQuiet = 10 * time.Second
)

// reporter is another host.
type reporter struct {
	host        ident.HostID
	incarnation ident.Incarnation
	sequence    uint64
	received    int64
	// delay is the least difference between the clocks at receipt of a report,
	// 0 if unknown.
	delay   int64
	targets []*target
}

// claim is what a reporter's newest report says about a target.
type claim struct {
	from     *reporter
	score    float32
	draining bool
}

// agreement sums up the claims about a target that have not expired.
type agreement struct {
	// hosts is the number of other hosts that agree; fused the sum of their
	// bounded scores; strong counts the hosts whose evidence is high enough to
	// do without this host's.
	hosts, strong, draining int
	fused                   float64
	// sum is the sum of the scores of the hosts that agree.
	sum float64
}

func (t *Tracker) agreement(target *target, now int64) agreement {
	var a agreement
	for _, c := range target.claims {
		if now-c.from.received > int64(claimLifetime) {
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
		if score >= othersShare*t.threshold {
			a.strong++
		}
	}
	return a
}

// enough reports whether the other hosts' evidence removes a target that this
// host has no evidence against.
func (a agreement) enough(threshold float64) bool {
	return a.strong >= minOthers || a.strong > 0 && a.hosts >= minOthers && a.sum >= othersSum*threshold
}

// Evidence returns this host's report for the other serving hosts. It lists
// the targets with attempts in flight or with evidence against them. The
// caller sets the incarnation of this host.
func (t *Tracker) Evidence(now time.Time) Evidence {
	at := now.UnixNano()
	// The clock makes the sequence grow if this Tracker replaces an earlier one.
	t.sequence = max(t.sequence+1, uint64(max(now.UnixMicro(), 0)))
	e := Evidence{Host: t.self, Sequence: t.sequence, SentMicros: now.UnixMicro()}
	for _, target := range t.order {
		te := TargetEvidence{Target: target.ID, InFlight: target.open, Draining: target.state == Draining && target.drainSeen}
		te.Score, te.Attempts = t.ownEvidence(target, at)
		if te.Score >= minReportShare*t.threshold || te.InFlight > 0 || te.Draining {
			e.Targets = append(e.Targets, te)
		}
	}
	return e
}

// ownEvidence returns the statistic on this host's own samples.
func (t *Tracker) ownEvidence(target *target, now int64) (float64, uint32) {
	if target.state.removed() {
		if target.adopted {
			return 0, 0
		}
		fade := math.Exp2(-float64(now-target.removedAt) / float64(removedHalfLife))
		score := float64(target.removedScore)
		return max(score*fade, min(score, agreeShare*t.threshold)), target.removedAttempts
	}
	if target.state == Draining {
		return 0, 0
	}
	return min(t.corrected(target, now), t.threshold), t.recentAttempts(target, now)
}

// recentAttempts counts this host's recent attempts, those in flight included.
func (t *Tracker) recentAttempts(target *target, now int64) uint32 {
	return uint32(target.sums.n/t.weight(now)+0.5) + target.open
}

// Merge takes the report of another serving host. Reports that are older than
// one already taken, repeated or long delayed have no effect.
func (t *Tracker) Merge(now time.Time, e Evidence) []Change {
	at := now.UnixNano()
	t.now = at
	r := t.accept(at, e)
	if r == nil {
		return nil
	}
	for _, target := range r.targets {
		target.claims = slices.DeleteFunc(target.claims, func(c claim) bool { return c.from == r })
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

// accept returns the reporter of a report that is newer than its last one.
func (t *Tracker) accept(now int64, e Evidence) *reporter {
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
	r.received = now
	return r
}

// delayed reports whether a report took much longer than the fastest one. The
// difference of the clocks cancels out.
func (r *reporter) delayed(now, sentMicros int64) bool {
	if sentMicros == 0 {
		return false
	}
	delay := now - sentMicros*int64(time.Microsecond)
	if r.delay != 0 {
		r.delay += int64(delayCreep * float64(max(now-r.received, 0)))
	}
	if r.delay == 0 || delay < r.delay {
		r.delay = delay
	}
	return delay-r.delay > int64(claimLifetime)
}

func (t *Tracker) dropOldestReporter() {
	var oldest *reporter
	for _, r := range t.reporters {
		if oldest == nil || r.received < oldest.received || r.received == oldest.received && r.host < oldest.host {
			oldest = r
		}
	}
	for _, target := range oldest.targets {
		target.claims = slices.DeleteFunc(target.claims, func(c claim) bool { return c.from == oldest })
	}
	delete(t.reporters, oldest.host)
}

// claim stores a report's entry if it speaks against the target.
func (t *Tracker) claim(r *reporter, te TargetEvidence) {
	target := t.targets[te.Target]
	if target == nil || slices.ContainsFunc(target.claims, func(c claim) bool { return c.from == r }) {
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
	target.claims = append(target.claims, claim{from: r, score: float32(score), draining: te.Draining})
	r.targets = append(r.targets, target)
}
