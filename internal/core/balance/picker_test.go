package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

func newTestRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// TestShareIsProportional guards against targets with unequal slots or ramp
// weights that get the same share of the work, both when requests come one at
// a time and when half of the slots are busy.
func TestShareIsProportional(t *testing.T) {
	all := []Candidate{{Slots: 6, Weight: 1}, {Slots: 2, Weight: 1}, {Slots: 2, Weight: 1}, {Slots: 2, Weight: 0.25}, {Slots: 2, Weight: 0.75}}
	for _, inFlight := range []int{1, 6} {
		rng := newTestRand()
		p := New(all, rng)
		own := make([]int, len(all))
		picks := make([]float64, len(all))
		set := func(i int) { p.Set(i, CombinedLoad(own[i], 0), own[i] < int(math.Ceil(all[i].capacity()))) }
		for i := range all {
			set(i)
		}
		var running []int
		const total = 12000
		for range total {
			if len(running) == inFlight {
				last := rng.IntN(len(running))
				own[running[last]]--
				set(running[last])
				running = slices.Delete(running, last, last+1)
			}
			i, _ := p.Pick(nil)
			own[i]++
			picks[i]++
			set(i)
			running = append(running, i)
		}
		for i, c := range all {
			if want := total * c.capacity() / 12; math.Abs(picks[i]-want) > want*0.25 {
				t.Errorf("%d in flight: candidate with capacity %v got %v picks, want about %v", inFlight, c.capacity(), picks[i], want)
			}
		}
	}
}

// TestNearestWithCapacity guards against work that leaves the zone or region
// while a nearer target has capacity.
func TestNearestWithCapacity(t *testing.T) {
	p := New([]Candidate{{2, 1, OtherRegion}, {2, 1, SameRegion}, {2, 1, SameZone}, {2, 1, SameZone}}, newTestRand())
	for i := range 4 {
		p.Set(i, float64(i), true)
	}
	for _, want := range []int{2, 3, 1, 0} {
		got, ok := p.Pick(nil)
		if !ok || got != want {
			t.Fatalf("picked %d, want %d", got, want)
		}
		if got, ok := p.Pick([]int{want}); ok && got == want {
			t.Fatalf("picked excluded candidate %d", want)
		}
		p.Set(want, 2, false)
	}
	if _, ok := p.Pick(nil); ok || p.Available() {
		t.Fatal("picked an unavailable candidate")
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			rng := newTestRand()
			p := New(slices.Repeat([]Candidate{{Slots: 2, Weight: 1}}, n), rng)
			own := make([]int, n)
			for i := range n {
				own[i] = rng.IntN(2)
				p.Set(i, float64(own[i]), true)
			}
			b.ReportAllocs()
			for b.Loop() {
				i, _ := p.Pick(nil)
				p.Set(i, float64(own[i]+1), own[i] == 0)
				p.Set(i, float64(own[i]), true)
			}
		})
	}
}
