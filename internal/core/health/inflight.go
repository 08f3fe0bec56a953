package health

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Parameters of the evidence from attempts in flight.
const (
	// ageOffset is subtracted from -ln P(latency > age), so that ages below the
	// peers' 86th percentile are not evidence.
	ageOffset = 2.0
	// overdueZ is slightly below the standard score at which -ln P(Z > z) equals
	// ageOffset.
	overdueZ = 1.1
	// maxAgeStep limits the evidence of one attempt to about that of one failure, so
	// that at least three overdue attempts are needed at any balance.
	maxAgeStep = 5.0
	// answerCredit is subtracted for each response of the target since its oldest
	// overdue attempt started. It is higher than the step of the high-rate test for a
	// success (0.36), so that attempts left over from a stall do not outweigh the
	// answers after it.
	answerCredit = 1.0
	// minLaterAnswers is the minimum number of answers from the peers of the group to
	// attempts that started with or soon after an overdue one. Without them the whole
	// group stopped responding, which is not evidence against a single target.
	minLaterAnswers = 1
	// minServiceAnswers is the minimum number of such answers from the other targets
	// of the whole service.
	minServiceAnswers = 3
	// startBucketWidth is the resolution of start times, and laterBuckets the number
	// of buckets after that of an attempt that count as soon after it. With more of
	// them, attempts from a service-wide stall would count against their targets when
	// the stall ends.
	startBucketWidth = 100 * time.Millisecond
	laterBuckets     = 5
	// startBuckets is the number of buckets. It limits the age of attempts for which
	// later answers of the peers can be found (12.8 s).
	startBuckets = 128
	// reusedWeight is the weight of an overdue or lost attempt on a reused connection.
	reusedWeight = 0.2
	// maxReusedShare limits the evidence of reused connections, as a share of the
	// threshold.
	maxReusedShare = 0.45
	// suspectTime is how long new connections are requested after a reused one was
	// lost or timed out, overdueSuspectTime how long after a tick with an overdue
	// attempt on one. The latter is short because healthy targets have overdue
	// attempts at times.
	suspectTime        = 5 * time.Second
	overdueSuspectTime = 300 * time.Millisecond
	// overdueStep is the step from which an overdue attempt on a reused connection
	// makes the target's other reused connections suspect.
	overdueStep = 1.0
)

// openAttempt is an attempt in flight, an element of a list in order of start.
type openAttempt struct {
	id      ident.AttemptID
	target  *target
	started int64
	// responses is the target's number of responses at the start of the attempt.
	responses    uint32
	latencyClass uint8
	fresh        bool
	trial        bool
	// peersAnswered reports whether peers answered attempts that started with or
	// after this one.
	peersAnswered bool
	// step is the evidence from the attempt's age at the last tick.
	step       float32
	prev, next *openAttempt
}

// openList holds the attempts in flight, oldest first.
type openList struct{ first, last *openAttempt }

func (l *openList) push(a *openAttempt) {
	a.prev = l.last
	if l.last == nil {
		l.first = a
	} else {
		l.last.next = a
	}
	l.last = a
}

func (l *openList) remove(a *openAttempt) {
	if a.prev == nil {
		l.first = a.next
	} else {
		a.prev.next = a.next
	}
	if a.next == nil {
		l.last = a.prev
	} else {
		a.next.prev = a.prev
	}
	a.prev, a.next = nil, nil
}

// pendingEvidence is the censored evidence of a target's attempts in flight at a
// tick.
type pendingEvidence struct {
	// fresh and reused are the evidence on new and on reused connections.
	fresh, reused float32
	// shared is the evidence of attempts left over from a stall of all peers. It is
	// subtracted from the score.
	shared float32
	// oldest is the age of the oldest overdue attempt.
	oldest time.Duration
	// lastStart is the start of the last attempt that was counted.
	lastStart int64
	// answers is the number of responses since the oldest overdue attempt started.
	answers uint32
}

// unweighted returns the evidence against this target alone, without the reduced
// weight of reused connections.
func (p pendingEvidence) unweighted() float64 {
	return float64(p.fresh-p.shared) + float64(p.reused) - answerCredit*float64(p.answers)
}

// score returns the evidence with that of reused connections limited to
// maxReusedShare of the threshold h. Up to this limit it has full weight if an
// attempt on a new connection is overdue too.
func (p pendingEvidence) score(h float64) float64 {
	weight := reusedWeight
	if p.fresh >= overdueStep {
		weight = 1
	}
	reused := min(weight*float64(p.reused), maxReusedShare*h)
	return max(float64(p.fresh-p.shared)+reused-answerCredit*float64(p.answers), 0)
}

// ageStep returns the censored evidence of an attempt that has had no response
// until now.
func (t *Tracker) ageStep(a *openAttempt, now int64, weight float64) float64 {
	g := a.target.group
	b := g.longBaseline(a.target, weight)
	if !b.known {
		return 0
	}
	class := &g.classMeans[a.latencyClass]
	x := g.logSeconds(time.Duration(now-a.started)) - class.mean - a.target.latencySlack()
	if x-b.mean <= overdueZ*b.sigma {
		return 0
	}
	b = b.withRecent(a.target, now).withNewest(&t.recent, a.target, now)
	above := x - b.mean
	if a.fresh {
		above = g.limitByLevel(a.target, now, above, x+class.mean-class.level, b.sigma)
	}
	step := g.latencyTail.evidence(above, b.sigma, weight) - ageOffset
	return min(max(step, 0), maxAgeStep)
}

// peersResponding reports whether the missing response concerns this target alone:
// peers of its group answered attempts that started with or after a, or no peer of
// the group has overdue attempts and other targets of the service answered. The
// second rule is for small groups, whose few peers may have had no attempt at that
// time.
func (t *Tracker) peersResponding(a *openAttempt) bool {
	if a.peersAnswered {
		return true
	}
	g := a.target.group
	own := a.target.responses - a.responses
	a.peersAnswered = g.size > 1 && g.starts.countFrom(a.started) >= own+minLaterAnswers ||
		!g.otherOverdue(a.target) && t.starts.countFrom(a.started) >= own+minServiceAnswers
	return a.peersAnswered
}

// startHistogram is a ring of buckets that counts answers by the start times of
// their attempts.
type startHistogram struct {
	buckets [startBuckets]int64
	counts  [startBuckets]uint32
}

func (l *startHistogram) add(started int64) {
	b := started / int64(startBucketWidth)
	i := b % startBuckets
	if l.buckets[i] != b {
		l.buckets[i], l.counts[i] = b, 0
	}
	l.counts[i]++
}

// countFrom returns the number of answers to attempts that started at the given time
// or up to laterBuckets buckets later.
func (l *startHistogram) countFrom(started int64) uint32 {
	n := uint32(0)
	for b := started / int64(startBucketWidth); b <= started/int64(startBucketWidth)+laterBuckets; b++ {
		if l.buckets[b%startBuckets] == b {
			n += l.counts[b%startBuckets]
		}
	}
	return n
}

// otherOverdue reports whether another target of the group had overdue attempts at
// the last tick.
func (g *group) otherOverdue(t *target) bool {
	return g.overdue > 1 || g.overdue == 1 && t.pendingEvidence.oldest == 0
}

// updatePending recomputes the evidence of all attempts in flight and returns the
// targets with overdue attempts.
func (t *Tracker) updatePending(now int64) []*target {
	for _, target := range t.overdue {
		target.pendingEvidence = pendingEvidence{}
		target.group.overdue = 0
	}
	t.overdue = t.overdue[:0]
	lateAttempts := t.lateAttempts[:0]
	decayWeight := t.decayWeight(now)
	for a := t.open.first; a != nil; a = a.next {
		if a.trial || a.target.state == Draining {
			continue
		}
		if a.step = float32(t.ageStep(a, now, decayWeight)); a.step > 0 {
			lateAttempts = append(lateAttempts, a)
			t.markOverdue(a, now)
		}
	}
	for _, a := range lateAttempts {
		switch {
		case t.peersResponding(a):
			a.target.pendingEvidence.add(a)
		case now-a.started > int64((laterBuckets+1)*startBucketWidth):
			// The peers did not respond either: the attempt is left over from a
			// shared stall.
			a.target.pendingEvidence.shared += a.step
		}
		if !a.fresh && a.step >= overdueStep {
			a.target.suspectUntil = max(a.target.suspectUntil, now+int64(overdueSuspectTime))
		}
	}
	clear(lateAttempts)
	t.lateAttempts = lateAttempts[:0]
	return t.overdue
}

// markOverdue adds the target of an overdue attempt to the overdue targets. Attempts
// are visited in order of start, so the first one of a target is its oldest.
func (t *Tracker) markOverdue(a *openAttempt, now int64) {
	p := &a.target.pendingEvidence
	if p.oldest != 0 {
		return
	}
	p.oldest = time.Duration(now - a.started)
	p.answers = a.target.responses - a.responses
	a.target.group.overdue++
	t.overdue = append(t.overdue, a.target)
}

// add adds the evidence of an overdue attempt. Attempts that started within
// startBucketWidth of each other count once: a stall leaves over several attempts
// from the same moment, and by chance one target may have more of them than others.
func (p *pendingEvidence) add(a *openAttempt) {
	if p.lastStart != 0 && a.started-p.lastStart < int64(startBucketWidth) {
		return
	}
	p.lastStart = a.started
	if a.fresh {
		p.fresh += a.step
	} else {
		p.reused += a.step
	}
}

// NeedsFreshConnection reports whether attempts at a target should use new
// connections, because one on a reused connection is overdue, timed out or was
// broken off. Only a new connection shows whether the target itself or just its open
// connections stopped responding.
func (t *Tracker) NeedsFreshConnection(now time.Time, id ident.TargetID) bool {
	target := t.targets[id]
	return target != nil && now.UnixNano() < target.suspectUntil
}
