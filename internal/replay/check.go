package replay

import (
	"fmt"
	"time"
)

// expectationCheck checks one expected outcome against the attempts and requests
// of a run.
type expectationCheck interface {
	// attemptStarted is called for each attempt, before it is added to its request.
	attemptStarted(at time.Duration, att *attemptState, trial bool)
	// requestEnded is called once for each request.
	requestEnded(r *request, o outcome)
	// verdict is called at the end of the run. The detail describes what was
	// measured.
	verdict(sim *simulation) (pass bool, detail string)
}

// newCheck returns the check of an expect line. The parser rejects unknown kinds,
// so the default case is "false-ejections".
func newCheck(e Expectation) expectationCheck {
	base := checkBase{expectation: e}
	switch e.Kind {
	case "out":
		return &outCheck{checkBase: base, senders: map[senderKey]bool{}}
	case "back":
		return &backCheck{base}
	case "detect":
		return &detectCheck{base}
	case "never-out":
		return &neverOutCheck{base}
	case "no-work":
		return &noWorkCheck{checkBase: base, targets: indexSet(e.Targets)}
	case "floor":
		return &floorCheck{base}
	case "attempts":
		return &attemptsCheck{checkBase: base}
	case "no-repeat":
		return &noRepeatCheck{checkBase: base}
	case "refusals":
		return &shareCheck{checkBase: base, wanted: outcomeRefused}
	case "success":
		return &shareCheck{checkBase: base, wanted: outcomeSuccess}
	default:
		return &falseEjectionCheck{base}
	}
}

// checkBase ignores attempts and requests. Checks embed it and override what they
// need.
type checkBase struct{ expectation Expectation }

func (checkBase) attemptStarted(time.Duration, *attemptState, bool) {}

func (checkBase) requestEnded(*request, outcome) {}

func (c *checkBase) includesRequest(r *request) bool {
	return (c.expectation.Class == "" || c.expectation.Class == r.class.Name) && c.expectation.includesTime(r.arrivedAt)
}

type senderKey struct {
	host   *host
	target int
}

// outCheck requires that each target was out of rotation at some time during the
// period on at least the given share of the hosts.
type outCheck struct {
	checkBase
	senders map[senderKey]bool
}

func (c *outCheck) attemptStarted(at time.Duration, att *attemptState, trial bool) {
	if !trial && at >= c.expectation.From && at <= c.expectation.To {
		c.senders[senderKey{att.host, att.target.index}] = true
	}
}

func (c *outCheck) verdict(sim *simulation) (bool, string) {
	pass := true
	detail := ""
	for _, target := range c.expectation.Targets {
		out, total := c.countHosts(sim, target)
		ok := total > 0 && float64(out) >= c.expectation.Share*float64(total)
		pass = pass && ok
		if !ok || detail == "" {
			detail = fmt.Sprintf("%s out on %d of %d hosts", sim.trace.Targets[target].ID, out, total)
		}
	}
	return pass, detail
}

func (c *outCheck) countHosts(sim *simulation, target int) (out, total int) {
	for _, h := range sim.metrics.hosts {
		if !c.expectation.includesHost(h.index) || !h.acceptedAt(c.expectation.To) {
			continue
		}
		if c.expectation.SendersOnly && !c.senders[senderKey{h, target}] {
			continue
		}
		total++
		if sim.metrics.wasOut(h, target, c.expectation.From, c.expectation.To) {
			out++
		}
	}
	return out, total
}

// wasOut reports whether a target was out of rotation on a host at some time
// during a period.
func (m *runMetrics) wasOut(h *host, target int, from, to time.Duration) bool {
	for _, period := range m.outPeriods {
		if period.host == h && period.target == target && period.from <= to && period.to >= from {
			return true
		}
	}
	return false
}

// acceptedAt reports whether the host accepted requests at a time.
func (h *host) acceptedAt(at time.Duration) bool {
	return h.startedAt <= at && (h.leftAt == never || h.leftAt > at)
}

// backCheck requires that targets are in rotation at a time on at least the given
// share of the hosts.
type backCheck struct{ checkBase }

func (c *backCheck) verdict(sim *simulation) (bool, string) {
	back, total := 0, 0
	for _, h := range sim.metrics.hosts {
		if !c.expectation.includesHost(h.index) || !h.acceptedAt(c.expectation.To) {
			continue
		}
		for _, target := range c.expectation.Targets {
			total++
			if !sim.metrics.wasOut(h, target, c.expectation.To, c.expectation.To) {
				back++
			}
		}
	}
	return total > 0 && float64(back) >= c.expectation.Share*float64(total), fmt.Sprintf("back on %d of %d (host, target)", back, total)
}

// detectCheck bounds the detection time of a share of the hosts.
type detectCheck struct{ checkBase }

func (c *detectCheck) verdict(sim *simulation) (bool, string) {
	var worst time.Duration
	within, total := 0, 0
	for _, target := range c.expectation.Targets {
		for _, d := range sim.metrics.detectionTimes(target, c.expectation.includesHost) {
			worst = max(worst, d)
			total++
			if d <= c.expectation.Within {
				within++
			}
		}
	}
	if total == 0 {
		removed := c.countRemovedInTime(sim)
		return removed > 0, fmt.Sprintf("no attempt during the fault, out within %s on %d (host, target)", c.expectation.Within, removed)
	}
	detail := fmt.Sprintf("%d of %d within %s, worst %s", within, total, c.expectation.Within, worst.Round(time.Millisecond))
	return float64(within) >= c.expectation.Share*float64(total), detail
}

// countRemovedInTime counts the (host, target) pairs in which the target left
// rotation within the bound after a fault began. The failure of an attempt that was
// in flight when the fault began can remove the target before another attempt is
// sent, in which case there is no detection time.
func (c *detectCheck) countRemovedInTime(sim *simulation) int {
	targets := indexSet(c.expectation.Targets)
	count := 0
	for _, period := range sim.metrics.outPeriods {
		if !targets[period.target] || !c.expectation.includesHost(period.host.index) {
			continue
		}
		for _, f := range sim.targets[period.target].faults {
			if period.from >= f.From && period.from <= f.From+c.expectation.Within && period.from < f.Until {
				count++
			}
		}
	}
	return count
}

// neverOutCheck requires that targets stay in rotation for the whole period.
type neverOutCheck struct{ checkBase }

func (c *neverOutCheck) verdict(sim *simulation) (bool, string) {
	targets := indexSet(c.expectation.Targets)
	to := c.expectation.To
	if to == 0 {
		to = sim.end
	}
	count := 0
	first := ""
	for _, period := range sim.metrics.outPeriods {
		if !targets[period.target] || !c.expectation.includesHost(period.host.index) || period.from >= to || period.to <= c.expectation.From {
			continue
		}
		count++
		if first == "" {
			first = fmt.Sprintf(", such as %s on %s at %s", sim.trace.Targets[period.target].ID, period.host.declared.ID, period.from.Round(time.Millisecond))
		}
	}
	return count == 0, fmt.Sprintf("out %d times%s", count, first)
}

// noWorkCheck bounds the attempts, other than trials, that targets receive in the
// period.
type noWorkCheck struct {
	checkBase
	targets map[int]bool
	count   int
	lastAt  time.Duration
}

func (c *noWorkCheck) attemptStarted(at time.Duration, att *attemptState, trial bool) {
	if !trial && c.targets[att.target.index] && c.expectation.includesTime(at) {
		c.count++
		c.lastAt = at
	}
}

func (c *noWorkCheck) verdict(*simulation) (bool, string) {
	detail := fmt.Sprintf("%d attempts", c.count)
	if c.count > 0 {
		detail += fmt.Sprintf(", last at %s", c.lastAt.Round(time.Millisecond))
	}
	return float64(c.count) <= c.expectation.Max, detail
}

// floorCheck requires that ejection never reduces capacity below the floor.
type floorCheck struct{ checkBase }

func (c *floorCheck) verdict(sim *simulation) (bool, string) {
	to := c.expectation.To
	if to == 0 {
		to = sim.end
	}
	count := 0
	lowest := 1.0
	for _, period := range sim.metrics.floorViolations {
		if period.from < to && period.to >= c.expectation.From {
			count++
			lowest = min(lowest, period.lowest)
		}
	}
	if count == 0 {
		return true, "held"
	}
	return false, fmt.Sprintf("violated %d times, lowest %.2f", count, lowest)
}

// attemptsCheck bounds the mean or the maximum number of attempts per request.
type attemptsCheck struct {
	checkBase
	requests, attempts, maxAttempts int
}

func (c *attemptsCheck) requestEnded(r *request, _ outcome) {
	if c.includesRequest(r) {
		c.requests++
		c.attempts += r.attemptCount
		c.maxAttempts = max(c.maxAttempts, r.attemptCount)
	}
}

func (c *attemptsCheck) verdict(*simulation) (bool, string) {
	if c.requests == 0 {
		return false, "no requests"
	}
	mean := float64(c.attempts) / float64(c.requests)
	detail := fmt.Sprintf("mean %.3f, most %d", mean, c.maxAttempts)
	if c.expectation.Mean > 0 {
		return mean <= c.expectation.Mean, detail
	}
	return float64(c.maxAttempts) <= c.expectation.Max, detail
}

// noRepeatCheck requires that no non-idempotent request is sent again while an
// attempt is open or after one that may have run.
type noRepeatCheck struct {
	checkBase
	requests, repeats, ranTwice int
}

func (c *noRepeatCheck) attemptStarted(_ time.Duration, att *attemptState, _ bool) {
	if c.includesRequest(att.request) && att.repeats() {
		c.repeats++
	}
}

func (c *noRepeatCheck) requestEnded(r *request, _ outcome) {
	if !c.includesRequest(r) || r.class.Idempotent {
		return
	}
	c.requests++
	if r.executions > 1 {
		c.ranTwice++
	}
}

func (c *noRepeatCheck) verdict(*simulation) (bool, string) {
	if c.requests == 0 {
		return false, "no non-idempotent requests"
	}
	return c.repeats+c.ranTwice == 0, fmt.Sprintf("%d repeats, %d ran twice, of %d requests", c.repeats, c.ranTwice, c.requests)
}

// shareCheck bounds the share of successful requests from below, or the count or
// share of refused requests from above.
type shareCheck struct {
	checkBase
	wanted       outcome
	count, total int
}

func (c *shareCheck) requestEnded(r *request, o outcome) {
	if !c.includesRequest(r) || !o.attributable() {
		return
	}
	c.total++
	if o == c.wanted {
		c.count++
	}
}

func (c *shareCheck) verdict(*simulation) (bool, string) {
	if c.total == 0 {
		return false, "no requests"
	}
	share := float64(c.count) / float64(c.total)
	detail := fmt.Sprintf("%d of %d (%.3f%%)", c.count, c.total, 100*share)
	switch {
	case c.wanted == outcomeSuccess:
		return share >= c.expectation.Share, detail
	case c.expectation.Max >= 0:
		return float64(c.count) <= c.expectation.Max, detail
	default:
		return share <= c.expectation.Share, detail
	}
}

// falseEjectionCheck bounds the number or rate of false ejections.
type falseEjectionCheck struct{ checkBase }

func (c *falseEjectionCheck) verdict(sim *simulation) (bool, string) {
	count := sim.metrics.falseTargets
	if c.expectation.PerPair {
		count = sim.metrics.falsePairs
	}
	rate := perThousand(count, sim.metrics.targetHours(sim))
	detail := fmt.Sprintf("%d, %.2f per 1,000 target-hours", count, rate)
	if c.expectation.Max >= 0 {
		return float64(count) <= c.expectation.Max, detail
	}
	return rate <= c.expectation.Mean, detail
}

func perThousand(count int, hours float64) float64 {
	if hours <= 0 {
		return 0
	}
	return 1000 * float64(count) / hours
}
