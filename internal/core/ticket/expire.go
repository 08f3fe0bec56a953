package ticket

import (
	"container/heap"
	"time"
)

// expiryHeap orders entries by expiry, earliest first.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an entry, for container/heap.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop removes the last entry, for container/heap.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// advance moves the time forward, never back, and drops what has expired. A
// dropped ticket stays refused, because its expiry stays in the past.
//
// Expiries have no monotonic reading, so times are compared without it. With
// it, a wall clock that is set back would still count as later, and a ticket
// whose outcome was dropped would be admitted again.
func (t *Table) advance(now time.Time) {
	now = now.Round(0)
	if !now.After(t.now) {
		return
	}
	t.now = now
	for len(t.expiries) > 0 && t.past(t.expiries[0].expiry) {
		t.drop(heap.Pop(&t.expiries).(*entry))
	}
	for len(t.issued) > 0 && t.past(t.issued[0].expiry) {
		t.outstanding -= t.issued[0].n
		t.issued = t.issued[1:]
	}
	for id, i := range t.issuers {
		if id != t.self && t.past(i.lastExpiry) {
			delete(t.issuers, id)
		}
	}
	for from, im := range t.imports {
		if t.past(im.forget) {
			t.release(im)
			delete(t.imports, from)
		}
	}
}

// past tells whether an expiry has been reached.
func (t *Table) past(expiry time.Time) bool { return !expiry.After(t.now) }

// drop forgets an expired entry.
func (t *Table) drop(e *entry) {
	t.bytes -= e.response.size()
	delete(t.entries, e.id)
}
