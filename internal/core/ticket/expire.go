package ticket

import (
	"container/heap"
	"time"
)

// expiryHeap is a min-heap of entries by expiry.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiry.Before(h[j].expiry) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*entry)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}

// advanceTime advances the time of the table, which never decreases, and removes
// expired state. A removed ticket cannot be admitted again, because its expiry
// remains in the past.
//
// Expiries have no monotonic clock reading, so now is used without it too. With a
// monotonic reading, a time after the wall clock was set back would still compare
// as later than t.now. t.now would then decrease on the wall clock, and a ticket
// whose outcome was removed would be admitted again.
func (t *Table) advanceTime(now time.Time) {
	now = now.Round(0)
	if !now.After(t.now) {
		return
	}
	t.now = now
	for len(t.expiries) > 0 && t.expired(t.expiries[0].expiry) {
		t.removeEntry(heap.Pop(&t.expiries).(*entry))
	}
	for len(t.issued) > 0 && t.expired(t.issued[0].expiry) {
		t.outstanding -= t.issued[0].count
		t.issued = t.issued[1:]
	}
	for id, i := range t.issuers {
		if id != t.self && t.expired(i.lastExpiry) {
			delete(t.issuers, id)
		}
	}
	for from, im := range t.imports {
		if t.expired(im.discardAt) {
			t.releaseChunks(im)
			delete(t.imports, from)
		}
	}
}

// expired reports whether an expiry has been reached.
func (t *Table) expired(expiry time.Time) bool { return !expiry.After(t.now) }

// removeEntry removes an expired entry that is no longer in the heap.
func (t *Table) removeEntry(e *entry) {
	t.bytes -= e.response.size()
	delete(t.entries, e.id)
}
