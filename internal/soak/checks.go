package soak

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// check returns the breaches in the evidence, ordered by time.
func (e *evidence) check(now time.Time) []breach {
	found := slices.Clone(e.breaches)
	for _, c := range e.calls {
		found = append(found, e.checkCall(&c)...)
	}
	for id, runs := range e.runs {
		c, ok := e.calls[id]
		for n := range runs {
			found = append(found, e.checkRun(&runs[n], &c, ok)...)
		}
	}
	found = append(found, e.checkLostInTouch()...)
	found = append(found, e.checkRegression()...)
	found = append(found, e.checkDeadlines()...)
	found = append(found, e.checkOverdue()...)
	found = append(found, e.checkLeavingStated()...)
	found = append(found, e.checkPauses()...)
	found = append(found, e.checkQuotas()...)
	found = append(found, e.checkUsage()...)
	found = append(found, e.checkRecovery(now)...)
	slices.SortStableFunc(found, func(a, b breach) int { return a.at.Compare(b.at) })
	return found
}

func (e *evidence) checkCall(c *call) (found []breach) {
	if b := e.checkTwice(c); b != nil {
		found = append(found, *b)
	}
	if b := e.checkRefused(c); b != nil {
		found = append(found, *b)
	}
	if b := e.checkLost(c); b != nil {
		found = append(found, *b)
	}
	if b := e.checkConfiguration(c); b != nil {
		found = append(found, *b)
	}
	if b := e.checkKey(c); b != nil {
		found = append(found, *b)
	}
	return found
}

func (c *call) breach(broken rule, at time.Time, format string, args ...any) *breach {
	text := fmt.Sprintf(format, args...)
	return &breach{broken, at, c.id, fmt.Sprintf("%s %s at host %d: %s", c.method, c.path, c.host+1, text)}
}

// checkTwice requires that a non-idempotent request runs once at most.
func (e *evidence) checkTwice(c *call) *breach {
	var executed []run
	for _, r := range e.runs[c.id] {
		if r.executed() {
			executed = append(executed, r)
		}
	}
	if c.idempotent || len(executed) < 2 {
		return nil
	}
	return c.breach(ruleTwice, executed[1].at, "ran at %s and again at %s", executed[0].target, executed[1].target)
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

// checkRefused requires that a non-idempotent request that was refused has not run and does not run
// later.
func (e *evidence) checkRefused(c *call) *breach {
	if c.idempotent || c.ending != answered || !promisesNotRun(c.status) {
		return nil
	}
	for _, r := range e.runs[c.id] {
		if r.executed() {
			return c.breach(ruleRefused, r.at, "answered with %d and ran at %s, %s after the answer", c.status, r.target, r.at.Sub(c.endedAt))
		}
	}
	return nil
}

// checkLost requires that planned work of a host cuts no request.
func (e *evidence) checkLost(c *call) *breach {
	signaledAt, stopped := e.stopOf(c.host, c.endedAt)
	if !e.lost(c, stopped) || e.excusesLoss(c) {
		return nil
	}
	switch {
	case stopped && e.finishesTooLate(c, signaledAt):
		return nil
	case stopped:
		return c.breach(ruleLost, c.endedAt, "%s %s after SIGTERM, sent %s after it, passed on to %d targets", endingNames[c.ending], c.endedAt.Sub(signaledAt), c.sentAt.Sub(signaledAt), len(e.runs[c.id]))
	case e.hangupCovers(c):
		return c.breach(ruleLost, c.endedAt, "%s around a SIGHUP, passed on to %d targets", endingNames[c.ending], len(e.runs[c.id]))
	}
	return nil
}

// lost reports whether a request that its host had read ended without a complete answer. A stopping
// host must not replace the answer of a target that works by its own either.
func (e *evidence) lost(c *call, stopped bool) bool {
	runs := e.runs[c.id]
	switch c.ending {
	case reset, partial:
		return len(runs) > 0
	case closed:
		// A host that had not read all that was sent would have reset the connection. A caller or a link
		// that is late sees an earlier close late.
		return len(runs) > 0 || !c.behindClose && c.endedAt.Sub(c.sentAt) > lossSlack && !e.stalled(c.sentAt, c.endedAt)
	case answered:
		return stopped && !c.signed && slices.ContainsFunc(runs, func(r run) bool { return r.workingAt(c.endedAt) })
	}
	return false
}

// excusesLoss reports whether a lost request is not the host's fault: its time was over, a target
// broke off, or the host, its links or the target had an unplanned fault.
func (e *evidence) excusesLoss(c *call) bool {
	from := c.startedAt.Add(-stabilityWindow)
	if !c.endedAt.Before(c.startedAt.Add(c.timeout)) || e.disrupted(c.host, from, c.endedAt) {
		return true
	}
	return slices.ContainsFunc(e.runs[c.id], func(r run) bool {
		return r.progress == brokeOff || e.placeDisrupted(r.place, from, c.endedAt)
	})
}

// lateSendAllowance is the time after a SIGTERM until which a host may take a request that its target
// does not finish before the last sixth of the grace period.
const lateSendAllowance = 3 * time.Second

// finishesTooLate reports whether a target was still at work on the request in the last sixth of the
// grace period, and the request was sent early enough for the host not to know that.
func (e *evidence) finishesTooLate(c *call, signaledAt time.Time) bool {
	lastSixth := signaledAt.Add(grace * 5 / 6)
	if c.sentAt.After(signaledAt.Add(lateSendAllowance)) || c.endedAt.Before(lastSixth) {
		return false
	}
	return slices.ContainsFunc(e.runs[c.id], func(r run) bool { return r.workingAt(lastSixth) })
}

// checkLostInTouch requires that hosts in touch close kept connections on requests that they passed
// on to sound targets no more than maxLostInTouch times.
func (e *evidence) checkLostInTouch() []breach {
	var cut []*breach
	for _, c := range e.calls {
		lost := c.kept && c.ending != answered && len(e.runs[c.id]) > 0 && e.lost(&c, false)
		if lost && e.inTouch(c.host, c.startedAt) && e.inTouch(c.host, c.endedAt) && !e.excusesLoss(&c) {
			cut = append(cut, c.breach(ruleLost, c.endedAt, "%s at a host in touch", endingNames[c.ending]))
		}
	}
	if len(cut) <= maxLostInTouch {
		return nil
	}
	slices.SortFunc(cut, func(a, b *breach) int { return a.at.Compare(b.at) })
	last := *cut[maxLostInTouch]
	last.text += fmt.Sprintf(", as %d requests before it", maxLostInTouch)
	return []breach{last}
}

func (e *evidence) checkRun(r *run, c *call, known bool) (found []breach) {
	add := func(broken rule, format string, args ...any) {
		found = append(found, breach{broken, r.at, r.id, fmt.Sprintf("%s %s at target %s: %s", r.method, r.path, r.target, fmt.Sprintf(format, args...))})
	}
	switch {
	case !known:
		// Another run on this computer may have had a target at this address.
		add(ruleUnknown, "no caller sent a request with this ID, which was meant for target %q", cmp.Or(r.expected, r.target))
	case r.request != c.request:
		add(ruleUnknown, "differs from the caller's request %s %s (%s instead of %s)", c.method, c.path, r.bodySum, c.bodySum)
	}
	if !known {
		return found
	}
	if r.executed() && !e.everAllowed(r) {
		add(ruleService, "no configuration sends this path to service %s", r.service)
	}
	if r.team != c.team {
		add(ruleTeam, "the target was told team %q, want %q", r.team, c.team)
	}
	if late, ok := e.afterDrain(r, c); ok {
		add(ruleDrain, "arrived through host %d %s after the store acknowledged that the target leaves", c.host+1, late)
	} else if late, ok := e.returned(r, c); ok {
		add(ruleDrain, "meant for a target that leaves, sent to host %d %s after that was in force there", c.host+1, late)
	}
	return found
}

func (e *evidence) everAllowed(r *run) bool {
	return slices.ContainsFunc(e.versions, func(v version) bool { return handling{r.service, r.at}.allowedBy(&v, r.path) })
}

// afterDrain reports whether a host in touch sent a request to a target later than drain after the
// store acknowledged, while it was stable, that the target leaves, and how much later.
func (e *evidence) afterDrain(r *run, c *call) (late time.Duration, ok bool) {
	if r.progress == rejectedInstance {
		return 0, false
	}
	for _, d := range e.departures {
		if late = r.at.Sub(d.ackedAt); d.target != r.target || late <= drain {
			continue
		}
		heldUp := e.placeDisrupted(r.place, r.at.Add(-stabilityWindow), r.at)
		return late, e.coreStable(d.ackedAt) && e.inTouch(c.host, r.at) && !heldUp
	}
	return 0, false
}

// returned reports whether a request was meant for a target that leaves although its process knew that
// when the request was sent, and how long it had known.
func (e *evidence) returned(r *run, c *call) (late time.Duration, ok bool) {
	meantFor := r.target
	if r.progress == rejectedInstance {
		meantFor = r.expected
	}
	for _, d := range e.departures {
		inForce := d.ackedAt.Add(drain)
		if d.target == meantFor && c.startedAt.After(inForce.Add(rollbackSlack)) {
			return c.startedAt.Sub(inForce), e.heldSince(c.host, inForce, c.startedAt)
		}
	}
	return 0, false
}

// handling returns the service of a path, or "" if the version has no route for it.
func (v *version) handling(path string) string {
	for prefix, service := range v.services {
		if strings.HasPrefix(path, prefix) {
			return service
		}
	}
	return ""
}

// handling is the service that ran a request, or "" for 404, and the time at which that was seen.
type handling struct {
	service string
	at      time.Time
}

// allowedBy reports whether a version that had been sent by then allows the handling of a path.
func (h handling) allowedBy(v *version, path string) bool {
	return !v.sentAt.After(h.at) && v.handling(path) == h.service
}

// handlings returns how a request was handled.
func (e *evidence) handlings(c *call) (list []handling) {
	for _, r := range e.runs[c.id] {
		if r.executed() {
			list = append(list, handling{r.service, r.at})
		}
	}
	if c.ending == answered && !c.signed && c.status == 404 {
		list = append(list, handling{"", c.endedAt})
	}
	return list
}

// heldSince reports whether what the store acknowledged in time for a moment was in force at a host then,
// and the process that runs at a later time is the same. A process never forgets it, whatever happens to
// it and to the store.
func (e *evidence) heldSince(host int, inForce, at time.Time) bool {
	return e.inTouch(host, inForce) && e.life(host, inForce) == e.life(host, at)
}

// due returns the index of the newest version that a host must have at a time, or -1.
func (e *evidence) due(host int, at time.Time) int {
	inTouch := e.inTouch(host, at)
	for n, v := range slices.Backward(e.versions) {
		inForce := v.ackedAt.Add(configApply)
		if !v.ackedAt.IsZero() && !inForce.After(at) && (inTouch || e.heldSince(host, inForce, at)) {
			return n
		}
	}
	return -1
}

// checkConfiguration requires that a host handles a request as a configuration allows that may be in
// force: one that was sent later than the newest that the host must have, or that one.
func (e *evidence) checkConfiguration(c *call) *breach {
	due := e.due(c.host, c.startedAt)
	if due < 0 {
		return nil
	}
	for _, h := range e.handlings(c) {
		if !slices.ContainsFunc(e.versions[due:], func(v version) bool { return h.allowedBy(&v, c.path) }) {
			v := e.versions[due]
			return c.breach(ruleConfiguration, c.startedAt, "handled by service %q, but version %d with %q was acknowledged %s before", h.service, v.number, v.handling(c.path), c.startedAt.Sub(v.ackedAt))
		}
	}
	return nil
}

// effect is a request that shows that a process had at least one version and at most another.
type effect struct {
	c                *call
	seenAt           time.Time
	oldest, youngest int
}

// effects returns what the requests show about the versions of the processes, grouped by process.
func (e *evidence) effects() map[process][]effect {
	effects := map[process][]effect{}
	for _, c := range e.calls {
		for _, h := range e.handlings(&c) {
			f := effect{&c, h.at, -1, -1}
			for n, v := range e.versions {
				if !h.allowedBy(&v, c.path) {
					continue
				}
				if f.oldest < 0 {
					f.oldest = n
				}
				f.youngest = n
			}
			if f.oldest >= 0 {
				p := process{c.host, e.life(c.host, c.startedAt)}
				effects[p] = append(effects[p], f)
			}
		}
	}
	return effects
}

// process is one life of a host's process.
type process struct{ host, life int }

// life returns the number of starts of a host until a time.
func (l disruptions) life(host int, at time.Time) (starts int) {
	for n := range l {
		if l[n].cause == started && l[n].host == host && !l[n].start.After(at) {
			starts++
		}
	}
	return starts
}

// slowedSlackFactor multiplies rollbackSlack at hosts with faults.
const slowedSlackFactor = 8

// checkRegression requires that a process never returns to an older configuration.
func (e *evidence) checkRegression() (found []breach) {
	for _, effects := range e.effects() {
		bySeen := slices.Clone(effects)
		slices.SortFunc(bySeen, func(a, b effect) int { return a.seenAt.Compare(b.seenAt) })
		newest, next := 0, 0
		slices.SortFunc(effects, func(a, b effect) int { return a.c.startedAt.Compare(b.c.startedAt) })
		for _, f := range effects {
			slack := rollbackSlack
			if e.disrupted(f.c.host, f.c.startedAt.Add(-stabilityWindow), f.seenAt) {
				slack *= slowedSlackFactor
			}
			for ; next < len(bySeen) && bySeen[next].seenAt.Before(f.c.startedAt.Add(-slack)); next++ {
				newest = max(newest, bySeen[next].oldest)
			}
			if f.youngest < newest {
				found = append(found, *f.c.breach(ruleConfiguration, f.c.startedAt, "handled as version %d allows, after version %d had an effect", e.versions[f.youngest].number, e.versions[newest].number))
			}
		}
	}
	return found
}

// minRecoverySample is the smallest number of requests by which the recovery is judged.
const minRecoverySample = 20

// checkRecovery requires that requests are served again after the last fault.
func (e *evidence) checkRecovery(now time.Time) []breach {
	end := e.recoveredAt.Add(recoverySample)
	if e.recoveredAt.IsZero() || now.Before(end) {
		return nil
	}
	sent, served := 0, 0
	for _, c := range e.calls {
		if c.startedAt.Before(e.recoveredAt) || c.startedAt.After(end) || c.ending == pending || c.ending == abandoned && c.left {
			continue
		}
		sent++
		if c.succeeded() {
			served++
		}
	}
	if sent >= minRecoverySample && float64(served) >= minServedShare*float64(sent) {
		return nil
	}
	return []breach{{ruleRecovery, end, "", fmt.Sprintf("%d of %d requests were served from %s after the last fault on", served, sent, recovery)}}
}

// summary counts the calls by ending and status.
func (e *evidence) summary() string {
	counts := map[string]int{}
	for _, c := range e.calls {
		name := endingNames[c.ending]
		if c.left {
			name = "left early"
		}
		if c.ending == answered {
			name = fmt.Sprintf("%d", c.status)
			if !c.signed {
				name += " of the host"
			}
		}
		counts[name]++
	}
	parts := make([]string, 0, len(counts))
	for name, n := range counts {
		parts = append(parts, fmt.Sprintf("%s: %d", name, n))
	}
	slices.SortFunc(parts, cmp.Compare)
	return strings.Join(parts, ", ")
}
