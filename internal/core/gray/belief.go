package gray

import (
	"math"
	"time"
)

// partialShare is the share of onsets after which a target fails part of its
// requests rather than nearly all.
const partialShare = 0.3

// state is a hidden state of a target.
type state int

const (
	well state = iota
	partial
	full
	states
)

// failureRate is the probability that a request fails in each state.
var failureRate = [states]float64{well: 0.015, partial: 0.5, full: 0.9}

// Lines between which a target stays what it was last taken for.
const (
	failingLine = 0.6
	wellLine    = 0.3
)

// Belief is the probability of each hidden state of one target at a time.
type Belief struct {
	model *Model
	p     [states]float64
	at    time.Time
	// seen is the time of the last outcome, and failing what the target was taken
	// for then.
	seen    time.Time
	failing bool
}

// NewBelief returns the belief about a target of which nothing is known.
func NewBelief(now time.Time, m *Model) Belief {
	return Belief{model: m, p: m.usual(), at: now, seen: now}
}

// usual is the stationary distribution of the model.
func (m *Model) usual() [states]float64 {
	onset, recovery := m.onset(), m.recovery()
	failing := onset / (onset + recovery)
	return [states]float64{well: 1 - failing, partial: failing * partialShare, full: failing * (1 - partialShare)}
}

// advance moves the belief on to a later time.
func (b *Belief) advance(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	// Both failing states recover at the same rate, so the belief approaches the
	// usual one exponentially.
	keep := math.Exp(-(b.model.onset() + b.model.recovery()) * elapsed)
	rest := b.model.usual()
	for s := range b.p {
		b.p[s] = keep*b.p[s] + (1-keep)*rest[s]
	}
}

// Observe takes the outcome of one request that ended now.
func (b *Belief) Observe(now time.Time, failed bool) {
	b.advance(now)
	total := 0.0
	for s := range b.p {
		likelihood := failureRate[s]
		if !failed {
			likelihood = 1 - likelihood
		}
		b.p[s] *= likelihood
		total += b.p[s]
	}
	for s := range b.p {
		b.p[s] /= total
	}
	b.learn(now)
}

// learn tells the model what the target was and is taken for.
func (b *Belief) learn(now time.Time) {
	failing := b.failing
	switch p := b.p[partial] + b.p[full]; {
	case p > failingLine:
		failing = true
	case p < wellLine:
		failing = false
	}
	b.model.learn(b.failing, failing, now.Sub(b.seen))
	b.failing, b.seen = failing, now
}

// FailureProbability is the probability that a request sent now fails.
func (b Belief) FailureProbability(now time.Time) float64 {
	b.advance(now)
	sum := 0.0
	for s, p := range b.p {
		sum += p * failureRate[s]
	}
	return sum
}

// Failing is the probability that the target is in one of the failing states.
func (b Belief) FailingProbability(now time.Time) float64 {
	b.advance(now)
	return b.p[partial] + b.p[full]
}

// Age is the time since the last outcome, or since the target was added.
func (b *Belief) SinceObservation(now time.Time) time.Duration { return now.Sub(b.seen) }
