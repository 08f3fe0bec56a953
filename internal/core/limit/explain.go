package limit

import "time"

// SinceSample returns the time since the last answered attempt, negative if there was none.
func (s *ServiceTime) SinceSample(now time.Time) time.Duration {
	if s.updatedAt.IsZero() {
		return -1
	}
	return now.Sub(s.updatedAt)
}
