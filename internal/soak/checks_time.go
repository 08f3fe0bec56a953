package soak

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// checkDeadlines requires that hosts in touch hand targets no more time than their callers left, but
// for a few requests.
func (e *evidence) checkDeadlines() []breach {
	passedOn := 0
	var long []run
	for id, runs := range e.runs {
		c, known := e.calls[id]
		for _, r := range runs {
			if !known || !e.inTouch(c.host, r.at) || e.placeDisrupted(r.place, r.at.Add(-stabilityWindow), r.at) {
				continue
			}
			passedOn++
			if r.remaining == 0 || r.at.Add(r.remaining).After(c.sentAt.Add(c.timeout+deadlineSlack)) {
				long = append(long, r)
			}
		}
	}
	if len(long) <= maxLongDeadlines || float64(len(long)) <= maxLongDeadlineShare*float64(passedOn) {
		return nil
	}
	slices.SortFunc(long, func(a, b run) int { return a.at.Compare(b.at) })
	r := long[maxLongDeadlines]
	text := fmt.Sprintf("target %s was left %s, as %d of %d requests at hosts in touch were left too much or nothing", r.target, r.remaining, len(long), passedOn)
	return []breach{{ruleDeadline, r.at, r.id, text}}
}

// checkOverdue requires that hosts in touch answer requests that last longer than their time, but for a
// few.
func (e *evidence) checkOverdue() []breach {
	long := 0
	var overdue []*breach
	for _, c := range e.calls {
		unanswered := c.ending == abandoned && !c.left
		if !unanswered && (c.ending != answered || c.endedAt.Before(c.startedAt.Add(c.timeout))) || !e.inTouch(c.host, c.startedAt) || !e.inTouch(c.host, c.endedAt) {
			continue
		}
		long++
		if unanswered {
			overdue = append(overdue, c.breach(ruleConfiguration, c.endedAt, "no answer %s after its time of %s", c.endedAt.Sub(c.startedAt.Add(c.timeout)), c.timeout))
		}
	}
	if len(overdue) < minOverdue || float64(len(overdue)) <= minOverdueShare*float64(long) {
		return nil
	}
	slices.SortFunc(overdue, func(a, b *breach) int { return a.at.Compare(b.at) })
	last := *overdue[minOverdue-1]
	last.text += fmt.Sprintf(", as %d of %d requests that lasted so long at hosts in touch", len(overdue), long)
	return []breach{last}
}

// noticeKey names a process of a host and a target.
type noticeKey struct {
	process
	target string
}

// checkLeavingStated requires that a host sends no request to a target later than drain after it passed
// on an answer in which the target stated that it leaves.
func (e *evidence) checkLeavingStated() (found []breach) {
	stated := map[noticeKey]time.Time{}
	for id, runs := range e.runs {
		c := e.calls[id]
		for _, r := range runs {
			if !r.leaving || c.ending != answered || !c.signed {
				continue
			}
			key := noticeKey{process{c.host, e.life(c.host, c.startedAt)}, r.target}
			if first, ok := stated[key]; !ok || c.endedAt.Before(first) {
				stated[key] = c.endedAt
			}
		}
	}
	for id, runs := range e.runs {
		c, known := e.calls[id]
		for _, r := range runs {
			first, ok := stated[noticeKey{process{c.host, e.life(c.host, c.startedAt)}, r.target}]
			if known && ok && r.progress != rejectedInstance && c.startedAt.Sub(first) > drain {
				found = append(found, *c.breach(ruleLeaving, r.at, "reached %s, which had stated %s before the request was sent that it leaves", r.target, c.startedAt.Sub(first)))
			}
		}
	}
	return found
}

// checkPauses requires that a host sends a target no more than maxInPause requests in a pause, from
// pauseSlack after the host's first request in it on, which tells the host of the pause. Hosts do not tell
// each other of pauses (decision 015).
func (e *evidence) checkPauses() (found []breach) {
	for _, p := range e.pauses {
		byHost := map[int][]run{}
		for _, runs := range e.runs {
			for _, r := range runs {
				c, ok := e.calls[r.id]
				if ok && r.target == p.target && !r.at.Before(p.start) && r.at.Before(p.end) {
					byHost[c.host] = append(byHost[c.host], r)
				}
			}
		}
		for _, host := range slices.Sorted(maps.Keys(byHost)) {
			in := byHost[host]
			slices.SortFunc(in, func(a, b run) int { return a.at.Compare(b.at) })
			told := in[0].at.Add(pauseSlack)
			in = slices.DeleteFunc(in, func(r run) bool { return r.at.Before(told) })
			if len(in) <= maxInPause {
				continue
			}
			text := fmt.Sprintf("target %s got %d requests of host %d in a pause of %s that the host knew of", p.target, len(in), host, p.end.Sub(p.start))
			found = append(found, breach{rulePause, in[maxInPause].at, in[maxInPause].id, text})
		}
	}
	return found
}
