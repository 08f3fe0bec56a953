package gray

import (
	"math"
	"time"
)

// Parameters of the model.
const (
	// onsetPerSecond is the rate at which a target that is well starts to fail.
	onsetPerSecond = 0.02
	// recoveryPerSecond is the rate at which a failing target becomes well.
	recoveryPerSecond = 0.15
	// partialShare is the share of onsets after which a target fails part of its
	// requests rather than nearly all.
	partialShare = 0.5
)

// state is a hidden state of a target.
type state int

const (
	well state = iota
	partial
	full
	states
)

// failureRate is the probability that a request fails in each state.
var failureRate = [states]float64{well: 0.015, partial: 0.5, full: 0.95}

// Belief is the probability of each hidden state of one target at a time.
type Belief struct {
	p  [states]float64
	at time.Time
}

// usual is the belief about a target of which nothing is known: the stationary
// distribution of the model.
func usual() [states]float64 {
	failing := onsetPerSecond / (onsetPerSecond + recoveryPerSecond)
	return [states]float64{well: 1 - failing, partial: failing * partialShare, full: failing * (1 - partialShare)}
}

// NewBelief returns the belief about a target of which nothing is known.
func NewBelief(now time.Time) Belief { return Belief{p: usual(), at: now} }

// advance moves the belief on to a later time.
func (b *Belief) advance(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	// Both failing states recover at the same rate, so the belief approaches the
	// usual one exponentially.
	keep := math.Exp(-(onsetPerSecond + recoveryPerSecond) * elapsed)
	rest := usual()
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
func (b Belief) Failing(now time.Time) float64 {
	b.advance(now)
	return b.p[partial] + b.p[full]
}
