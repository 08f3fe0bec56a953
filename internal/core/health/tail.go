package health

import "math"

// Parameters of the latency tail of a group.
const (
	// tailWidth is the width of a histogram bin in log latency, tailBins the number
	// of bins above the baseline. They cover latencies up to a factor of 22,000.
	tailWidth = 0.25
	tailBins  = 40
	// maxTailScore is the latency score, as a share of the threshold, from which a
	// target's answers are not added to the tail, because a slow target would make
	// the tail heavier.
	maxTailScore = 0.2
	// minTailWeight is the minimum number of answers for the tail to be used.
	minTailWeight = 30
)

// latencyTail is a histogram of the log latency above the baseline, with
// forward-decayed weights. Multimodal latency, such as that of cache hits and misses,
// has more large values than a normal distribution of the same variance: with a tenth
// of the answers 25 times slower, the normal tail alone ejected 35 healthy targets in
// 24 target-hours at balance 1.
type latencyTail struct {
	total float64
	bins  [tailBins]float64
}

func (t *latencyTail) add(x, weight float64) {
	t.total += weight
	if x >= 0 {
		t.bins[min(int(x/tailWidth), tailBins-1)] += weight
	}
}

func (t *latencyTail) scale(f float64) {
	t.total *= f
	for i := range t.bins {
		t.bins[i] *= f
	}
}

// exceedance returns the share of answers above x, or 0 if it is unknown. weight is the
// forward-decay weight of an answer at this time.
func (t *latencyTail) exceedance(x, weight float64) float64 {
	if x < 0 || t.total < minTailWeight*weight {
		return 0
	}
	position := x / tailWidth
	first := min(int(position), tailBins-1)
	sum := t.bins[first] * max(1-(position-float64(first)), 0)
	for _, n := range t.bins[first+1:] {
		sum += n
	}
	return sum / t.total
}

// evidence returns -ln P(excess > x) under the normal or the observed distribution,
// whichever has the heavier tail.
func (t *latencyTail) evidence(x, sigma, weight float64) float64 {
	e := logTail(x / sigma)
	if p := t.exceedance(x, weight); p > 0 {
		e = min(e, -math.Log(p))
	}
	return e
}

// normalized returns the value that is as rare in a normal distribution as x is among
// the observed answers, but at most x.
func (t *latencyTail) normalized(x, sigma, weight float64) float64 {
	p := t.exceedance(x, weight)
	if p <= 0 || p >= 0.5 {
		return x
	}
	return min(x, sigma*math.Sqrt2*math.Erfinv(1-2*p))
}
