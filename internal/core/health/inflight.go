package health

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Parameters of the evidence from attempts in flight.
const (
	// ageOffset is subtracted from -ln P(latency > age): ages below the peers'
	// 86th percentile are no evidence.
	ageOffset = 2.0
	// overdueZ is below the standard score at which -ln P(Z > z) is ageOffset.
	overdueZ = 1.1
	// maxAgeStep bounds what one attempt adds to about one failure, so that at
	// least three overdue attempts are needed at any balance.
	maxAgeStep = 5.0
	// answerCredit is subtracted for each response that the target gave since its
	// oldest overdue attempt started. It is above the burst test's step for an
	// answer (0.36), so that attempts left over from a stall do not outweigh the
	// answers after it.
	answerCredit = 1.0
	// minLaterAnswers is the number of peers' answers to attempts that started
	// with or soon after an overdue one. Without them the whole group has
	// stopped, which is no evidence against one target.
	minLaterAnswers = 1
	// minServiceAnswers is the same for peers at other distances.
	minServiceAnswers = 3
	// startBucket is the resolution of starts, and laterBuckets the number of
	// buckets that count as soon after: attempts from a service-wide stall would
	// otherwise count against their targets when the stall ends.
	startBucket  = 100 * time.Millisecond
	laterBuckets = 5
	// startBuckets bounds the age of attempts that can be confirmed (12.8 s).
	startBuckets = 128
	// reusedWeight is the weight of silence or a break on a reused connection.
	reusedWeight = 0.2
	// maxReusedShare bounds the evidence of reused connections in thresholds.
	maxReusedShare = 0.45
	// suspectTime is how long new connections are asked for after a reused one
	// broke or timed out; overdueTime is how long after a tick that saw a silent
	// one. It is short because healthy answers are overdue at times.
	suspectTime = 5 * time.Second
	overdueTime = 300 * time.Millisecond
	// overdueStep is the step from which an attempt on a reused connection makes
	// the target's other reused connections suspect.
	overdueStep = 1.0
)

// openAttempt is an attempt in flight, linked in order of start.
type openAttempt struct {
	id       ident.AttemptID
	target   *target
	started  int64
	answered uint32
	profile  uint8
	fresh    bool
	trial    bool
	// confirmed tells that peers answered later attempts.
	confirmed bool
	// step is the evidence of the attempt's age at the last tick.
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

// pending is the censored evidence of a target's attempts in flight at a tick.
type pending struct {
	fresh, reused float32
	// shared is the evidence that the peers' silence contradicts.
	shared float32
	// oldest is the age of the oldest overdue attempt.
	oldest time.Duration
	// lastStart is the start of the newest attempt that counts.
	lastStart int64
	credit    uint32
}

// steps is the evidence against this target alone, without the discount of
// reused connections.
func (p pending) steps() float64 {
	return float64(p.fresh-p.shared) + float64(p.reused) - answerCredit*float64(p.credit)
}

// score bounds the share of reused connections. Their silence counts fully up
// to the bound once a new connection is silent too.
func (p pending) score(h float64) float64 {
	weight := reusedWeight
	if p.fresh >= overdueStep {
		weight = 1
	}
	reused := min(weight*float64(p.reused), maxReusedShare*h)
	return max(float64(p.fresh-p.shared)+reused-answerCredit*float64(p.credit), 0)
}

// ageStep returns the censored evidence of an attempt that has taken age
// without a response.
func (t *Tracker) ageStep(a *openAttempt, now int64, weight float64) float64 {
	g := a.target.group
	b := g.longBaseline(a.target, weight)
	if !b.known {
		return 0
	}
	x := g.logSeconds(time.Duration(now-a.started)) - g.centers[a.profile].mean - a.target.slack()
	if x-b.mean <= overdueZ*b.sigma {
		return 0
	}
	b = b.withRecent(a.target, now).withNewest(&t.recent, a.target, now)
	step := g.tail.evidence(x-b.mean, b.sigma, weight) - ageOffset
	return min(max(step, 0), maxAgeStep)
}

// peersAnswer reports whether the silence concerns this target alone: peers of
// its group answered attempts that started after a, or none of them is overdue
// and other targets of the service answered. The second rule serves small
// groups, whose few peers may have no attempt at the time.
func (t *Tracker) peersAnswer(a *openAttempt) bool {
	if a.confirmed {
		return true
	}
	g := a.target.group
	own := a.target.answered - a.answered
	a.confirmed = g.size > 1 && g.starts.since(a.started) >= own+minLaterAnswers ||
		!g.overdueBeside(a.target) && t.starts.since(a.started) >= own+minServiceAnswers
	return a.confirmed
}

// startLog counts answers by the time at which their attempts started.
type startLog struct {
	bucket [startBuckets]int64
	count  [startBuckets]uint32
}

func (l *startLog) add(started int64) {
	b := started / int64(startBucket)
	i := b % startBuckets
	if l.bucket[i] != b {
		l.bucket[i], l.count[i] = b, 0
	}
	l.count[i]++
}

// since counts the answers to attempts that started with or soon after an
// attempt.
func (l *startLog) since(started int64) uint32 {
	n := uint32(0)
	for b := started / int64(startBucket); b <= started/int64(startBucket)+laterBuckets; b++ {
		if l.bucket[b%startBuckets] == b {
			n += l.count[b%startBuckets]
		}
	}
	return n
}

// overdueBeside reports whether another target of the group had overdue
// attempts at the last tick.
func (g *group) overdueBeside(t *target) bool {
	return g.overdue > 1 || g.overdue == 1 && t.pending.oldest == 0
}

// age collects the evidence of all attempts in flight and returns the targets
// with overdue attempts.
func (t *Tracker) age(now int64) []*target {
	for _, target := range t.overdue {
		target.pending = pending{}
		target.group.overdue = 0
	}
	t.overdue = t.overdue[:0]
	late := t.late[:0]
	weight := t.weight(now)
	for a := t.open.first; a != nil; a = a.next {
		if a.trial || a.target.state == Draining {
			continue
		}
		if a.step = float32(t.ageStep(a, now, weight)); a.step > 0 {
			late = append(late, a)
			t.markOverdue(a, now)
		}
	}
	for _, a := range late {
		switch {
		case t.peersAnswer(a):
			a.target.pending.add(a)
		case now-a.started > int64((laterBuckets+1)*startBucket):
			// Peers were silent too: the attempt is left over from a shared stall.
			a.target.pending.shared += a.step
		}
		if !a.fresh && a.step >= overdueStep {
			a.target.suspectTill = max(a.target.suspectTill, now+int64(overdueTime))
		}
	}
	clear(late)
	t.late = late[:0]
	return t.overdue
}

// markOverdue records the oldest overdue attempt of a target.
func (t *Tracker) markOverdue(a *openAttempt, now int64) {
	p := &a.target.pending
	if p.oldest != 0 {
		return
	}
	p.oldest = time.Duration(now - a.started)
	p.credit = a.target.answered - a.answered
	a.target.group.overdue++
	t.overdue = append(t.overdue, a.target)
}

// add takes an attempt. Those that started within a bucket count once: they are
// left over from the same moment of a stall, of which chance gives one target
// several.
func (p *pending) add(a *openAttempt) {
	if p.lastStart != 0 && a.started-p.lastStart < int64(startBucket) {
		return
	}
	p.lastStart = a.started
	if a.fresh {
		p.fresh += a.step
	} else {
		p.reused += a.step
	}
}

// NeedsFresh reports whether attempts at a target should use new connections,
// because a reused one went silent or broke. Only new connections tell whether
// the target or just its open connections stopped responding.
func (t *Tracker) NeedsFreshConnection(now time.Time, id ident.TargetID) bool {
	target := t.targets[id]
	return target != nil && now.UnixNano() < target.suspectTill
}
