package dispatch

import (
	"container/heap"
	"time"
)

type timerKind int

const (
	// requestTimer ends the wait of a queued request or starts a retry.
	requestTimer timerKind = iota
	// limitTimer updates limits that recover and reports that decay.
	limitTimer
	// probeTimer sends the next probe of a target.
	probeTimer
)

// timer is an entry of the timer heap; index is its position in the heap.
type timer struct {
	at      time.Time
	seq     uint64
	index   int
	kind    timerKind
	request *request
	target  *target
}

// timers is a heap of timers, so that the cost of a tick depends on the number
// of due timers.
type timers struct {
	heap timerHeap
	seq  uint64
}

func (ts *timers) add(t *timer) *timer {
	ts.seq++
	t.seq = ts.seq
	heap.Push(&ts.heap, t)
	return t
}

func (ts *timers) remove(t *timer) {
	if t != nil && t.index >= 0 {
		heap.Remove(&ts.heap, t.index)
	}
}

// popDue removes and returns the earliest due timer, or nil.
func (ts *timers) popDue(now time.Time) *timer {
	if len(ts.heap) == 0 || ts.heap[0].at.After(now) {
		return nil
	}
	return heap.Pop(&ts.heap).(*timer)
}

func (ts *timers) next() (time.Time, bool) {
	if len(ts.heap) == 0 {
		return time.Time{}, false
	}
	return ts.heap[0].at, true
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *timerHeap) Push(x any) {
	t := x.(*timer)
	t.index = len(*h)
	*h = append(*h, t)
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.index = -1
	return t
}
