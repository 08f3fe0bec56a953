package standin

import (
	"net/http"
	"sync"
	"time"
)

// RatedTarget is a target that states in its responses how many requests per second it
// accepts from all hosts together. It serves every request at once and records when
// requests arrived. It is safe for concurrent use.
type RatedTarget struct {
	rateHeader, idHeader string

	mu       sync.Mutex
	stated   string
	arrivals []time.Time
}

// NewRatedTarget returns a target that states no rate. It states rates in rateHeader and
// returns the request ID of idHeader.
func NewRatedTarget(rateHeader, idHeader string) *RatedTarget {
	return &RatedTarget{rateHeader: rateHeader, idHeader: idHeader}
}

// State sets the value that the target states from now on; an empty value ends the
// statement.
func (t *RatedTarget) State(value string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stated = value
}

// ServeHTTP implements http.Handler.
func (t *RatedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.mu.Lock()
	t.arrivals = append(t.arrivals, time.Now())
	stated := t.stated
	t.mu.Unlock()
	if stated != "" {
		w.Header().Set(t.rateHeader, stated)
	}
	w.Header().Set(t.idHeader, r.Header.Get(t.idHeader))
	w.WriteHeader(http.StatusOK)
}

// Arrived returns the number of requests that arrived in the interval.
func (t *RatedTarget) Arrived(from, to time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, at := range t.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// MaxArrivals returns the highest number of requests that arrived in a window of the
// given length that begins at from or later.
func (t *RatedTarget) MaxArrivals(from time.Time, window time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most, first := 0, 0
	for i, at := range t.arrivals {
		for t.arrivals[first].Before(from) && first < i || at.Sub(t.arrivals[first]) >= window {
			first++
		}
		if !at.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}
