package gray

import (
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestOneFailureCounts guards against a filter that needs several failures: on
// these days a target fails within a millisecond, and each further request lost
// there cannot be repeated.
func TestOneFailureCounts(t *testing.T) {
	b := NewBelief(epoch, NewModel())
	b.Observe(epoch, false)
	next := epoch.Add(500 * time.Millisecond)
	before := b.FailureProbability(next)
	b.Observe(next, true)
	if after := b.FailureProbability(next); before > 0.15 || after < 0.5 {
		t.Errorf("probability of failure %.2f after a success and %.2f after a failure, want at most 0.15 and at least 0.5", before, after)
	}
}

// TestRecoveryIsNoticed guards against a target that stays avoided although its
// requests succeed, and against one that is trusted again by time alone at once.
func TestRecoveryIsNoticed(t *testing.T) {
	b := NewBelief(epoch, NewModel())
	b.Observe(epoch, true)
	soon := epoch.Add(500 * time.Millisecond)
	if p := b.FailingProbability(soon); p < 0.5 {
		t.Errorf("failing with probability %.2f half a second after a failure, want 0.5 or more", p)
	}
	for range 3 {
		b.Observe(soon, false)
	}
	if p := b.FailingProbability(soon); p > 0.25 {
		t.Errorf("failing with probability %.2f after three successes, want 0.25 or less", p)
	}
}

// TestRatesAreLearned guards against rates that fit one deployment only: targets
// that fail for 12 s at a time must be left alone longer than ones that fail for
// a second.
func TestRatesAreLearned(t *testing.T) {
	after := func(failingFor time.Duration) float64 {
		m := NewModel()
		rng := rand.New(rand.NewPCG(1, 2))
		for range 20 {
			b := NewBelief(epoch, m)
			now := epoch
			for range 6 {
				for end := now.Add(4 * failingFor); now.Before(end); now = now.Add(100 * time.Millisecond) {
					failing := end.Sub(now) <= failingFor
					b.Observe(now, rng.Float64() < map[bool]float64{false: 0.01, true: 0.9}[failing])
				}
			}
		}
		b := NewBelief(epoch, m)
		b.Observe(epoch, true)
		b.Observe(epoch, true)
		return b.FailingProbability(epoch.Add(3 * time.Second))
	}
	short, long := after(time.Second), after(12*time.Second)
	if short > 0.5 || long < 0.6 {
		t.Errorf("3 s after two failures: failing with probability %.2f where targets fail for 1 s (want at most 0.5), %.2f where they fail for 12 s (want at least 0.6)", short, long)
	}
}

// TestBeliefIsAProbability guards against sums that drift from 1 over many
// outcomes and pauses.
func TestBeliefIsAProbability(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	b := NewBelief(epoch, NewModel())
	now := epoch
	for range 10_000 {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(time.Second)))
		b.Observe(now, rng.Float64() < 0.3)
		sum := b.p[well] + b.p[partial] + b.p[full]
		if p := b.FailureProbability(now); sum < 0.999 || sum > 1.001 || p < 0 || p > 1 {
			t.Fatalf("sum %g, probability of failure %g", sum, p)
		}
	}
}

// TestPace guards against one long request that makes a target look slow, and
// against a slow target that is not noticed.
func TestPace(t *testing.T) {
	var p LatencyRatio
	p.Observe(epoch, 10*time.Second, 200*time.Millisecond)
	if f := p.Value(epoch); f > 1.6 {
		t.Errorf("factor %.1f after one long response, want at most 1.6", f)
	}
	for range 8 {
		p.Observe(epoch, time.Second, 200*time.Millisecond)
	}
	if f := p.Value(epoch); f < 3 {
		t.Errorf("factor %.1f after eight responses that took 5 times as long, want 3 or more", f)
	}
	if f := p.Value(epoch.Add(time.Minute)); f > 1.1 {
		t.Errorf("factor %.1f a minute later, want about 1", f)
	}
}
