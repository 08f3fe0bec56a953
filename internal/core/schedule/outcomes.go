package schedule

import "time"

const (
	// outcomeSpan is the length of the sliding window.
	outcomeSpan = 2 * time.Second
	// outcomeBuckets is the number of buckets in the window.
	outcomeBuckets = 8
)

// outcomeCounter counts, over a sliding window of outcomeSpan, the requests for a
// service that ended on this host and on the active hosts of all regions that
// report to it, and the idempotent requests that arrived on this host.
type outcomeCounter struct {
	buckets [outcomeBuckets]outcomeBucket
	current int64
}

// outcomeBucket counts the requests of a part of the window. floorUnserved is the number
// of those that were sent to maintain the floor and not served; unserved and ended do
// not include them.
type outcomeBucket struct{ ended, unserved, floorUnserved, idempotent int }

// unservedShare is the share of requests that were not served. Those that were sent to
// maintain the floor count as well, since callers see them, but only up to the number of
// the others: the floor would otherwise stay active because of its own failures.
func (b outcomeBucket) unservedShare() float64 {
	counted := min(b.floorUnserved, b.unserved)
	return float64(b.unserved+counted) / float64(max(1, b.ended+counted))
}

// bucket returns the bucket for a time and clears expired buckets. Buckets are
// numbered from the Unix epoch.
func (c *outcomeCounter) bucket(now time.Time) *outcomeBucket {
	number := now.UnixNano() / int64(outcomeSpan/outcomeBuckets)
	for p := max(c.current+1, number-outcomeBuckets+1); p <= number; p++ {
		c.buckets[p%outcomeBuckets] = outcomeBucket{}
	}
	c.current = max(c.current, number)
	return &c.buckets[c.current%outcomeBuckets]
}

// add counts requests that ended.
func (c *outcomeCounter) add(now time.Time, ended, unserved, floorUnserved int) {
	b := c.bucket(now)
	b.ended += ended
	b.unserved += unserved
	b.floorUnserved += floorUnserved
}

// sum returns the totals of the window.
func (c *outcomeCounter) sum(now time.Time) outcomeBucket {
	c.bucket(now)
	var s outcomeBucket
	for _, p := range c.buckets {
		s.ended += p.ended
		s.unserved += p.unserved
		s.floorUnserved += p.floorUnserved
		s.idempotent += p.idempotent
	}
	return s
}
