package health

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Parameters of probes that confirm silence. A target that stops responding
// keeps an attempt in flight, which makes it the most loaded candidate, so it
// gets no second attempt until the first one times out. Without a probe there
// would be too little evidence within the first second.
const (
	// verifyInterval is the least time between two such probes of a target.
	verifyInterval = 500 * time.Millisecond
	// minProbeSilence and probeSilenceFactor (in mean probe times) give the age
	// at which a probe counts as silent.
	minProbeSilence    = 200 * time.Millisecond
	probeSilenceFactor = 4
	// probeSilenceShare is the evidence of a silent probe in thresholds. Alone it
	// removes no target; with an attempt that is overdue by about one failure, or
	// with another host that agrees, it does.
	probeSilenceShare = 0.75
	// probeFailureMemory is how long failing probes of a target whose probes
	// passed before count like a silent one. At a few requests a minute, they are
	// all there is beside a single attempt. It is bounded because a probe endpoint
	// may break for good.
	probeFailureMemory = 2 * time.Minute
	// unansweredMemory is how long an attempt that ended without a response counts
	// beside failing probes.
	unansweredMemory = 10 * time.Second
	// probeMeanGain is the weight of a new sample in the mean probe time.
	probeMeanGain = 1.0 / 8
)

// probeState is what is known about the probes of a target. Times are in
// nanoseconds since the Unix epoch, 0 if there is none.
type probeState struct {
	sent, lastSent, failedTill int64
	mean                       time.Duration
	// reliable tells that the last probe that ended passed. A target whose probes
	// always fail tells nothing by it.
	reliable bool
	// failing tells that the last probe failed.
	failing bool
}

// ProbeStarted records the start of a probe.
func (t *Tracker) ProbeStarted(now time.Time, id ident.TargetID) {
	if target := t.targets[id]; target != nil {
		target.probe.sent = now.UnixNano()
		target.probe.lastSent = target.probe.sent
	}
}

// ProbeSkipped records that a probe was not sent after all.
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
			p.failedTill = now + int64(probeFailureMemory)
		}
		p.reliable = false
		return
	}
	p.reliable, p.failedTill = true, 0
	if p.mean == 0 {
		p.mean = took
	}
	p.mean += time.Duration(float64(took-p.mean) * probeMeanGain)
}

// silent reports whether probes tell that the target does not respond.
func (p *probeState) silent(now int64) bool {
	if now < p.failedTill {
		return true
	}
	limit := max(minProbeSilence, probeSilenceFactor*p.mean)
	return p.reliable && p.sent != 0 && now-p.sent >= int64(limit)
}

// failingBeside returns the number of other targets whose probes fail.
func (t *Tracker) failingBeside(target *target) int {
	if target.probe.failing {
		return t.failingProbes - 1
	}
	return t.failingProbes
}

// countFailing keeps the number of targets whose probes fail.
func (t *Tracker) countFailing(before, after bool) {
	switch {
	case after && !before:
		t.failingProbes++
	case before && !after:
		t.failingProbes--
	}
}

// Verify returns the targets in rotation that a probe should test now, because
// an attempt is overdue or another host has evidence against them.
func (t *Tracker) DueProbes(now time.Time) []ident.TargetID {
	if t.cfg.ProbeInterval <= 0 {
		return nil
	}
	at := now.UnixNano()
	var list []ident.TargetID
	for _, target := range t.overdue {
		if t.verifiable(at, target) && target.pending.steps() >= overdueStep {
			list = append(list, target.ID)
		}
	}
	for _, r := range t.reporters {
		for _, target := range r.targets {
			if t.verifiable(at, target) && target.pending.steps() < overdueStep && t.agreement(target, at).hosts > 0 {
				list = append(list, target.ID)
			}
		}
	}
	return t.sorted(list)
}

// sorted orders targets as in the document, without duplicates.
func (t *Tracker) sorted(list []ident.TargetID) []ident.TargetID {
	slices.SortFunc(list, func(a, b ident.TargetID) int { return byIndex(t.targets[a], t.targets[b]) })
	return slices.Compact(list)
}

// overdueAlone reports whether no other target had overdue attempts at the last
// tick. Otherwise a stall of the service is more likely.
func (t *Tracker) overdueAlone(target *target) bool {
	return len(t.overdue) == 0 || len(t.overdue) == 1 && t.overdue[0] == target
}

func (t *Tracker) verifiable(now int64, target *target) bool {
	p := &target.probe
	return target.state.inRotation() && p.reliable && p.sent == 0 && now-p.lastSent >= int64(verifyInterval)
}

// silence is the evidence of a silent probe. It needs an attempt whose silence
// concerns this target alone, one that ended without a response, or another host
// that agrees.
func (t *Tracker) silence(now int64, target *target) float64 {
	if !target.probe.silent(now) || target.answeredAt > target.probe.lastSent {
		return 0
	}
	if 2*t.failingBeside(target) >= len(t.order)-1 {
		// Probes of half of the peers fail too.
		return 0
	}
	unanswered := target.unansweredAt != 0 && now-target.unansweredAt <= int64(unansweredMemory)
	if target.pending.steps() < overdueStep && !unanswered && t.agreement(target, now).hosts == 0 {
		return 0
	}
	return probeSilenceShare * t.threshold
}

// claimed reports whether another host has evidence against a target.
func (t *Tracker) claimed(now int64) bool {
	for _, r := range t.reporters {
		if len(r.targets) > 0 && now-r.received <= int64(claimLifetime) {
			return true
		}
	}
	return false
}

// probedOnClaim returns the targets that are silent to a probe and that another
// host has evidence against, in document order.
func (t *Tracker) probedOnClaim(now int64) []*target {
	var list []*target
	for _, r := range t.reporters {
		for _, target := range r.targets {
			if target.state.inRotation() && target.probe.silent(now) {
				list = append(list, target)
			}
		}
	}
	slices.SortFunc(list, byIndex)
	return slices.Compact(list)
}
