package limit

import (
	"math"
	"time"
)

const (
	// meanGain is the weight of a new sample in the mean service time.
	meanGain = 1.0 / 16
	// lowQuantileGain is the weight of a higher sample in the low quantile. Lower
	// samples are taken over at once.
	lowQuantileGain = 1.0 / 32
	// estimateHalfLife is the half-life of an estimate without new samples. Without
	// the decay, an estimate above every deadline would refuse all requests and
	// could never be corrected.
	estimateHalfLife = 5 * time.Second
)

// ServiceTime estimates how long requests of one class occupy a slot.
type ServiceTime struct {
	meanSeconds        float64
	lowQuantileSeconds float64
	updatedAt          time.Time
}

// Add adds the duration of an answered attempt.
func (s *ServiceTime) Add(now time.Time, took time.Duration) {
	sample := max(0, took.Seconds())
	if s.updatedAt.IsZero() {
		s.meanSeconds, s.lowQuantileSeconds, s.updatedAt = sample, sample, now
		return
	}
	s.updatedAt = now
	s.meanSeconds += (sample - s.meanSeconds) * meanGain
	if sample < s.lowQuantileSeconds {
		s.lowQuantileSeconds = sample
		return
	}
	s.lowQuantileSeconds += (sample - s.lowQuantileSeconds) * lowQuantileGain
}

// Mean returns the mean service time, 0 if unknown.
func (s *ServiceTime) Mean(now time.Time) time.Duration { return s.decayed(now, s.meanSeconds) }

// LastMean returns the last known mean without decay, 0 if unknown.
func (s *ServiceTime) LastMean() time.Duration {
	return time.Duration(s.meanSeconds * float64(time.Second))
}

// LowQuantile returns a service time below which few requests fall, 0 if unknown.
func (s *ServiceTime) LowQuantile(now time.Time) time.Duration {
	return s.decayed(now, s.lowQuantileSeconds)
}

func (s *ServiceTime) decayed(now time.Time, seconds float64) time.Duration {
	age := max(0, now.Sub(s.updatedAt)).Seconds()
	return time.Duration(seconds * math.Exp2(-age/estimateHalfLife.Seconds()) * float64(time.Second))
}

// QueueWait estimates the time until a request with others ahead of it is assigned
// one of the slots.
func QueueWait(mean time.Duration, ahead, slots int) time.Duration {
	return time.Duration(float64(mean) * float64(ahead+1) / float64(max(1, slots)))
}
