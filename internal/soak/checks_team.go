package soak

import (
	"fmt"
	"slices"
	"time"
)

// checkKey requires that no request without a key that may be valid reaches a target, and that none with
// a key that must be valid gets 401.
func (e *evidence) checkKey(c *call) *breach {
	if !c.needsKey {
		return nil
	}
	due := e.due(c.host, c.startedAt)
	for _, r := range e.runs[c.id] {
		mayBeValid := func(v version) bool { return v.keys[c.key] && !v.sentAt.After(r.at) }
		if !slices.ContainsFunc(e.versions[max(0, due):], mayBeValid) {
			return c.breach(ruleKey, r.at, "reached %s, but no version that may be in force has the key %q", r.target, c.key)
		}
	}
	if c.ending != answered || c.signed || c.status != 401 {
		return nil
	}
	if due = max(due, e.dueOfCurrentCopy(c.startedAt)); due < 0 {
		return nil
	}
	for _, v := range e.versions[due:] {
		if !v.keys[c.key] && !v.sentAt.After(c.endedAt) {
			return nil
		}
	}
	return c.breach(ruleKey, c.endedAt, "got 401 with the key %q, which all versions since %d have, acknowledged %s before", c.key, e.versions[due].number, c.startedAt.Sub(e.versions[due].ackedAt))
}

// dueOfCurrentCopy returns the index of the newest version that any host that answers 401 must have at a
// time, also one that is not in touch, or -1. Versions that the store lost count from when they were
// written again.
func (e *evidence) dueOfCurrentCopy(at time.Time) int {
	for n, v := range slices.Backward(e.versions) {
		if v.ackedAt.IsZero() {
			continue
		}
		since := v.ackedAt
		for _, i := range e.disruptions {
			if i.cause == storeFault && i.restores && !i.start.Before(v.ackedAt) && !i.start.After(at) {
				if i.end.IsZero() {
					return -1
				}
				since = i.end
			}
		}
		if !since.Add(copyAge).After(at) {
			return n
		}
	}
	return -1
}

// checkQuotas requires that no more requests of a team run in a window than its quota allows, at all
// targets together. A request that ran twice counts once: repeating it is bounded by another budget.
func (e *evidence) checkQuotas() (found []breach) {
	for _, t := range teams {
		if t.RatePerSecond == 0 {
			continue
		}
		var ran []run
		for _, runs := range e.runs {
			first := slices.IndexFunc(runs, func(r run) bool { return r.executed() && r.team == t.Name })
			if first >= 0 {
				ran = append(ran, runs[first])
			}
		}
		slices.SortFunc(ran, func(a, b run) int { return a.at.Compare(b.at) })
		first := 0
		for n, r := range ran {
			for ran[first].at.Before(r.at.Add(-quotaWindow)) {
				first++
			}
			if count := n + 1 - first; float64(count) > t.QuotaOf(quotaWindow) {
				text := fmt.Sprintf("%d requests of team %s ran in %s, want at most %g", count, t.Name, quotaWindow, t.QuotaOf(quotaWindow))
				found = append(found, breach{ruleQuota, r.at, r.id, text})
				break
			}
		}
	}
	return found
}

// checkUsage requires that hosts stay within their limits.
func (e *evidence) checkUsage() (found []breach) {
	for host, u := range e.peaks {
		if u.residentBytes > hostMemoryMb<<20 || u.descriptors > hostMaxFds {
			text := fmt.Sprintf("host %d had %d MB resident and %d descriptors, want at most %d and %d", host+1, u.residentBytes>>20, u.descriptors, hostMemoryMb, hostMaxFds)
			found = append(found, breach{ruleResources, time.Now(), "", text})
		}
	}
	return found
}
