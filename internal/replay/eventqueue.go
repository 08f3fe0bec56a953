package replay

import "time"

// scheduledEvent is an event with its time. Events at the same time run in the order
// of insertion.
type scheduledEvent struct {
	at    time.Duration
	seq   uint64
	event simEvent
}

// simEvent is a change of the simulation at the current time.
type simEvent interface{ apply(sim *simulation) }

// eventQueue is a binary heap of events. It does not use container/heap, which would
// allocate for each event.
type eventQueue struct {
	heap []scheduledEvent
	seq  uint64
}

func (a *scheduledEvent) before(b *scheduledEvent) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}

func (q *eventQueue) push(at time.Duration, e simEvent) {
	q.seq++
	q.heap = append(q.heap, scheduledEvent{at: at, seq: q.seq, event: e})
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !q.heap[i].before(&q.heap[parent]) {
			return
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

func (q *eventQueue) pop() (scheduledEvent, bool) {
	if len(q.heap) == 0 {
		return scheduledEvent{}, false
	}
	top := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = scheduledEvent{}
	q.heap = q.heap[:last]
	q.siftDown(0)
	return top, true
}

func (q *eventQueue) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.heap) {
			return
		}
		if child+1 < len(q.heap) && q.heap[child+1].before(&q.heap[child]) {
			child++
		}
		if !q.heap[child].before(&q.heap[i]) {
			return
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
}
