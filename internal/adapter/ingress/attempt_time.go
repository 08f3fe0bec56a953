package ingress

import (
	"math"
	"sync"
	"time"
)

// Parameters of attemptTimes: the gains of the moving averages of the mean and of the deviation, the number
// of deviations above the mean that few attempts exceed, and the number of attempts from which the averages
// say something. Gains and deviations are those of TCP's retransmission timeout (RFC 6298).
const (
	meanGain           = 1. / 8
	deviationGain      = 1. / 4
	upperDeviations    = 4
	minAttemptsCounted = 8
)

// attemptTimes estimates how long attempts of a class take. It is safe for concurrent use.
type attemptTimes struct {
	mu              sync.Mutex
	mean, deviation float64
	count           int
}

// add adds the duration of an attempt that was answered.
func (e *attemptTimes) add(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sample := float64(took)
	if e.count == 0 {
		e.mean, e.deviation = sample, sample/2
	} else {
		e.deviation += deviationGain * (math.Abs(sample-e.mean) - e.deviation)
		e.mean += meanGain * (sample - e.mean)
	}
	e.count++
}

// upperBound returns a duration that few attempts exceed, or fallback before enough attempts have ended.
func (e *attemptTimes) upperBound(fallback time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.count < minAttemptsCounted {
		return fallback
	}
	return time.Duration(e.mean + upperDeviations*e.deviation)
}
