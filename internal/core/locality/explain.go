package locality

import (
	"maps"
	"time"
)

// Clone returns a copy that shares no state with the shares.
func (s *Shares) Clone() Shares {
	out := *s
	out.pairs = maps.Clone(s.pairs)
	for zone, p := range out.pairs {
		copied := *p
		out.pairs[zone] = &copied
	}
	return out
}

// SinceUpdate returns the time since the shares were computed, negative if they never were.
func (s *Shares) SinceUpdate(now time.Time) time.Duration {
	if s.updatedAt.IsZero() {
		return -1
	}
	return now.Sub(s.updatedAt)
}
