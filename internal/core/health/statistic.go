package health

import (
	"math"
	"time"
)

// Parameters of the sequential tests. All scores are in nats (log-likelihood
// ratios), so the tests, the censored evidence and the evidence of other hosts
// share one threshold.
const (
	// thresholdFewFalse and thresholdFast are the thresholds at balance 0 and 1.
	// A failure against a clean baseline scores about 5, so balance 1 needs at
	// least three failures: two in a row occur by chance about 18 times in 1,000
	// target-hours at 5 requests/s with 0.1% background errors.
	thresholdFewFalse = 17.0
	thresholdFast     = 11.0
	// minFailureRate is the lowest baseline failure rate, so that one background
	// error is not decisive when the peers happened to have none.
	minFailureRate = 0.002
	// burstRate and leakRate are the failure rates above the baseline for which
	// the two outcome tests are optimal.
	burstRate = 0.3
	leakRate  = 0.03
	// slowShift is the alternative's shift of the log latency (a factor of 2.5).
	slowShift = 0.92
	// slowReference is the log shift that neither raises nor lowers the latency
	// test (a factor of 2). It is above the optimal slowShift/2: with 0.6, two of
	// 200 healthy target-hours at 5 requests/s and balance 1 ended in ejection.
	slowReference = 0.7
	// minLogSigma keeps a service with nearly constant latency from ejecting a
	// target for a small difference.
	minLogSigma = 0.5
	// maxLatencyStep bounds what one answer adds, so that a latency tail that is
	// heavier than lognormal is not decisive.
	maxLatencyStep = 3.0
	// scoreHalfLife makes evidence of an idle target fade.
	scoreHalfLife = 5 * time.Minute
	// maxScoreFactor bounds a score in thresholds, so that a target kept in
	// rotation by the floor can recover.
	maxScoreFactor = 2.0
)

// threshold maps the balance to the score that removes a target.
func threshold(balance float64) float64 {
	return thresholdFewFalse + (thresholdFast-thresholdFewFalse)*balance
}

// statistic holds the CUSUM tests of one target.
type statistic struct {
	// burst and leak test the failure rate, slow tests the latency.
	burst, leak, slow float32
	// run and runFailed count the outcomes and failures since the outcome tests
	// were last 0, runSince is the start of the first attempt of them.
	run, runFailed uint32
	runSince       int64
	// slowRun counts the answers since the latency test was last 0, slowSum is
	// the sum of their log latency, slowSince the start of the first one.
	slowRun   uint32
	slowSum   float32
	slowSince int64
	// updated is the time of the last update in nanoseconds.
	updated int64
}

// outcomeSteps returns the log-likelihood ratios of one outcome for the burst
// and the leak test against the baseline failure rate p0.
func outcomeSteps(failed bool, p0 float64) (burst, leak float64) {
	p0 = min(max(p0, minFailureRate), 0.95)
	p1 := p0 + burstRate*(1-p0)
	p2 := min(p1, 3*p0+leakRate)
	if failed {
		return math.Log(p1 / p0), math.Log(p2 / p0)
	}
	return math.Log((1 - p1) / (1 - p0)), math.Log((1 - p2) / (1 - p0))
}

// latencyStep returns the log-likelihood ratio of an answer whose log latency
// is excess above the baseline with standard deviation sigma.
func latencyStep(excess, sigma float64) float64 {
	sigma = max(sigma, minLogSigma)
	step := slowShift / (sigma * sigma) * (excess - slowReference)
	return min(max(step, -maxLatencyStep), maxLatencyStep)
}

// fade applies the half-life up to now.
func (s *statistic) fade(now int64) {
	if s.burst == 0 && s.leak == 0 && s.slow == 0 {
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

func (s *statistic) scale(f float64) {
	s.burst *= float32(f)
	s.leak *= float32(f)
	s.slow *= float32(f)
}

// startRun sets the start of a run to that of its first attempt.
func (s *statistic) startRun(started int64) {
	if s.run == 1 {
		s.runSince = started
	}
}

// outcome adds a result that counts by weight. Steps up do not lift a test
// above limit.
func (s *statistic) outcome(failed bool, p0, weight, limit float64) {
	burst, leak := outcomeSteps(failed, p0)
	s.burst = accumulate(s.burst, weight*burst, limit)
	s.leak = accumulate(s.leak, weight*leak, limit)
	if s.burst == 0 && s.leak == 0 {
		s.run, s.runFailed = 0, 0
		return
	}
	s.run++
	if failed {
		s.runFailed++
	}
}

// latency adds a step to the latency test.
func (s *statistic) latency(step, limit float64) {
	s.slow = accumulate(s.slow, step, limit)
}

// answer adds the latency of an answer, whose log is excess above the center.
func (s *statistic) answer(started int64, excess, step, limit float64) {
	s.latency(step, limit)
	if s.slow == 0 {
		s.slowRun, s.slowSum = 0, 0
		return
	}
	if s.slowRun == 0 {
		s.slowSince = started
	}
	s.slowRun++
	s.slowSum += float32(excess)
}

// accumulate is the CUSUM recursion with an upper limit for steps up.
func accumulate(score float32, step, limit float64) float32 {
	next := float64(score) + step
	if step > 0 {
		next = min(next, max(limit, float64(score)))
	}
	return float32(max(next, 0))
}

// score is the highest of the tests.
func (s *statistic) score() float64 { return float64(max(s.burst, s.leak, s.slow)) }

// logTail returns -ln P(Z > z) of the standard normal distribution.
func logTail(z float64) float64 {
	if z > 30 {
		return z * z / 2
	}
	return -math.Log(math.Erfc(z/math.Sqrt2) / 2)
}
