package membudget

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const mb = 1 << 20

var start = time.Unix(1_800_000_000, 0)

// open opens a body that must be granted and records why it is evicted.
func open(t *testing.T, b *Budget, client string, declared int64, now time.Time, evicted *Reason) *Body {
	t.Helper()
	body, decision := b.OpenBody(client, declared, now, func(r Reason) { *evicted = r })
	if decision != Granted {
		t.Fatalf("a body of %d bytes of %s is refused", declared, client)
	}
	return body
}

func grow(t *testing.T, b *Body, n int64, now time.Time, want Decision) {
	t.Helper()
	if got := b.Grow(n, now); got != want {
		t.Fatalf("growing by %d: decision %d, want %d", n, got, want)
	}
	if want == Granted {
		b.Received(int(n), now)
	}
}

// TestLargestBodyFits guards against a budget in which a body of 64 MiB finds no room on an idle host
// with 184 MB.
func TestLargestBodyFits(t *testing.T) {
	b := New(DefaultConfig(184 * mb / 2))
	for b.Take(Connections, 16<<10) && b.used[Connections] < b.cfg.Reserved[Connections] {
	}
	var evicted Reason
	body := open(t, b, "a", 64*mb, start, &evicted)
	grow(t, body, 64*mb, start, Granted)
	body.Close()
	body.Close()
	if used := b.Status().Used[Bodies] + b.Status().Used[SmallBodies]; used != 0 {
		t.Errorf("%d bytes are in use after the close", used)
	}
}

// TestReservedParts guards against uses of one kind that take the room of ordinary requests.
func TestReservedParts(t *testing.T) {
	b := New(DefaultConfig(64 * mb))
	var evicted Reason
	large := open(t, b, "a", -1, start, &evicted)
	for large.Grow(64<<10, start) == Granted {
	}
	if !b.Take(Responses, 4*mb) || !b.Take(Connections, 4*mb) || !b.Take(Requests, 4*mb) {
		t.Error("bodies took the room of responses, requests or connections")
	}
	small := open(t, b, "a", 4<<10, start, &evicted)
	grow(t, small, 4<<10, start, Granted)
	if b.Take(Responses, mb) {
		t.Error("the budget is exceeded")
	}
}

// TestNoRoomForDeclaredLength guards against bodies that are read although they will not fit beside those
// that arrive.
func TestNoRoomForDeclaredLength(t *testing.T) {
	b := New(DefaultConfig(64 * mb))
	var evicted Reason
	first := open(t, b, "a", 40*mb, start, &evicted)
	grow(t, first, mb, start, Granted)
	if _, decision := b.OpenBody("a", 20*mb, start, func(Reason) {}); decision != Refused {
		t.Error("a body is accepted that has no room beside another one")
	}
	grow(t, first, 39*mb, start, Granted)
	if !first.Complete() || evicted != 0 {
		t.Error("the first body was evicted")
	}
}

// TestStalledBodyIsEvictedFirst guards against bodies that stop short of their end and keep the room from
// those that make progress.
func TestStalledBodyIsEvictedFirst(t *testing.T) {
	b := New(DefaultConfig(64 * mb))
	var stalledWhy, activeWhy, lateWhy Reason
	stalled := open(t, b, "many", 20*mb, start, &stalledWhy)
	grow(t, stalled, 19*mb, start, Granted)
	active := open(t, b, "many", 20*mb, start, &activeWhy)
	later := start.Add(defaultStallTime)
	stalled.Received(1, later)
	grow(t, active, 19*mb, later, Granted)
	late := open(t, b, "late", 20*mb, later, &lateWhy)
	if stalledWhy != Stalled || activeWhy != 0 {
		t.Fatalf("evicted for %d and %d, want the stalled body only", stalledWhy, activeWhy)
	}
	grow(t, late, 20*mb, later, Wait)
	grow(t, stalled, mb, later, Evicted)
	if stalled.Complete() {
		t.Error("an evicted body is complete")
	}
	stalled.Close()
	grow(t, late, 20*mb, later, Granted)
	grow(t, active, mb, later, Granted)
	if !active.Complete() || !late.Complete() {
		t.Error("a body that makes progress was evicted")
	}
}

// TestClientWithManyBodiesYields guards against a client with many bodies that keeps out one with few.
func TestClientWithManyBodiesYields(t *testing.T) {
	b := New(DefaultConfig(64 * mb))
	reasons := make([]Reason, 4)
	for i := range reasons {
		grow(t, open(t, b, "many", 12*mb, start, &reasons[i]), 11*mb, start, Granted)
	}
	if _, decision := b.OpenBody("many", 12*mb, start, func(Reason) {}); decision != Refused {
		t.Error("a client displaced its own body")
	}
	var evicted Reason
	open(t, b, "few", 10*mb, start, &evicted)
	unfair := 0
	for _, r := range reasons {
		if r == Unfair {
			unfair++
		}
	}
	if unfair != 1 {
		t.Errorf("%d bodies were evicted, want 1: %v", unfair, reasons)
	}
}

// TestBudgetIsNeverExceeded guards against an order of events after which the budget is exceeded, or not
// empty when all is released.
func TestBudgetIsNeverExceeded(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 1))
		b := New(DefaultConfig(4 * mb))
		var bodies []*Body
		var responses int64
		now := start
		for range 2000 {
			now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
			switch k := r.IntN(8); {
			case k == 0:
				declared := int64(r.IntN(2*mb)) - 1
				if body, decision := b.OpenBody(string(rune('a'+r.IntN(5))), declared, now, func(Reason) {}); decision == Granted {
					bodies = append(bodies, body)
				}
			case k == 1:
				if n := int64(r.IntN(mb)); b.Take(Responses, n) {
					responses += n
				}
			case k == 2:
				b.Release(Responses, responses)
				responses = 0
			case len(bodies) == 0:
			case k == 3:
				bodies[r.IntN(len(bodies))].Complete()
			case k == 4:
				bodies[r.IntN(len(bodies))].Close()
			default:
				body := bodies[r.IntN(len(bodies))]
				if n := int64(r.IntN(128 << 10)); body.Grow(n, now) == Granted {
					body.Received(int(n), now)
				}
			}
			if used := b.Used(); used > b.Size() {
				t.Fatalf("seed %d: %d of %d bytes are in use", seed, used, b.Size())
			}
		}
		b.Release(Responses, responses)
		for _, body := range bodies {
			body.Close()
		}
		if s := b.Status(); b.Used() != 0 || b.evicting != 0 || s.Arriving != 0 || s.Clients != 0 {
			t.Fatalf("seed %d: not empty at the end: %+v, %d bytes of evicted bodies", seed, s, b.evicting)
		}
	}
}

// TestUndeclaredBodyLeavesPromisedRoom guards against a body of unknown length that takes the
// room of one that has declared its length and makes progress.
func TestUndeclaredBodyLeavesPromisedRoom(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	b := New(DefaultConfig(64 << 20))
	declared, decision := b.OpenBody("a", 40<<20, now, func(Reason) {})
	if decision != Granted || declared.Grow(1<<20, now) != Granted {
		t.Fatal("the declared body has no room")
	}
	declared.Received(1<<20, now)
	chunked, decision := b.OpenBody("b", -1, now, func(Reason) {})
	if decision != Granted {
		t.Fatal("the body of unknown length was not opened")
	}
	for chunked.Grow(64<<10, now) == Granted {
	}
	for range 39 {
		if d := declared.Grow(1<<20, now); d != Granted {
			t.Fatalf("the declared body got %v", d)
		}
	}
}

// TestTransitLeavesDeclaredRoom guards against uploads on their way to targets that take the room
// which bodies have declared and not received yet, so that these are refused halfway.
func TestTransitLeavesDeclaredRoom(t *testing.T) {
	b := New(DefaultConfig(64 * mb))
	var evicted Reason
	body := open(t, b, "a", 46*mb, start, &evicted)
	if b.TakeTransit(4*mb, start) || !b.TakeTransit(mb, start) {
		t.Error("the bytes in transit have room beyond what is declared, and no other")
	}
	grow(t, body, 46*mb, start, Granted)
	b.Release(Transit, mb)
	body.Close()
	for range 8 {
		if !b.TakeTransit(mb, start) {
			t.Error("an eighth of the budget is not available to bytes in transit")
		}
	}
	if b.TakeTransit(1, start) {
		t.Error("bytes in transit take more than an eighth of the budget")
	}
}

// TestEvictStalled guards against bodies without progress that keep connections from others, and against the
// eviction of bodies that make progress or of more than asked for.
func TestEvictStalled(t *testing.T) {
	b := New(DefaultConfig(64 << 20))
	start := time.Unix(0, 0)
	var evicted []string
	open := func(name, client string, at time.Time) *Body {
		body, decision := b.OpenBody(client, 4<<10, at, func(Reason) { evicted = append(evicted, name) })
		if decision != Granted {
			t.Fatalf("%s: decision %v", name, decision)
		}
		return body
	}
	open("lone", "a", start)
	open("newer", "b", start.Add(2*time.Millisecond))
	open("older", "b", start.Add(time.Millisecond))
	moving := open("moving", "b", start)
	now := start.Add(2 * defaultStallTime)
	moving.Received(progressBytes, now)
	if n := b.EvictStalled(2, now); n != 2 || !slices.Equal(evicted, []string{"older", "newer"}) {
		t.Errorf("evicted %d: %v, want the bodies of the client with more of them, the older one first", n, evicted)
	}
	if n := b.EvictStalled(5, now); n != 1 || evicted[len(evicted)-1] != "lone" {
		t.Errorf("evicted %d: %v, want the lone one", n, evicted)
	}
	if n := b.EvictStalled(-1, now); n != 0 {
		t.Errorf("evicted %d without need", n)
	}
	if status := b.Status(); status.EvictedStalled != 3 || status.Arriving != 1 {
		t.Errorf("%+v", status)
	}
}
