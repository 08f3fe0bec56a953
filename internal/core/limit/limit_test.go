package limit

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestAdaptive guards against a limit that falls below 1, falls several times
// for one overload, recovers above the slots, ignores or trusts without bound
// the Retry-After of a target, or lets a target that sheds at once attract work.
func TestAdaptive(t *testing.T) {
	a := NewAdaptive(epoch, 6)
	now := epoch
	check := func(limit int, paused bool) {
		t.Helper()
		if got := a.Limit(now); got != limit || a.Paused(now) != paused {
			t.Fatalf("limit is %d, paused %v; want %d, %v", got, a.Paused(now), limit, paused)
		}
	}
	check(6, false)
	for range 5 {
		a.Shed(now, time.Hour)
	}
	check(4, true)
	now = now.Add(maxPause)
	check(6, false)
	for range 20 {
		now = now.Add(decreaseInterval)
		a.Shed(now, 0)
	}
	check(1, true)
	a.Answered()
	now = now.Add(maxBackoff)
	check(1, false)
	a.Shed(now, 0)
	now = now.Add(basePause)
	check(1, false)
	for range 4 {
		before := a.Limit(now)
		next, ok := a.NextChange(now)
		if !ok {
			t.Fatal("a lowered limit announces no change")
		}
		now = next
		check(before+1, false)
	}
	a.SetSlots(now, 2)
	check(2, false)
	now = now.Add(time.Hour)
	check(2, false)
	a.SetSlots(now, 3)
	check(3, false)
	if _, ok := a.NextChange(now); ok {
		t.Fatal("a full limit announces a change")
	}
}

// TestQueueFairness guards against a class with long or many requests that
// takes the slots from the others: each gets the same slot time.
func TestQueueFairness(t *testing.T) {
	q := NewQueue[int](1000)
	lookups, uploads, blocked := &Flow[int]{}, &Flow[int]{}, &Flow[int]{}
	lookups.SetCost(20 * time.Millisecond)
	uploads.SetCost(200 * time.Millisecond)
	q.SetFlows([]*Flow[int]{uploads, blocked, lookups})
	for range 300 {
		q.Push(uploads, 0, false)
		q.Push(lookups, 1, false)
		q.Push(blocked, 2, false)
	}
	var served [3]int
	serve := func(v int) bool {
		if v == 2 {
			return false
		}
		served[v]++
		return true
	}
	for range 220 {
		q.Next(serve)
	}
	if served[0] < 19 || served[0] > 21 || served[1] < 199 || served[1] > 201 {
		t.Fatalf("%d uploads and %d lookups served, want about 20 and 200", served[0], served[1])
	}
}

// TestQueueBound guards against a queue that grows beyond its bound, counts
// reservations wrongly or serves retries after first attempts.
func TestQueueBound(t *testing.T) {
	q := NewQueue[int](3)
	f := &Flow[int]{}
	q.SetFlows([]*Flow[int]{f})
	first := q.Push(f, 1, false)
	q.Push(f, 2, true)
	if !q.Reserve() || q.Reserve() || q.Push(f, 3, false) != nil {
		t.Fatal("the bound does not hold")
	}
	q.Release()
	q.Remove(first)
	q.Push(f, 4, false)
	q.Push(f, 5, true)
	var order []int
	for q.Next(func(v int) bool { order = append(order, v); return true }) {
	}
	if len(order) != 3 || order[0] != 2 || order[1] != 5 || order[2] != 4 || q.Len() != 0 {
		t.Fatalf("served %v, want [2 5 4]", order)
	}
}

// TestServiceTimeDecays guards against an estimate above every deadline that
// refuses all requests and so is never corrected.
func TestServiceTimeDecays(t *testing.T) {
	var s ServiceTime
	if s.Mean(epoch) != 0 || s.LowQuantile(epoch) != 0 {
		t.Fatal("an unknown service time is not 0")
	}
	s.Add(epoch, time.Minute)
	if got := s.LowQuantile(epoch.Add(10 * estimateHalfLife)); got > 100*time.Millisecond {
		t.Fatalf("estimate is %v after 10 half-lives", got)
	}
}
