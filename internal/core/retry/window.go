package retry

import "time"

// windowBuckets is the number of buckets that span the length of a Window.
const windowBuckets = 20

// Window limits the retries in any span of a fixed length to a fraction of the
// requests in that span plus an allowance.
type WindowBudget struct {
	ratio, allowance float64
	bucketLength     time.Duration
	// buckets is a ring buffer that covers the latest span and one more bucket, so
	// that no span of that length contains more than what is counted.
	buckets [windowBuckets + 1]windowBucket
	current int64
}

type windowBucket struct{ requests, retries float64 }

// NewWindow returns a window that allows no retries until Configure is called.
func NewWindowBudget() *WindowBudget { return &WindowBudget{bucketLength: time.Second} }

// Configure sets the length of the span, the retries allowed per request and the
// allowance in addition to them.
func (w *WindowBudget) Configure(span time.Duration, ratio, allowance float64) {
	w.bucketLength = max(time.Millisecond, span/windowBuckets)
	w.ratio, w.allowance = ratio, allowance
}

// Request counts a request.
func (w *WindowBudget) Request(now time.Time) { w.bucket(now).requests++ }

// Take counts a retry if it is allowed and reports whether it is.
func (w *WindowBudget) Take(now time.Time) bool {
	if w.Remaining(now) < 1 {
		return false
	}
	w.bucket(now).retries++
	return true
}

// Remaining returns the number of retries that are allowed now.
func (w *WindowBudget) Remaining(now time.Time) float64 {
	w.bucket(now)
	requests, retries := 0.0, 0.0
	for _, b := range w.buckets {
		requests += b.requests
		retries += b.retries
	}
	return w.ratio*requests + w.allowance - retries
}

// bucket returns the current bucket and clears expired ones.
func (w *WindowBudget) bucket(now time.Time) *windowBucket {
	bucket := now.UnixNano() / int64(w.bucketLength)
	n := int64(len(w.buckets))
	for i := max(w.current+1, bucket-n+1); i <= bucket; i++ {
		w.buckets[i%n] = windowBucket{}
	}
	w.current = max(w.current, bucket)
	return &w.buckets[w.current%n]
}
