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

// bucket returns the bucket for a time and clears expired buckets.
func (t *outcomeCounter) bucket(now time.Time) *outcomeBucket {
	part := now.UnixNano() / int64(outcomeSpan/outcomeBuckets)
	for p := max(t.current+1, part-outcomeBuckets+1); p <= part; p++ {
		t.buckets[p%outcomeBuckets] = outcomeBucket{}
	}
	t.current = max(t.current, part)
	return &t.buckets[t.current%outcomeBuckets]
}

// add counts requests that ended.
func (t *outcomeCounter) add(now time.Time, ended, unserved int) {
	part := t.bucket(now)
	part.ended += ended
	part.unserved += unserved
}

// sum returns the totals of the window.
func (t *outcomeCounter) sum(now time.Time) outcomeBucket {
	t.bucket(now)
	var s outcomeBucket
	for _, p := range t.buckets {
		s.ended += p.ended
		s.unserved += p.unserved
		s.idempotent += p.idempotent
	}
	return s
}
