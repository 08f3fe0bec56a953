package membudget

import (
	"cmp"
	"slices"
	"time"
)

// Reason is why a body was evicted.
type Reason int

const (
	// Stalled: no bytes arrived for Config.StallTime, and another request needed the room.
	Stalled Reason = iota + 1
	// Unfair: its client held more than the client of another request that needed the room.
	Unfair
)

// Decision is the result of a request for room.
type Decision int

const (
	// Granted: the bytes are reserved.
	Granted Decision = iota
	// Wait: bodies were evicted; there will be room when they are released.
	Wait
	// Refused: there is no room.
	Refused
	// Evicted: the body itself was evicted.
	Evicted
)

// progressBytes is the number of bytes that count as progress. A client that sends single bytes makes none.
const progressBytes = 512

// Body is a request body that is buffered.
type Body struct {
	budget *Budget
	client string
	// declared is the length that the client stated, or -1.
	declared int64
	// evict is called once when the body is evicted, without a lock of the budget.
	evict func(Reason)

	// The following fields are guarded by the lock of the budget.

	small, large int64
	// received and receivedMark are the number of bytes received and that at the last progress, which was
	// made at progressAt.
	received, receivedMark int64
	progressAt             time.Time
	arriving, evicted      bool
	closed                 bool
}

// OpenBody starts a body of a client. A declared length that has no room is refused before any byte is
// read; a declared length of -1 is unknown. The decision is Granted or Refused.
func (b *Budget) OpenBody(clientName string, declared int64, now time.Time, evict func(Reason)) (*Body, Decision) {
	b.mu.Lock()
	body := &Body{budget: b, client: clientName, declared: declared, evict: evict, progressAt: now, arriving: true}
	victims, decision := b.makeRoom(body, declared, now)
	if decision == Refused {
		b.refused[Bodies]++
		b.mu.Unlock()
		return nil, Refused
	}
	c := b.clients[clientName]
	if c == nil {
		c = &client{}
		b.clients[clientName] = c
	}
	c.bodies++
	b.arriving[body] = struct{}{}
	b.mu.Unlock()
	victims.evict()
	return body, Granted
}

// Grow reserves n more bytes before they are read.
func (h *Body) Grow(n int64, now time.Time) Decision {
	b := h.budget
	b.mu.Lock()
	if h.evicted || h.closed {
		b.mu.Unlock()
		return Evicted
	}
	if b.keepsPromises(h, n, now) && h.take(n) {
		b.mu.Unlock()
		return Granted
	}
	victims, decision := b.makeRoom(h, n, now)
	if decision == Granted {
		// makeRoom only grants what take could have reserved. Granting without a reservation
		// would exceed the budget.
		decision = Refused
	}
	if decision == Refused {
		b.refused[Bodies]++
	}
	b.mu.Unlock()
	victims.evict()
	return decision
}

// keepsPromises reports whether n more bytes of a body leave the room that other bodies have
// declared. A body that stays within its own declared length always does. The caller holds the
// lock.
func (b *Budget) keepsPromises(h *Body, n int64, now time.Time) bool {
	if h.declared >= h.held()+n || n <= min(b.cfg.SmallBody-h.held(), b.room(SmallBodies)) {
		return true
	}
	return n <= b.room(Bodies)-b.promisedToOthers(h, now)
}

// promisedToOthers returns the room that other bodies that make progress have declared and not
// taken. The caller holds the lock.
func (b *Budget) promisedToOthers(h *Body, now time.Time) int64 {
	var sum int64
	for other := range b.arriving {
		if other != h {
			sum += other.promised(now)
		}
	}
	return sum
}

// take reserves n bytes if there is room. The caller holds the lock.
func (h *Body) take(n int64) bool {
	b := h.budget
	small := max(0, min(n, b.cfg.SmallBody-h.small))
	if small > b.room(SmallBodies) {
		small = 0
	}
	b.used[SmallBodies] += small
	if n-small > b.room(Bodies) && n > small {
		b.used[SmallBodies] -= small
		return false
	}
	b.used[Bodies] += n - small
	h.small += small
	h.large += n - small
	b.clients[h.client].bytes += n
	return true
}

// held returns the number of bytes that the body holds. The caller holds the lock.
func (h *Body) held() int64 { return h.small + h.large }

// Received records that n bytes have arrived.
func (h *Body) Received(n int, now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.received += int64(n)
	if h.received-h.receivedMark >= progressBytes {
		h.receivedMark, h.progressAt = h.received, now
	}
}

// Complete ends the arrival of the body. It is no longer evicted. It reports false if the body was evicted
// before.
func (h *Body) Complete() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.arriving = false
	delete(h.budget.arriving, h)
	return !h.evicted
}

// Close releases what the body holds. It can be called more than once.
func (h *Body) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	delete(b.arriving, h)
	b.used[SmallBodies] -= h.small
	b.used[Bodies] -= h.large
	if h.evicted {
		b.evicting -= h.held()
	}
	c := b.clients[h.client]
	c.bytes -= h.held()
	if c.bodies--; c.bodies == 0 {
		delete(b.clients, h.client)
	}
	b.notify()
}

// stalled reports whether a body makes no progress. The caller holds the lock.
func (h *Body) stalled(now time.Time) bool { return now.Sub(h.progressAt) >= h.budget.cfg.StallTime }

// promised returns the number of bytes that an arriving body will still need. The caller holds the lock.
func (h *Body) promised(now time.Time) int64 {
	if h.declared < 0 || h.stalled(now) {
		return 0
	}
	return max(0, h.declared-h.held())
}

// eviction is a body that is evicted, and why.
type eviction struct {
	body   *Body
	reason Reason
}

type evictions []eviction

// evict calls the functions of the evicted bodies. The caller does not hold the lock.
func (e evictions) evict() {
	for _, v := range e {
		v.body.evict(v.reason)
	}
}

// makeRoom looks for n bytes of room for a body, beside what the bodies that make progress have declared.
// If there is too little, it evicts bodies. The caller holds the lock.
func (b *Budget) makeRoom(h *Body, n int64, now time.Time) (evictions, Decision) {
	if n <= max(0, min(b.cfg.SmallBody-h.held(), b.room(SmallBodies))) {
		return nil, Granted
	}
	missing := n - b.room(Bodies) + b.promisedToOthers(h, now)
	if missing <= 0 {
		return nil, Granted
	}
	// What was evicted before will be free soon.
	if missing -= b.evicting; missing <= 0 {
		return nil, Wait
	}
	var found evictions
	for _, other := range b.candidates(h, now) {
		reason := Stalled
		if !other.stalled(now) {
			reason = Unfair
		}
		found = append(found, eviction{other, reason})
		if missing -= other.held() + other.promised(now); missing <= 0 {
			break
		}
	}
	if missing > 0 {
		return nil, Refused
	}
	b.markEvicted(found)
	return found, Wait
}

// EvictStalled evicts up to n bodies that make no progress, because the connections that they arrive on are needed.
// Those of the client with the most bodies come first, then those without progress for the longest time. It
// returns their number.
func (b *Budget) EvictStalled(n int, now time.Time) int {
	if n <= 0 {
		return 0
	}
	b.mu.Lock()
	var stalled []*Body
	for body := range b.arriving {
		if body.stalled(now) {
			stalled = append(stalled, body)
		}
	}
	slices.SortFunc(stalled, func(x, y *Body) int {
		return cmp.Or(cmp.Compare(b.clients[y.client].bodies, b.clients[x.client].bodies), x.progressAt.Compare(y.progressAt))
	})
	var victims evictions
	for _, body := range stalled[:min(n, len(stalled))] {
		victims = append(victims, eviction{body, Stalled})
	}
	b.markEvicted(victims)
	b.mu.Unlock()
	victims.evict()
	return len(victims)
}

// markEvicted records that bodies are evicted. The caller holds the lock and calls evict without it.
func (b *Budget) markEvicted(victims evictions) {
	for _, v := range victims {
		v.body.evicted = true
		delete(b.arriving, v.body)
		b.evicting += v.body.held()
		if v.reason == Stalled {
			b.evictedStalled++
		} else {
			b.evictedForFairness++
		}
	}
}

// candidates returns the bodies that can be evicted for another one, in this order: those that make no
// progress, the longest first; then those of clients that hold more bytes than the client that asks, the
// largest client first. The caller holds the lock.
func (b *Budget) candidates(h *Body, now time.Time) []*Body {
	var own int64
	if c := b.clients[h.client]; c != nil {
		own = c.bytes
	}
	var list []*Body
	for other := range b.arriving {
		if other == h {
			continue
		}
		if other.stalled(now) || b.clients[other.client].bytes > own+max(0, h.declared-h.held()) {
			list = append(list, other)
		}
	}
	slices.SortFunc(list, func(x, y *Body) int {
		xs, ys := x.stalled(now), y.stalled(now)
		switch {
		case xs && ys:
			return x.progressAt.Compare(y.progressAt)
		case xs:
			return -1
		case ys:
			return 1
		}
		return int(b.clients[y.client].bytes/1024) - int(b.clients[x.client].bytes/1024)
	})
	return list
}
