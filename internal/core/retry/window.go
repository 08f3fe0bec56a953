package retry

import "time"

// windowBuckets is the number of buckets that span the length of a usageWindow.
const windowBuckets = 20

// Usage counts requests for a service and the retries of them.
type Usage struct{ Requests, Retries int }

func (u *Usage) add(v Usage) {
	u.Requests += v.Requests
	u.Retries += v.Retries
}

// History is the usage of the latest span, and of the part of it that has just begun, in
// equal parts, the latest first.
type History [windowBuckets + 1]Usage

// total returns the usage of all parts.
func (h History) total() Usage {
	var sum Usage
	for _, u := range h {
		sum.add(u)
	}
	return sum
}

// usageWindow counts the requests and retries of the latest span of a fixed length.
type usageWindow struct {
	bucketLength time.Duration
	// buckets is a ring buffer that covers the latest span and one more bucket, so
	// that no span of that length contains more than what is counted.
	buckets [windowBuckets + 1]Usage
	current int64
	// total is the sum of all buckets.
	total Usage
}

// setSpan sets the length of the span. A change of it forgets what was counted, since the
// buckets have another length.
func (w *usageWindow) setSpan(span time.Duration) {
	length := max(time.Millisecond, span/windowBuckets)
	if length != w.bucketLength {
		*w = usageWindow{bucketLength: length}
	}
}

// add counts requests and retries.
func (w *usageWindow) add(now time.Time, u Usage) { w.addAged(now, 0, u) }

// addAged counts requests and retries in the bucket that is older than the current one by a
// number of buckets.
func (w *usageWindow) addAged(now time.Time, age int, u Usage) {
	w.advance(now)
	w.buckets[w.index(age)].add(u)
	w.total.add(u)
}

// index returns the index of the bucket that is older than the current one by a number of
// buckets.
func (w *usageWindow) index(age int) int64 {
	n := int64(len(w.buckets))
	return (w.current%n - int64(age) + n) % n
}

// history returns the requests and retries of the latest span by age.
func (w *usageWindow) history(now time.Time) History {
	w.advance(now)
	var h History
	for age := range h {
		h[age] = w.buckets[w.index(age)]
	}
	return h
}

// sum returns the requests and retries of the latest span.
func (w *usageWindow) sum(now time.Time) Usage {
	w.advance(now)
	return w.total
}

// advance makes the bucket of a time the current one and clears expired ones.
func (w *usageWindow) advance(now time.Time) {
	bucket := now.UnixNano() / int64(w.bucketLength)
	n := int64(len(w.buckets))
	for i := max(w.current+1, bucket-n+1); i <= bucket; i++ {
		expired := &w.buckets[i%n]
		w.total.Requests -= expired.Requests
		w.total.Retries -= expired.Retries
		*expired = Usage{}
	}
	w.current = max(w.current, bucket)
}

// WindowBudget limits the retries in any span of a fixed length to a fraction of the
// requests in that span plus an allowance. Package dispatch uses the token bucket Budget
// instead.
type WindowBudget struct {
	ratio, allowance float64
	used             usageWindow
}

// NewWindowBudget returns a budget that allows no retries until Configure is called.
func NewWindowBudget() *WindowBudget {
	return &WindowBudget{used: usageWindow{bucketLength: time.Second}}
}

// Configure sets the length of the span, the retries allowed per request and the
// allowance in addition to them.
func (w *WindowBudget) Configure(span time.Duration, ratio, allowance float64) {
	w.used.setSpan(span)
	w.ratio, w.allowance = ratio, allowance
}

// Request counts a request.
func (w *WindowBudget) Request(now time.Time) { w.used.add(now, Usage{Requests: 1}) }

// Take counts a retry if it is allowed and reports whether it is.
func (w *WindowBudget) Take(now time.Time) bool {
	if w.Remaining(now) < 1 {
		return false
	}
	w.used.add(now, Usage{Retries: 1})
	return true
}

// Remaining returns the number of retries that are allowed now.
func (w *WindowBudget) Remaining(now time.Time) float64 {
	return w.remaining(w.used.sum(now))
}

// remaining returns the number of retries that are allowed after those of a span.
func (w *WindowBudget) remaining(u Usage) float64 {
	return w.ratio*float64(u.Requests) + w.allowance - float64(u.Retries)
}
