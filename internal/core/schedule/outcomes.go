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

type outcomeBucket struct{ ended, unserved, idempotent int }

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
func (c *outcomeCounter) add(now time.Time, ended, unserved int) {
	b := c.bucket(now)
	b.ended += ended
	b.unserved += unserved
}

// sum returns the totals of the window.
func (c *outcomeCounter) sum(now time.Time) outcomeBucket {
	c.bucket(now)
	var s outcomeBucket
	for _, p := range c.buckets {
		s.ended += p.ended
		s.unserved += p.unserved
		s.idempotent += p.idempotent
	}
	return s
}
