package standin

import (
	"io"
	"net/http"
	"sync"
	"time"
)

// PausingTarget is a target that at times answers every request with 503 and Retry-After. It
// serves the other requests after a fixed time and records arrivals. It is safe for
// concurrent use.
type PausingTarget struct {
	idHeader    string
	serviceTime time.Duration
	// bodyDelay is the time between the head and the body of a 503.
	bodyDelay time.Duration

	mu         sync.Mutex
	retryAfter string
	busyUntil  time.Time
	arrivals   []time.Time
	rejections []rejection
}

// rejection is a 503 whose Retry-After ended at the given time.
type rejection struct{ at, until time.Time }

// NewPausingTarget returns a target that rejects nothing. It returns the request ID of
// idHeader and delays the body of each 503 by bodyDelay.
func NewPausingTarget(idHeader string, serviceTime, bodyDelay time.Duration) *PausingTarget {
	return &PausingTarget{idHeader: idHeader, serviceTime: serviceTime, bodyDelay: bodyDelay}
}

// Pause makes the target reject all requests for a time with the given Retry-After header.
func (t *PausingTarget) Pause(duration time.Duration, retryAfter string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retryAfter, t.busyUntil = retryAfter, time.Now().Add(duration)
}

// ServeHTTP implements http.Handler.
func (t *PausingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	retryAfter := t.arrive()
	w.Header().Set(t.idHeader, r.Header.Get(t.idHeader))
	if retryAfter == "" {
		time.Sleep(t.serviceTime)
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("Retry-After", retryAfter)
	w.Header().Set("Content-Length", "4")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(t.bodyDelay)
	_, _ = io.WriteString(w, "busy")
}

// arrive records a request and returns the Retry-After of its rejection, "" if it is served.
func (t *PausingTarget) arrive() string {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arrivals = append(t.arrivals, now)
	if !now.Before(t.busyUntil) {
		return ""
	}
	// A header that stands for no time asks for no pause.
	wait, err := time.ParseDuration(t.retryAfter + "s")
	if err == nil {
		t.rejections = append(t.rejections, rejection{at: now, until: now.Add(wait)})
	}
	return t.retryAfter
}

// MaxArrivalsInPause returns the highest number of requests that arrived between grace after
// a 503 and the end of its Retry-After, and the number of such responses.
func (t *PausingTarget) MaxArrivalsInPause(grace time.Duration) (arrivals, rejections int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for _, r := range t.rejections {
		n := 0
		for _, at := range t.arrivals {
			if !at.Before(r.at.Add(grace)) && at.Before(r.until) {
				n++
			}
		}
		most = max(most, n)
	}
	return most, len(t.rejections)
}

// ArrivedSince returns the number of requests that arrived at from or later.
func (t *PausingTarget) ArrivedSince(from time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, at := range t.arrivals {
		if !at.Before(from) {
			n++
		}
	}
	return n
}
