package health

import "math"

// Parameters of the latency tail of a group.
const (
	// tailWidth is the width of a bin in log latency, tailBins the number of bins
	// above the baseline: up to a factor of 22,000.
	tailWidth = 0.25
	tailBins  = 40
	// maxTailScore is the latency score (in thresholds) above which a target's
	// answers are not taken into the tail, which its slowness would fatten.
	maxTailScore = 0.2
	// minTailWeight is the number of answers below which the tail is not used.
	minTailWeight = 30
)

// tail is the distribution of the log latency above the baseline, with
// forward-decayed weights. Latency with several modes, such as cache hits and
// misses, has more large values than a normal distribution of the same
// variance: with a tenth of the answers 25 times slower, the normal tail alone
// ejected 35 healthy targets in 24 target-hours at balance 1.
type tail struct {
	total float64
	bins  [tailBins]float64
}

func (t *tail) add(x, weight float64) {
	t.total += weight
	if x >= 0 {
		t.bins[min(int(x/tailWidth), tailBins-1)] += weight
	}
}

func (t *tail) scale(f float64) {
	t.total *= f
	for i := range t.bins {
		t.bins[i] *= f
	}
}

// beyond returns the share of answers above x, or 0 if it is not known. The
// weight is that of an answer now.
func (t *tail) beyond(x, weight float64) float64 {
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

// evidence returns -ln P(excess > x), by the normal or the observed
// distribution, whichever has the fatter tail.
func (t *tail) evidence(x, sigma, weight float64) float64 {
	e := logTail(x / sigma)
	if p := t.beyond(x, weight); p > 0 {
		e = min(e, -math.Log(p))
	}
	return e
}

// normalized returns x, lowered to the value that is as rare in a normal
// distribution as x is among the observed answers.
func (t *tail) normalized(x, sigma, weight float64) float64 {
	p := t.beyond(x, weight)
	if p <= 0 || p >= 0.5 {
		return x
	}
	return min(x, sigma*math.Sqrt2*math.Erfinv(1-2*p))
}
