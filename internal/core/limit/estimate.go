package limit

import (
	"math"
	"time"
)

const (
	// meanGain is the weight of a new sample in the mean service time.
	meanGain = 1.0 / 16
	// fastGain is the weight of a slower sample in the fast service time.
	fastGain = 1.0 / 32
	// estimateHalfLife is the time in which an estimate without new samples
	// halves. Without it, an estimate above every deadline would refuse all
	// requests and so never be corrected.
	estimateHalfLife = 5 * time.Second
)

// ServiceTime estimates how long requests of one class occupy a slot.
type ServiceTime struct {
	mean float64
	fast float64
	last time.Time
}

// Add takes the duration of an answered attempt.
func (s *ServiceTime) Add(now time.Time, took time.Duration) {
	sample := max(0, took.Seconds())
	if s.last.IsZero() {
		s.mean, s.fast, s.last = sample, sample, now
		return
	}
	s.last = now
	s.mean += (sample - s.mean) * meanGain
	if sample < s.fast {
		s.fast = sample
		return
	}
	s.fast += (sample - s.fast) * fastGain
}

// Mean returns the mean service time, 0 when unknown.
func (s *ServiceTime) Mean(now time.Time) time.Duration { return s.decayed(now, s.mean) }

// Typical returns the last known mean, however old it is; 0 when unknown.
func (s *ServiceTime) LastMean() time.Duration { return time.Duration(s.mean * float64(time.Second)) }

// Fast returns a service time that few requests undercut, 0 when unknown.
func (s *ServiceTime) LowQuantile(now time.Time) time.Duration { return s.decayed(now, s.fast) }

func (s *ServiceTime) decayed(now time.Time, seconds float64) time.Duration {
	age := max(0, now.Sub(s.last)).Seconds()
	return time.Duration(seconds * math.Exp2(-age/estimateHalfLife.Seconds()) * float64(time.Second))
}

// Wait estimates the time until a request that has others ahead of it gets
// one of the slots.
func QueueWait(mean time.Duration, ahead, slots int) time.Duration {
	return time.Duration(float64(mean) * float64(ahead+1) / float64(max(1, slots)))
}
