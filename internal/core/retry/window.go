package retry

import "time"

// windowParts is the number of parts in which a Window counts.
const windowParts = 20

// Window bounds retries in any span of a fixed length: to a fraction of the
// requests in it and an allowance on top.
type Window struct {
	ratio, allowance float64
	part             time.Duration
	// counts is a ring over the parts of the latest span and one more, so that
	// no span of the length holds more than what is counted.
	counts  [windowParts + 1]windowCount
	current int64
}

type windowCount struct{ requests, retries float64 }

// NewWindow returns a window that allows nothing until Configure.
func NewWindow() *Window { return &Window{part: time.Second} }

// Configure sets the length of the span, the retries allowed for each request,
// and those allowed on top.
func (w *Window) Configure(span time.Duration, ratio, allowance float64) {
	w.part = max(time.Millisecond, span/windowParts)
	w.ratio, w.allowance = ratio, allowance
}

// Request counts a request.
func (w *Window) Request(now time.Time) { w.at(now).requests++ }

// Take counts a retry if it is allowed and reports whether it is.
func (w *Window) Take(now time.Time) bool {
	if w.Remaining(now) < 1 {
		return false
	}
	w.at(now).retries++
	return true
}

// Left returns the number of retries that are allowed now.
func (w *Window) Remaining(now time.Time) float64 {
	w.at(now)
	requests, retries := 0.0, 0.0
	for _, c := range w.counts {
		requests += c.requests
		retries += c.retries
	}
	return w.ratio*requests + w.allowance - retries
}

// at returns the count of the current part and clears the parts that have passed.
func (w *Window) at(now time.Time) *windowCount {
	part := now.UnixNano() / int64(w.part)
	n := int64(len(w.counts))
	for p := max(w.current+1, part-n+1); p <= part; p++ {
		w.counts[p%n] = windowCount{}
	}
	w.current = max(w.current, part)
	return &w.counts[w.current%n]
}
