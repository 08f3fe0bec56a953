package limit

import "time"

// Queue is the bounded queue of one service. It serves its flows, one for each
// class, by deficit round robin with the expected slot time as cost, so that a
// class with long requests gets no more slot time than the others.
type Queue[T any] struct {
	bound    int
	length   int
	reserved int
	flows    []*Flow[T]
	current  int
}

// Flow is the part of a queue that holds one class.
type Flow[T any] struct {
	// retries are served before first attempts, since they waited before.
	retries list[T]
	first   list[T]
	cost    float64
	deficit float64
}

// Item is a queued value.
type Item[T any] struct {
	Value      T
	flow       *Flow[T]
	list       *list[T]
	prev, next *Item[T]
}

type list[T any] struct {
	head, tail *Item[T]
	length     int
}

// NewQueue returns a queue without flows that holds at most bound values.
func NewQueue[T any](bound int) *Queue[T] { return &Queue[T]{bound: bound} }

// SetBound changes the bound. Values beyond a lower bound stay queued.
func (q *Queue[T]) SetCapacity(bound int) { q.bound = bound }

// SetFlows replaces the flows; the caller empties flows that it leaves out.
func (q *Queue[T]) SetFlows(flows []*Flow[T]) {
	q.flows = flows
	q.current = 0
}

// Len returns the number of values, reservations included.
func (q *Queue[T]) Len() int { return q.length + q.reserved }

// Full reports whether the bound is reached.
func (q *Queue[T]) Full() bool { return q.Len() >= q.bound }

// Empty reports whether no value is queued, reservations aside.
func (q *Queue[T]) Empty() bool { return q.length == 0 }

// Reserve holds a place for a value that will be queued later, and reports
// whether there was one.
func (q *Queue[T]) Reserve() bool {
	if q.Full() {
		return false
	}
	q.reserved++
	return true
}

// Release gives up a reservation.
func (q *Queue[T]) Release() { q.reserved-- }

// Push queues a value and returns nil when the queue is full.
func (q *Queue[T]) Push(f *Flow[T], value T, retry bool) *Item[T] {
	if q.Full() {
		return nil
	}
	item := &Item[T]{Value: value, flow: f, list: &f.first}
	if retry {
		item.list = &f.retries
	}
	item.list.push(item)
	q.length++
	return item
}

// Remove takes an item out of the queue.
func (q *Queue[T]) Remove(item *Item[T]) {
	item.list.remove(item)
	q.length--
	if item.flow.Len() == 0 {
		item.flow.deficit = 0
	}
}

// Len returns the number of values in the flow.
func (f *Flow[T]) Len() int { return f.retries.length + f.first.length }

// First returns the number of first attempts in the flow.
func (f *Flow[T]) FirstAttempts() int { return f.first.length }

// Newest returns the first attempt that was queued last, nil if there is none.
func (f *Flow[T]) Newest() *Item[T] { return f.first.tail }

// SetCost sets the expected slot time of one value.
func (f *Flow[T]) SetCost(expected time.Duration) { f.cost = expected.Seconds() }

// Heads returns the items to serve next: the oldest retry and the oldest first
// attempt; either may be nil.
func (f *Flow[T]) Heads() (retry, first *Item[T]) { return f.retries.head, f.first.head }

// minCost keeps a flow whose cost is unknown or tiny from being served without
// bound before the others.
const minCost = 0.001

// Next offers values to serve in fair order until serve accepts one, which is
// then removed. It returns false when serve accepted none.
func (q *Queue[T]) Next(serve func(T) bool) bool {
	quantum := q.quantum()
	for range q.flows {
		f := q.flows[q.current]
		if item := f.offer(serve); item != nil {
			q.served(f, item, quantum)
			return true
		}
		q.current = (q.current + 1) % len(q.flows)
	}
	return false
}

func (f *Flow[T]) offer(serve func(T) bool) *Item[T] {
	retry, first := f.Heads()
	if retry != nil && serve(retry.Value) {
		return retry
	}
	if first != nil && serve(first.Value) {
		return first
	}
	return nil
}

// served charges a flow and moves on once the flow's deficit is used up. The
// quantum is the largest cost, so each visit serves at least one value.
func (q *Queue[T]) served(f *Flow[T], item *Item[T], quantum float64) {
	cost := max(minCost, f.cost)
	if f.deficit < cost {
		f.deficit += quantum
	}
	f.deficit -= cost
	q.Remove(item)
	if f.deficit < cost {
		q.current = (q.current + 1) % len(q.flows)
	}
}

func (q *Queue[T]) quantum() float64 {
	quantum := minCost
	for _, f := range q.flows {
		if f.Len() > 0 {
			quantum = max(quantum, f.cost)
		}
	}
	return quantum
}

func (l *list[T]) push(item *Item[T]) {
	item.prev = l.tail
	if l.tail == nil {
		l.head = item
	} else {
		l.tail.next = item
	}
	l.tail = item
	l.length++
}

func (l *list[T]) remove(item *Item[T]) {
	if item.prev == nil {
		l.head = item.next
	} else {
		item.prev.next = item.next
	}
	if item.next == nil {
		l.tail = item.prev
	} else {
		item.next.prev = item.prev
	}
	item.prev, item.next = nil, nil
	l.length--
}
