package balance

// entry is a candidate's place in one of the heaps of its distance.
type entry struct {
	candidate int
	// load is the load relative to the slots.
	load float64
	// turn orders candidates with equal load. Each pick moves it on by the
	// inverse of the capacity, so that turns are proportional to capacity.
	turn float64
	// due is the group's clock at which a ramping candidate gets its next turn.
	due float64
	// in is the heap that holds the entry, nil when unavailable; position is
	// the index there.
	in       *entryHeap
	position int
}

// entryHeap implements heap.Interface. It orders entries by load and then
// turn, or by due alone.
type entryHeap struct {
	entries []*entry
	byDue   bool
}

func (h *entryHeap) Len() int { return len(h.entries) }

func (h *entryHeap) Less(i, j int) bool {
	a, b := h.entries[i], h.entries[j]
	if h.byDue {
		return a.due < b.due || (a.due == b.due && a.candidate < b.candidate)
	}
	if a.load != b.load {
		return a.load < b.load
	}
	if a.turn != b.turn {
		return a.turn < b.turn
	}
	return a.candidate < b.candidate
}

func (h *entryHeap) Swap(i, j int) {
	e := h.entries
	e[i], e[j] = e[j], e[i]
	e[i].position = i
	e[j].position = j
}

func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.in, e.position = h, len(h.entries)
	h.entries = append(h.entries, e)
}

func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	e.in = nil
	return e
}
