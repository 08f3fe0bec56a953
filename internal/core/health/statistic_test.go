package health

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// sequentialTest is a sequential test on outcomes that BenchmarkStatistics compares with
// others.
type sequentialTest struct {
	name string
	new  func() func(failed bool) float64
}

// cusum returns the CUSUM test of the failure rate p1 against p0.
func cusum(p0, p1 float64) func(bool) float64 {
	score := 0.0
	return func(failed bool) float64 {
		if failed {
			score = max(score+math.Log(p1/p0), 0)
		} else {
			score = max(score+math.Log((1-p1)/(1-p0)), 0)
		}
		return score
	}
}

// shiryaevRoberts returns the log of the Shiryaev-Roberts statistic.
func shiryaevRoberts(p0, p1 float64) func(bool) float64 {
	r := 0.0
	return func(failed bool) float64 {
		ratio := (1 - p1) / (1 - p0)
		if failed {
			ratio = p1 / p0
		}
		r = (1 + r) * ratio
		return math.Log1p(r)
	}
}

var sequentialTests = []sequentialTest{
	{"consecutive", func() func(bool) float64 {
		n, noise := 0.0, rand.New(rand.NewPCG(1, 1))
		return func(failed bool) float64 {
			n++
			if !failed {
				n = 0
			}
			return n + noise.Float64()/1e3
		}
	}},
	{"window50", func() func(bool) float64 {
		var window [50]bool
		i, n := 0, 0
		return func(failed bool) float64 {
			if window[i] {
				n--
			}
			if failed {
				n++
			}
			window[i] = failed
			i = (i + 1) % len(window)
			return float64(n)
		}
	}},
	{"cusum30", func() func(bool) float64 { return cusum(minFailureRate, highRateShift) }},
	{"cusum3", func() func(bool) float64 { return cusum(minFailureRate, lowRateShift) }},
	{"shiryaev-roberts30", func() func(bool) float64 { return shiryaevRoberts(minFailureRate, highRateShift) }},
	{"shiryaev-roberts3", func() func(bool) float64 { return shiryaevRoberts(minFailureRate, lowRateShift) }},
	{"high-rate+low-rate", func() func(bool) float64 {
		var s cusumState
		return func(failed bool) float64 {
			s.addOutcome(failed, 0, 1, math.Inf(1))
			return s.score()
		}
	}},
}

// BenchmarkStatistics compares sequential tests at the same rate of false alarms, about
// one per million and one per 7 million healthy attempts with 0.1% errors. It reports the
// median number of attempts until 5%, 30% and 100% errors are detected.
func BenchmarkStatistics(b *testing.B) {
	for _, alarms := range []int{20, 3} {
		for _, c := range sequentialTests {
			b.Run(fmt.Sprintf("alarms=%d/%s", alarms, c.name), func(b *testing.B) { benchmarkStatistic(b, c, alarms) })
		}
	}
}

func benchmarkStatistic(b *testing.B, c sequentialTest, alarms int) {
	for b.Loop() {
		h := falseAlarmThreshold(c, alarms)
		for _, rate := range []float64{0.05, 0.3, 1} {
			b.ReportMetric(medianDelay(c, h, rate), fmt.Sprintf("attempts@%v", rate))
		}
		b.ReportMetric(h, "threshold")
	}
}

// falseAlarmThreshold returns the threshold that the scores of alarms out of 2,000 healthy
// series of 10,000 attempts reach.
func falseAlarmThreshold(c sequentialTest, alarms int) float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	var peaks []float64
	for range 2000 {
		step, peak := c.new(), 0.0
		for range 10000 {
			peak = max(peak, step(rng.Float64() < 0.001))
		}
		peaks = append(peaks, peak)
	}
	slices.Sort(peaks)
	return peaks[len(peaks)-alarms]
}

func medianDelay(c sequentialTest, h, rate float64) float64 {
	rng := rand.New(rand.NewPCG(3, 4))
	var delays []float64
	for range 501 {
		step, n := c.new(), 0
		for range 100 {
			step(rng.Float64() < 0.001)
		}
		for n < 10000 {
			n++
			if step(rng.Float64() < rate) > h {
				break
			}
		}
		delays = append(delays, float64(n))
	}
	slices.Sort(delays)
	return delays[len(delays)/2]
}
