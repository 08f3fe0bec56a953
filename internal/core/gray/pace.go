package gray

import (
	"math"
	"time"
)

const (
	// paceGain is the weight of a new sample in a target's pace.
	paceGain = 0.25
	// paceHalfLife is the time in which an estimate without new samples halves.
	paceHalfLife = 5 * time.Second
	// maxLogRatio bounds what one response says, so that one long request does not
	// make a target look slow.
	maxLogRatio = 1.5
)

// Pace estimates how slow a target is: the smoothed logarithm of its response
// times relative to what the request class usually takes.
type LatencyRatio struct {
	log float64
	at  time.Time
}

// Observe takes one response time and the usual one of its class.
func (p *LatencyRatio) Observe(now time.Time, took, usual time.Duration) {
	if usual <= 0 || took <= 0 {
		return
	}
	ratio := math.Log(float64(took) / float64(usual))
	ratio = min(max(ratio, -maxLogRatio), maxLogRatio)
	current := p.value(now)
	p.log = current + paceGain*(ratio-current)
	p.at = now
}

func (p *LatencyRatio) value(now time.Time) float64 {
	if p.at.IsZero() {
		return 0
	}
	return p.log * math.Exp2(-now.Sub(p.at).Seconds()/paceHalfLife.Seconds())
}

// Factor is how many times the usual time a response of the target takes.
func (p *LatencyRatio) Value(now time.Time) float64 { return math.Exp(p.value(now)) }
