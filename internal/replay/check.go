package replay

import (
	"fmt"
	"time"
)

// check watches a run for one expected outcome.
type check interface {
	// started is called for each attempt, before it is added to its request.
	started(at time.Duration, y *try, trial bool)
	// ended is called for each request.
	ended(r *request, o outcome)
	// verdict is called at the end of the run. The detail is what was measured.
	verdict(p *player) (pass bool, detail string)
}

// newCheck returns the check of an expect line. The parser has refused unknown
// kinds.
func newCheck(e Expectation) check {
	base := checkBase{e: e}
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
		return &noWorkCheck{checkBase: base, targets: set(e.Targets)}
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
		return &falseCheck{base}
	}
}

// checkBase ignores attempts and requests.
type checkBase struct{ e Expectation }

func (checkBase) started(time.Duration, *try, bool) {}

func (checkBase) ended(*request, outcome) {}

func (c *checkBase) counts(r *request) bool {
	return (c.e.Class == "" || c.e.Class == r.class.Name) && c.e.covers(r.arrived)
}

type senderKey struct {
	host   *host
	target int
}

// outCheck requires that each target was out of rotation, at some time of the
// period, on a share of the hosts.
type outCheck struct {
	checkBase
	senders map[senderKey]bool
}

func (c *outCheck) started(at time.Duration, y *try, trial bool) {
	if !trial && at >= c.e.From && at <= c.e.To {
		c.senders[senderKey{y.host, y.target.index}] = true
	}
}

func (c *outCheck) verdict(p *player) (bool, string) {
	pass := true
	detail := ""
	for _, k := range c.e.Targets {
		out, all := c.count(p, k)
		ok := all > 0 && float64(out) >= c.e.Share*float64(all)
		pass = pass && ok
		if !ok || detail == "" {
			detail = fmt.Sprintf("%s out on %d of %d hosts", p.trace.Targets[k].ID, out, all)
		}
	}
	return pass, detail
}

func (c *outCheck) count(p *player, target int) (out, all int) {
	for _, h := range p.measure.hosts {
		if !c.e.on(h.index) || !h.livesAt(c.e.To) {
			continue
		}
		if c.e.SendersOnly && !c.senders[senderKey{h, target}] {
			continue
		}
		all++
		if p.measure.wasOut(h, target, c.e.From, c.e.To) {
			out++
		}
	}
	return out, all
}

// wasOut tells whether a target was out on a host at some time of a period.
func (m *measure) wasOut(h *host, target int, from, to time.Duration) bool {
	for _, s := range m.spans {
		if s.host == h && s.target == target && s.from <= to && s.to >= from {
			return true
		}
	}
	return false
}

// livesAt tells whether the host took requests at a time.
func (h *host) livesAt(at time.Duration) bool {
	return h.joined <= at && (h.left == never || h.left > at)
}

// backCheck requires that targets are in rotation at a time, on a share of the
// hosts.
type backCheck struct{ checkBase }

func (c *backCheck) verdict(p *player) (bool, string) {
	back, all := 0, 0
	for _, h := range p.measure.hosts {
		if !c.e.on(h.index) || !h.livesAt(c.e.To) {
			continue
		}
		for _, k := range c.e.Targets {
			all++
			if !p.measure.wasOut(h, k, c.e.To, c.e.To) {
				back++
			}
		}
	}
	return all > 0 && float64(back) >= c.e.Share*float64(all), fmt.Sprintf("back on %d of %d (host, target)", back, all)
}

// detectCheck bounds the detection time of a share of the hosts.
type detectCheck struct{ checkBase }

func (c *detectCheck) verdict(p *player) (bool, string) {
	var worst time.Duration
	within, all := 0, 0
	for _, k := range c.e.Targets {
		for _, d := range p.measure.detections(k, c.e.on) {
			worst = max(worst, d)
			all++
			if d <= c.e.Within {
				within++
			}
		}
	}
	if all == 0 {
		removed := c.removedInTime(p)
		return removed > 0, fmt.Sprintf("no attempt during the fault, out within %s on %d (host, target)", c.e.Within, removed)
	}
	detail := fmt.Sprintf("%d of %d within %s, worst %s", within, all, c.e.Within, worst.Round(time.Millisecond))
	return float64(within) >= c.e.Share*float64(all), detail
}

// removedInTime counts the pairs of host and target that went out of rotation
// within the bound after the onset of a fault. An attempt in flight at the onset
// can remove a target before a new one is sent, which leaves no detection time.
func (c *detectCheck) removedInTime(p *player) int {
	targets := set(c.e.Targets)
	count := 0
	for _, s := range p.measure.spans {
		if !targets[s.target] || !c.e.on(s.host.index) {
			continue
		}
		for _, f := range p.targets[s.target].faults {
			if s.from >= f.From && s.from <= f.From+c.e.Within && s.from < f.Until {
				count++
			}
		}
	}
	return count
}

// neverOutCheck requires that targets are in rotation for the whole period.
type neverOutCheck struct{ checkBase }

func (c *neverOutCheck) verdict(p *player) (bool, string) {
	targets := set(c.e.Targets)
	to := c.e.To
	if to == 0 {
		to = p.end
	}
	count := 0
	first := ""
	for _, s := range p.measure.spans {
		if !targets[s.target] || !c.e.on(s.host.index) || s.from >= to || s.to <= c.e.From {
			continue
		}
		count++
		if first == "" {
			first = fmt.Sprintf(", such as %s on %s at %s", p.trace.Targets[s.target].ID, s.host.decl.ID, s.from.Round(time.Millisecond))
		}
	}
	return count == 0, fmt.Sprintf("out %d times%s", count, first)
}

// noWorkCheck bounds the new attempts that targets get in the period.
type noWorkCheck struct {
	checkBase
	targets map[int]bool
	count   int
	last    time.Duration
}

func (c *noWorkCheck) started(at time.Duration, y *try, trial bool) {
	if !trial && c.targets[y.target.index] && c.e.covers(at) {
		c.count++
		c.last = at
	}
}

func (c *noWorkCheck) verdict(*player) (bool, string) {
	detail := fmt.Sprintf("%d attempts", c.count)
	if c.count > 0 {
		detail += fmt.Sprintf(", last at %s", c.last.Round(time.Millisecond))
	}
	return float64(c.count) <= c.e.Max, detail
}

// floorCheck requires that ejection never takes capacity below the floor.
type floorCheck struct{ checkBase }

func (c *floorCheck) verdict(p *player) (bool, string) {
	to := c.e.To
	if to == 0 {
		to = p.end
	}
	count := 0
	lowest := 1.0
	for _, s := range p.measure.shortages {
		if s.from < to && s.to >= c.e.From {
			count++
			lowest = min(lowest, s.lowest)
		}
	}
	if count == 0 {
		return true, "held"
	}
	return false, fmt.Sprintf("violated %d times, lowest %.2f", count, lowest)
}

// attemptsCheck bounds the attempts per request.
type attemptsCheck struct {
	checkBase
	requests, attempts, most int
}

func (c *attemptsCheck) ended(r *request, _ outcome) {
	if c.counts(r) {
		c.requests++
		c.attempts += r.attempts
		c.most = max(c.most, r.attempts)
	}
}

func (c *attemptsCheck) verdict(*player) (bool, string) {
	if c.requests == 0 {
		return false, "no requests"
	}
	mean := float64(c.attempts) / float64(c.requests)
	detail := fmt.Sprintf("mean %.3f, most %d", mean, c.most)
	if c.e.Mean > 0 {
		return mean <= c.e.Mean, detail
	}
	return float64(c.most) <= c.e.Max, detail
}

// noRepeatCheck requires that no non-idempotent request is sent again after an
// attempt that may have run.
type noRepeatCheck struct {
	checkBase
	requests, repeats, ranTwice int
}

func (c *noRepeatCheck) started(_ time.Duration, y *try, _ bool) {
	if c.counts(y.req) && y.repeats() {
		c.repeats++
	}
}

func (c *noRepeatCheck) ended(r *request, _ outcome) {
	if !c.counts(r) || r.class.Idempotent {
		return
	}
	c.requests++
	if r.executions > 1 {
		c.ranTwice++
	}
}

func (c *noRepeatCheck) verdict(*player) (bool, string) {
	if c.requests == 0 {
		return false, "no non-idempotent requests"
	}
	return c.repeats+c.ranTwice == 0, fmt.Sprintf("%d repeats, %d ran twice, of %d requests", c.repeats, c.ranTwice, c.requests)
}

// shareCheck bounds the count or share of one outcome: from below for success,
// from above for refusals.
type shareCheck struct {
	checkBase
	wanted     outcome
	count, all int
}

func (c *shareCheck) ended(r *request, o outcome) {
	if !c.counts(r) || !o.counted() {
		return
	}
	c.all++
	if o == c.wanted {
		c.count++
	}
}

func (c *shareCheck) verdict(*player) (bool, string) {
	if c.all == 0 {
		return false, "no requests"
	}
	share := float64(c.count) / float64(c.all)
	detail := fmt.Sprintf("%d of %d (%.3f%%)", c.count, c.all, 100*share)
	switch {
	case c.wanted == outcomeSuccess:
		return share >= c.e.Share, detail
	case c.e.Max >= 0:
		return float64(c.count) <= c.e.Max, detail
	default:
		return share <= c.e.Share, detail
	}
}

// falseCheck bounds the false ejections.
type falseCheck struct{ checkBase }

func (c *falseCheck) verdict(p *player) (bool, string) {
	count := p.measure.falseOnce
	if c.e.PerPair {
		count = p.measure.falsePair
	}
	rate := perThousand(count, p.measure.targetHours(p))
	detail := fmt.Sprintf("%d, %.2f per 1,000 target-hours", count, rate)
	if c.e.Max >= 0 {
		return float64(count) <= c.e.Max, detail
	}
	return rate <= c.e.Mean, detail
}

func perThousand(count int, hours float64) float64 {
	if hours <= 0 {
		return 0
	}
	return 1000 * float64(count) / hours
}
