package standin

import (
	"net/http"
	"sync"
	"time"
)

// LeavingHeaders are the names of the headers that a LeavingTarget uses.
type LeavingHeaders struct {
	// Leaving tells that the target is leaving, RequestID carries the ID of the request,
	// and NotRun marks a response to a request that was not run.
	Leaving, RequestID, NotRun string
}

// LeavingTarget is a target that can state in its responses that it is leaving. Until then
// it serves every request at once. It records which requests arrived. It is safe for
// concurrent use.
type LeavingTarget struct {
	headers LeavingHeaders

	mu       sync.Mutex
	leaving  string
	answer   LeavingAnswer
	arrivals []LeavingArrival
}

// LeavingAnswer is the way in which a leaving target responds.
type LeavingAnswer struct {
	// Status is the status of its responses; 0 means 200. With 503 the target states that
	// it did not run the request.
	Status int
	// BodyTime is the time between the head of a response and its end.
	BodyTime time.Duration
	// Truncate ends responses before their end.
	Truncate bool
}

// LeavingArrival is a request that arrived at a LeavingTarget.
type LeavingArrival struct {
	RequestID string
	At        time.Time
}

// NewLeavingTarget returns a target that is not leaving.
func NewLeavingTarget(headers LeavingHeaders) *LeavingTarget {
	return &LeavingTarget{headers: headers}
}

// Leave makes the target respond with a value in its leaving header. An empty value stands
// for a new process that is not leaving.
func (t *LeavingTarget) Leave(value string, answer LeavingAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving, t.answer = value, answer
}

// Arrivals returns the requests that arrived so far.
func (t *LeavingTarget) Arrivals() []LeavingArrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]LeavingArrival(nil), t.arrivals...)
}

// ServeHTTP implements http.Handler.
func (t *LeavingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(t.headers.RequestID)
	t.mu.Lock()
	t.arrivals = append(t.arrivals, LeavingArrival{RequestID: id, At: time.Now()})
	leaving, answer := t.leaving, t.answer
	t.mu.Unlock()
	header := w.Header()
	header.Set(t.headers.RequestID, id)
	if leaving != "" {
		header.Set(t.headers.Leaving, leaving)
	}
	if answer.Status == http.StatusServiceUnavailable {
		header.Set(t.headers.NotRun, "1")
	}
	header.Set("Content-Length", "4")
	w.WriteHeader(max(answer.Status, http.StatusOK))
	_, _ = w.Write([]byte("ok"))
	if answer.BodyTime > 0 {
		_ = http.NewResponseController(w).Flush()
		time.Sleep(answer.BodyTime)
	}
	if answer.Truncate {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte("ok"))
}
