package replay

import "time"

// item is one event. Events at the same time run in the order of insertion.
type item struct {
	at  time.Duration
	seq uint64
	run simEvent
}

// simEvent is something that happens at a time.
type simEvent interface{ happen(p *player) }

// queue is a binary heap of events. It does not use container/heap, which
// would allocate for each item.
type queue struct {
	items []item
	seq   uint64
}

func (a *item) before(b *item) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}

func (q *queue) push(at time.Duration, e simEvent) {
	q.seq++
	q.items = append(q.items, item{at: at, seq: q.seq, run: e})
	i := len(q.items) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !q.items[i].before(&q.items[parent]) {
			return
		}
		q.items[i], q.items[parent] = q.items[parent], q.items[i]
		i = parent
	}
}

func (q *queue) pop() (item, bool) {
	if len(q.items) == 0 {
		return item{}, false
	}
	top := q.items[0]
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = item{}
	q.items = q.items[:last]
	q.down(0)
	return top, true
}

func (q *queue) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(q.items) {
			return
		}
		if child+1 < len(q.items) && q.items[child+1].before(&q.items[child]) {
			child++
		}
		if !q.items[child].before(&q.items[i]) {
			return
		}
		q.items[i], q.items[child] = q.items[child], q.items[i]
		i = child
	}
}
