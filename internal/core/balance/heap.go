package balance

// entry is the state of a candidate and its position in one of the heaps of its
// distance.
type entry struct {
	candidate int
	// load is the load relative to the slots.
	load float64
	// virtualTime orders candidates with equal load. Each pick advances it by the
	// inverse of the candidate's capacity, so that picks are proportional to
	// capacity.
	virtualTime float64
	// dueAt is the clock of the group at which a ramping candidate is due for its
	// next pick.
	dueAt float64
	// inHeap is the heap that contains the entry, nil if the candidate is
	// unavailable; position is the index there.
	inHeap   *entryHeap
	position int
}

// entryHeap implements heap.Interface. It orders entries by load and then virtual
// time, or by due time alone.
type entryHeap struct {
	entries   []*entry
	byDueTime bool
}

func (h *entryHeap) Len() int { return len(h.entries) }

func (h *entryHeap) Less(i, j int) bool {
	a, b := h.entries[i], h.entries[j]
	if h.byDueTime {
		return a.dueAt < b.dueAt || (a.dueAt == b.dueAt && a.candidate < b.candidate)
	}
	if a.load != b.load {
		return a.load < b.load
	}
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
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
	e.inHeap, e.position = h, len(h.entries)
	h.entries = append(h.entries, e)
}

func (h *entryHeap) Pop() any {
	last := len(h.entries) - 1
	e := h.entries[last]
	h.entries[last] = nil
	h.entries = h.entries[:last]
	e.inHeap = nil
	return e
}
