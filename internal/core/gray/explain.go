package gray

import "time"

// WithModel returns the belief with another model, for a copy of all beliefs and of their model.
func (b Belief) WithModel(m *Model) Belief {
	b.model = m
	return b
}

// SinceObservation returns the time since the last response time, negative if there was none.
func (r *LatencyRatio) SinceObservation(now time.Time) time.Duration {
	if r.at.IsZero() {
		return -1
	}
	return now.Sub(r.at)
}
