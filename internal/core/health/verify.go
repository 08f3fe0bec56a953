package health

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Parameters of verification probes, which test whether a target stopped responding.
// Such a target keeps an attempt in flight, which makes it the most loaded candidate, so
// it gets no second attempt until the first one times out. Without a probe there would
// be too little evidence within the first second.
const (
	// verifyInterval is the minimum time between two such probes of a target.
	verifyInterval = 500 * time.Millisecond
	// A probe counts as unanswered from an age of probeSilenceFactor times the mean
	// probe time, and at least minProbeSilence.
	minProbeSilence    = 200 * time.Millisecond
	probeSilenceFactor = 4
	// probeSilenceShare is the evidence of an unanswered probe as a share of the
	// threshold. It removes a target only together with an overdue attempt whose
	// evidence is about that of one failure, or with another host that agrees.
	probeSilenceShare = 0.75
	// probeFailureLifetime is how long a failed probe of a target whose probes passed
	// before counts like an unanswered one. At a few requests a minute, it is the only
	// evidence besides a single attempt. It is limited because a probe endpoint may
	// break permanently.
	probeFailureLifetime = 2 * time.Minute
	// unansweredLifetime is how long an attempt that ended without a response supports
	// the evidence of failed probes.
	unansweredLifetime = 10 * time.Second
	// probeMeanGain is the weight of a new sample in the mean probe time.
	probeMeanGain = 1.0 / 8
)

// probeState is the state of the probes of a target. Times are in nanoseconds since the
// Unix epoch, 0 if there is none.
type probeState struct {
	sent, lastSent, failedUntil int64
	mean                        time.Duration
	// reliable reports whether the last finished probe passed. If the probes always
	// fail, an unanswered one is not evidence.
	reliable bool
	// failing reports whether the last finished probe failed.
	failing bool
}

// ProbeStarted records the start of a probe.
func (t *Tracker) ProbeStarted(now time.Time, id ident.TargetID) {
	if target := t.targets[id]; target != nil {
		target.probe.sent = now.UnixNano()
		target.probe.lastSent = target.probe.sent
	}
}

// ProbeSkipped cancels a ProbeStarted whose probe was not sent.
func (t *Tracker) ProbeSkipped(id ident.TargetID) {
	if target := t.targets[id]; target != nil {
		target.probe.sent = 0
	}
}

func (p *probeState) ended(now int64, ok bool, took time.Duration) {
	p.sent = 0
	p.failing = !ok
	if !ok {
		if p.reliable {
			p.failedUntil = now + int64(probeFailureLifetime)
		}
		p.reliable = false
		return
	}
	p.reliable, p.failedUntil = true, 0
	if p.mean == 0 {
		p.mean = took
	}
	p.mean += time.Duration(float64(took-p.mean) * probeMeanGain)
}

// isSilent reports whether the probes show that the target does not respond.
func (p *probeState) isSilent(now int64) bool {
	if now < p.failedUntil {
		return true
	}
	limit := max(minProbeSilence, probeSilenceFactor*p.mean)
	return p.reliable && p.sent != 0 && now-p.sent >= int64(limit)
}

// otherFailingProbes returns the number of other targets whose last probe failed.
func (t *Tracker) otherFailingProbes(target *target) int {
	if target.probe.failing {
		return t.failingProbes - 1
	}
	return t.failingProbes
}

// updateFailingProbes updates the number of targets whose last probe failed.
func (t *Tracker) updateFailingProbes(before, after bool) {
	switch {
	case after && !before:
		t.failingProbes++
	case before && !after:
		t.failingProbes--
	}
}

// DueProbes returns the targets in rotation that a verification probe should test now,
// because an attempt is overdue or another host has evidence against them.
func (t *Tracker) DueProbes(now time.Time) []ident.TargetID {
	if t.cfg.ProbeInterval <= 0 {
		return nil
	}
	at := now.UnixNano()
	var list []ident.TargetID
	for _, target := range t.overdue {
		if t.mayVerify(at, target) && target.pendingEvidence.unweighted() >= overdueStep {
			list = append(list, target.ID)
		}
	}
	for _, r := range t.reporters {
		for _, target := range r.targets {
			if t.mayVerify(at, target) && target.pendingEvidence.unweighted() < overdueStep && t.agreement(target, at).hosts > 0 {
				list = append(list, target.ID)
			}
		}
	}
	return t.sortByIndex(list)
}

// sortByIndex sorts targets in document order and removes duplicates.
func (t *Tracker) sortByIndex(list []ident.TargetID) []ident.TargetID {
	slices.SortFunc(list, func(a, b ident.TargetID) int { return byIndex(t.targets[a], t.targets[b]) })
	return slices.Compact(list)
}

// noOtherOverdue reports whether no other target had overdue attempts at the last tick.
// Otherwise a stall of the service is more likely.
func (t *Tracker) noOtherOverdue(target *target) bool {
	return len(t.overdue) == 0 || len(t.overdue) == 1 && t.overdue[0] == target
}

func (t *Tracker) mayVerify(now int64, target *target) bool {
	p := &target.probe
	return target.state.inRotation() && p.reliable && p.sent == 0 && now-p.lastSent >= int64(verifyInterval)
}

// silentProbeEvidence returns the evidence of an unanswered or failed probe. It requires
// an overdue attempt while the peers respond, an attempt that ended without a response,
// or another host that agrees.
func (t *Tracker) silentProbeEvidence(now int64, target *target) float64 {
	if !target.probe.isSilent(now) || target.answeredAt > target.probe.lastSent {
		return 0
	}
	if 2*t.otherFailingProbes(target) >= len(t.order)-1 {
		// The probes of at least half of the peers fail too.
		return 0
	}
	unanswered := target.unansweredAt != 0 && now-target.unansweredAt <= int64(unansweredLifetime)
	if target.pendingEvidence.unweighted() < overdueStep && !unanswered && t.agreement(target, now).hosts == 0 {
		return 0
	}
	return probeSilenceShare * t.threshold
}

// hasRecentClaims reports whether a valid report of another host has evidence against a
// target.
func (t *Tracker) hasRecentClaims(now int64) bool {
	for _, r := range t.reporters {
		if len(r.targets) > 0 && now-r.receivedAt <= int64(claimLifetime) {
			return true
		}
	}
	return false
}

// silentClaimed returns the targets in rotation that do not respond to probes and that
// another host has evidence against, in document order.
func (t *Tracker) silentClaimed(now int64) []*target {
	var list []*target
	for _, r := range t.reporters {
		for _, target := range r.targets {
			if target.state.inRotation() && target.probe.isSilent(now) {
				list = append(list, target)
			}
		}
	}
	slices.SortFunc(list, byIndex)
	return slices.Compact(list)
}
