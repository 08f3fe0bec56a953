package health

import (
	"math"
	"time"
)

// Parameters of the sequential tests. All scores are in nats (log-likelihood
// ratios), so the tests, the censored evidence and the evidence of other hosts
// share one threshold.
const (
	// thresholdAtBalance0 and thresholdAtBalance1 are the thresholds at balance 0
	// and 1. A failure against an error-free baseline scores about 5, so at balance 1
	// at least three failures are needed: two in a row occur by chance about 18 times
	// in 1,000 target-hours at 5 requests/s with 0.1% background errors.
	thresholdAtBalance0 = 17.0
	thresholdAtBalance1 = 11.0
	// minFailureRate is the minimum of the baseline failure rate, so that a single
	// background error is not decisive when the peers happened to have none.
	minFailureRate = 0.002
	// highRateShift and lowRateShift are the increases of the failure rate over the
	// baseline for which the two outcome tests are optimal.
	highRateShift = 0.3
	lowRateShift  = 0.03
	// latencyShift is the shift of the log latency under the alternative hypothesis
	// (a factor of 2.5).
	latencyShift = 0.92
	// latencyReference is the log shift that neither raises nor lowers the score of
	// the latency test (a factor of 2). It is above the optimal latencyShift/2: with
	// 0.6, two of 200 healthy target-hours at 5 requests/s and balance 1 ended in
	// ejection.
	latencyReference = 0.7
	// minLogSigma is the minimum standard deviation of the log latency, so that a
	// service with nearly constant latency does not eject a target for a small
	// difference.
	minLogSigma = 0.5
	// maxLatencyStep limits the step of one answer, so that a single answer from a
	// latency tail heavier than lognormal is not decisive.
	maxLatencyStep = 3.0
	// scoreHalfLife is the half-life with which the scores decay over time, so that
	// the evidence against an idle target expires.
	scoreHalfLife = 5 * time.Minute
	// maxScoreFactor limits a score, as a multiple of the threshold, so that a target
	// kept in rotation by the floor can recover.
	maxScoreFactor = 2.0
)

// threshold returns the score from which a target is removed.
func threshold(balance float64) float64 {
	return thresholdAtBalance0 + (thresholdAtBalance1-thresholdAtBalance0)*balance
}

// cusumState holds the CUSUM tests of one target.
type cusumState struct {
	// highRate and lowRate are the scores of the tests for a high and for a low
	// failure rate, slowness is the score of the latency test.
	highRate, lowRate, slowness float32
	// run and runFailed are the numbers of outcomes and failures since the outcome
	// tests were last 0, runStart is the start of the first of these attempts.
	run, runFailed uint32
	runStart       int64
	// slowRun is the number of answers since the latency test was last 0, slowSum
	// the sum of their log latencies relative to the class means, slowRunStart the
	// start of the first of these attempts.
	slowRun      uint32
	slowSum      float32
	slowRunStart int64
	// updated is the time of the last decay in nanoseconds since the Unix epoch.
	updated int64
}

// outcomeSteps returns the log-likelihood ratios of one outcome for the high-rate
// and the low-rate test against the baseline failure rate p0.
func outcomeSteps(failed bool, p0 float64) (high, low float64) {
	// The maximum of 0.95 keeps the logarithms of 1-p0 and 1-p1 finite.
	p0 = min(max(p0, minFailureRate), 0.95)
	p1 := p0 + highRateShift*(1-p0)
	// The low-rate test is for three times the baseline plus lowRateShift.
	p2 := min(p1, 3*p0+lowRateShift)
	if failed {
		return math.Log(p1 / p0), math.Log(p2 / p0)
	}
	return math.Log((1 - p1) / (1 - p0)), math.Log((1 - p2) / (1 - p0))
}

// latencyStep returns the log-likelihood ratio of an answer whose log latency exceeds
// the baseline by excess, where sigma is the standard deviation of the baseline.
func latencyStep(excess, sigma float64) float64 {
	sigma = max(sigma, minLogSigma)
	step := latencyShift / (sigma * sigma) * (excess - latencyReference)
	return min(max(step, -maxLatencyStep), maxLatencyStep)
}

// decay applies the half-life up to now.
func (s *cusumState) decay(now int64) {
	if s.highRate == 0 && s.lowRate == 0 && s.slowness == 0 {
		s.updated = now
		return
	}
	elapsed := now - s.updated
	if elapsed < int64(time.Second) {
		return
	}
	s.scale(math.Exp2(-float64(elapsed) / float64(scoreHalfLife)))
	s.updated = now
}

func (s *cusumState) scale(f float64) {
	s.highRate *= float32(f)
	s.lowRate *= float32(f)
	s.slowness *= float32(f)
}

// setRunStart records the start of an attempt as that of the run of outcomes, if it is
// the first one of the run.
func (s *cusumState) setRunStart(started int64) {
	if s.run == 1 {
		s.runStart = started
	}
}

// addOutcome adds an outcome to the outcome tests with a weight. Positive steps do not
// raise a score above limit.
func (s *cusumState) addOutcome(failed bool, p0, weight, limit float64) {
	highRate, lowRate := outcomeSteps(failed, p0)
	s.highRate = accumulate(s.highRate, weight*highRate, limit)
	s.lowRate = accumulate(s.lowRate, weight*lowRate, limit)
	if s.highRate == 0 && s.lowRate == 0 {
		s.run, s.runFailed = 0, 0
		return
	}
	s.run++
	if failed {
		s.runFailed++
	}
}

// addLatencyStep adds a step to the latency test.
func (s *cusumState) addLatencyStep(step, limit float64) {
	s.slowness = accumulate(s.slowness, step, limit)
}

// addAnswer adds a step for the latency of an answer, whose log exceeds the class mean
// by excess.
func (s *cusumState) addAnswer(started int64, excess, step, limit float64) {
	s.addLatencyStep(step, limit)
	if s.slowness == 0 {
		s.slowRun, s.slowSum = 0, 0
		return
	}
	if s.slowRun == 0 {
		s.slowRunStart = started
	}
	s.slowRun++
	s.slowSum += float32(excess)
}

// accumulate is the CUSUM recursion with an upper limit for positive steps.
func accumulate(score float32, step, limit float64) float32 {
	next := float64(score) + step
	if step > 0 {
		next = min(next, max(limit, float64(score)))
	}
	return float32(max(next, 0))
}

// score returns the highest score of the tests.
func (s *cusumState) score() float64 { return float64(max(s.highRate, s.lowRate, s.slowness)) }

// logTail returns -ln P(Z > z) of the standard normal distribution.
func logTail(z float64) float64 {
	if z > 30 {
		return z * z / 2
	}
	return -math.Log(math.Erfc(z/math.Sqrt2) / 2)
}
