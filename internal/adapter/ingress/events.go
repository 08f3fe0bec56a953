package ingress

import (
	"sync"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/engine"
)

// eventInterval is the shortest time between two events of the same problem.
// Overload refuses thousands of requests a second, which would push every other
// event out of the timeline.
const eventInterval = time.Second

// problemEvents records refusals and unknown outcomes in the timeline. Problems
// of one type within eventInterval become one event with their number.
type problemEvents struct {
	recorder engine.Recorder

	mu      sync.Mutex
	pending map[problemKey]*problemCount
}

type problemKey struct{ name, outcome string }

// problemCount counts problems since the last event. It exists while a timer
// runs that ends the interval.
type problemCount struct {
	count int
	// requestID is that of the first one counted.
	requestID string
}

func newProblemEvents(recorder engine.Recorder) *problemEvents {
	return &problemEvents{recorder: recorder, pending: map[problemKey]*problemCount{}}
}

// note takes a problem. The first one is recorded at once, those that follow
// within the interval at its end.
func (e *problemEvents) note(p *Problem, requestID string) {
	key := problemKey{p.Type, p.Outcome}
	e.mu.Lock()
	counted := e.pending[key]
	if counted != nil {
		if counted.count == 0 {
			counted.requestID = requestID
		}
		counted.count++
		e.mu.Unlock()
		return
	}
	e.pending[key] = &problemCount{}
	time.AfterFunc(eventInterval, func() { e.flush(key) })
	e.mu.Unlock()
	e.record(key, problemCount{count: 1, requestID: requestID})
}

// flush ends an interval. When problems were counted in it, another one begins.
func (e *problemEvents) flush(key problemKey) {
	e.mu.Lock()
	counted := *e.pending[key]
	if counted.count == 0 {
		delete(e.pending, key)
		e.mu.Unlock()
		return
	}
	*e.pending[key] = problemCount{}
	time.AfterFunc(eventInterval, func() { e.flush(key) })
	e.mu.Unlock()
	e.record(key, counted)
}

func (e *problemEvents) record(key problemKey, counted problemCount) {
	kind := event.RequestRefused
	if key.outcome == OutcomeUnknown {
		kind = event.OutcomeUnknown
	}
	e.recorder.Record(kind, event.F("problem", key.name), event.F("count", counted.count), event.F("request_id", counted.requestID))
}
