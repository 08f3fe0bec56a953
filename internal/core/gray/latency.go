package gray

import (
	"math"
	"time"
)

const (
	// latencyRatioGain is the weight of a new sample.
	latencyRatioGain = 0.25
	// latencyRatioHalfLife is the half-life of an estimate without new samples.
	latencyRatioHalfLife = 5 * time.Second
	// maxLogRatio bounds the effect of one response, so that a single long request
	// does not make a target appear slow.
	maxLogRatio = 1.5
)

// LatencyRatio estimates how slow a target is: the smoothed logarithm of its
// response times relative to those usual for the request class.
type LatencyRatio struct {
	logRatio float64
	at       time.Time
}

// Observe adds one response time and the usual response time of its class.
func (r *LatencyRatio) Observe(now time.Time, took, usual time.Duration) {
	if usual <= 0 || took <= 0 {
		return
	}
	ratio := math.Log(float64(took) / float64(usual))
	ratio = min(max(ratio, -maxLogRatio), maxLogRatio)
	current := r.logValue(now)
	r.logRatio = current + latencyRatioGain*(ratio-current)
	r.at = now
}

func (r *LatencyRatio) logValue(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.logRatio * math.Exp2(-now.Sub(r.at).Seconds()/latencyRatioHalfLife.Seconds())
}

// Value returns the ratio of the target's response times to the usual ones.
func (r *LatencyRatio) Value(now time.Time) float64 { return math.Exp(r.logValue(now)) }
