package gray

import (
	"math"
	"time"
)

// partialFailureShare is the share of onsets that lead to partial rather than full
// failure.
const partialFailureShare = 0.3

// state is a hidden state of a target.
type state int

const (
	healthy state = iota
	partialFailure
	fullFailure
	stateCount
)

// failureProbability is the probability that a request fails in each state.
var failureProbability = [stateCount]float64{healthy: 0.015, partialFailure: 0.5, fullFailure: 0.9}

// Thresholds on the failing probability, with hysteresis: between them a target
// keeps its last classification.
const (
	failingThreshold = 0.6
	healthyThreshold = 0.3
)

// Belief is the probability distribution over the hidden states of one target at a
// point in time.
type Belief struct {
	model *Model
	p     [stateCount]float64
	at    time.Time
	// observedAt is the time of the last outcome, and failing the classification of
	// the target at that time.
	observedAt time.Time
	failing    bool
}

// NewBelief returns the belief about a target without known outcomes.
func NewBelief(now time.Time, m *Model) Belief {
	return Belief{model: m, p: m.stationary(), at: now, observedAt: now}
}

// stationary returns the stationary distribution of the model.
func (m *Model) stationary() [stateCount]float64 {
	failureOnsetRate, recoveryRate := m.failureOnsetRate(), m.recoveryRate()
	failing := failureOnsetRate / (failureOnsetRate + recoveryRate)
	return [stateCount]float64{healthy: 1 - failing, partialFailure: failing * partialFailureShare, fullFailure: failing * (1 - partialFailureShare)}
}

// advance propagates the belief to a later time.
func (b *Belief) advance(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	// Both failing states have the same recovery rate, so the belief converges
	// exponentially to the stationary distribution.
	decay := math.Exp(-(b.model.failureOnsetRate() + b.model.recoveryRate()) * elapsed)
	equilibrium := b.model.stationary()
	for s := range b.p {
		b.p[s] = decay*b.p[s] + (1-decay)*equilibrium[s]
	}
}

// Observe updates the belief with the outcome of a request that ended now.
func (b *Belief) Observe(now time.Time, failed bool) {
	b.advance(now)
	total := 0.0
	for s := range b.p {
		likelihood := failureProbability[s]
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

// learn classifies the target and adds the transition to the model.
func (b *Belief) learn(now time.Time) {
	failing := b.failing
	switch p := b.p[partialFailure] + b.p[fullFailure]; {
	case p > failingThreshold:
		failing = true
	case p < healthyThreshold:
		failing = false
	}
	b.model.learn(b.failing, failing, now.Sub(b.observedAt))
	b.failing, b.observedAt = failing, now
}

// FailureProbability returns the probability that a request sent now fails.
func (b Belief) RequestFailureProbability(now time.Time) float64 {
	b.advance(now)
	sum := 0.0
	for s, p := range b.p {
		sum += p * failureProbability[s]
	}
	return sum
}

// FailingProbability returns the probability that the target is in one of the
// failing states.
func (b Belief) FailingProbability(now time.Time) float64 {
	b.advance(now)
	return b.p[partialFailure] + b.p[fullFailure]
}

// SinceObservation returns the time since the last outcome, or since the target was
// added.
func (b *Belief) SinceObservation(now time.Time) time.Duration { return now.Sub(b.observedAt) }
