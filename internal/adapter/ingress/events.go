package ingress

import (
	"sync"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/engine"
	"github.com/sapphirehaven/sapphirehaven/internal/requestlog"
)

// eventInterval is the minimum time between two events for the same problem.
// Under overload, thousands of requests per second are rejected; one event each
// would evict all other events from the timeline.
const eventInterval = time.Second

// problemEvents records rejected requests and unknown outcomes in the timeline.
// Problems of the same type within eventInterval are aggregated into one event
// with a count.
type problemEvents struct {
	recorder engine.Recorder

	mu      sync.Mutex
	pending map[problemKey]*problemCount
}

type problemKey struct{ name, outcome string }

// problemCount counts problems since the last event. It exists while the timer
// of its interval is running.
type problemCount struct {
	count int
	// requestID is the ID of the first request counted.
	requestID string
}

func newProblemEvents(recorder engine.Recorder) *problemEvents {
	return &problemEvents{recorder: recorder, pending: map[problemKey]*problemCount{}}
}

// add records a problem. The first problem is recorded immediately; further ones
// within the interval are recorded as one event when the interval ends.
func (e *problemEvents) add(p *Problem, requestID string) {
	requestID = requestlog.Cut(requestID)
	key := problemKey{p.Type, p.Outcome}
	e.mu.Lock()
	counter := e.pending[key]
	if counter != nil {
		if counter.count == 0 {
			counter.requestID = requestID
		}
		counter.count++
		e.mu.Unlock()
		return
	}
	e.pending[key] = &problemCount{}
	time.AfterFunc(eventInterval, func() { e.flush(key) })
	e.mu.Unlock()
	e.record(key, problemCount{count: 1, requestID: requestID})
}

// flush ends an interval. If problems were counted, it records them and starts
// another interval.
func (e *problemEvents) flush(key problemKey) {
	e.mu.Lock()
	counter := *e.pending[key]
	if counter.count == 0 {
		delete(e.pending, key)
		e.mu.Unlock()
		return
	}
	*e.pending[key] = problemCount{}
	time.AfterFunc(eventInterval, func() { e.flush(key) })
	e.mu.Unlock()
	e.record(key, counter)
}

func (e *problemEvents) record(key problemKey, counter problemCount) {
	kind := event.RequestRefused
	if key.outcome == OutcomeUnknown {
		kind = event.OutcomeUnknown
	}
	e.recorder.Record(kind, event.F("problem", key.name), event.F("count", counter.count), event.F("request_id", counter.requestID))
}
