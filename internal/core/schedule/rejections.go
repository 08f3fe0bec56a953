package schedule

import (
	"math"
	"time"
)

const (
	// rejectionCost is the cost of a target that rejects every attempt, in lost requests. A rejected
	// request needs a retry, and while targets reject many there are retries for less than half.
	rejectionCost = 0.5
	// rejectionWeight is the weight of the newest attempt in the share of rejected ones: two
	// rejections in a row outweigh any difference in load.
	rejectionWeight = 0.4
	// rejectionHalfLife is the half-life of the share without attempts. A target that accepts
	// requests again is tried within a few seconds.
	rejectionHalfLife = 2 * time.Second
)

// rejectionShare estimates the share of the attempts that a target rejects because of its load.
// The pause after a rejection ends within a second and with the first response, so that targets
// which accept one request at a time would get as many as the others.
type rejectionShare struct {
	share     float64
	updatedAt time.Time
}

// observe adds the result of an attempt.
func (r *rejectionShare) observe(now time.Time, rejected bool) {
	share, to := r.value(now), 0.0
	if rejected {
		to = 1
	}
	r.share, r.updatedAt = share+rejectionWeight*(to-share), now
}

// value returns the share at a time.
func (r *rejectionShare) value(now time.Time) float64 {
	return r.share * math.Exp2(-max(0, now.Sub(r.updatedAt).Seconds())/rejectionHalfLife.Seconds())
}
