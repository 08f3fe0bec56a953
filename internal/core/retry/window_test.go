package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestWindowBoundsEverySpan guards against bursts of retries across bucket
// boundaries: the limit applies to every span, including a sliding one.
func TestWindowBoundsEverySpan(t *testing.T) {
	const span, ratio, allowance = 10 * time.Second, 0.2, 7
	start := time.Unix(1_700_000_000, 0)
	rng := rand.New(rand.NewPCG(5, 6))
	w := NewWindowBudget()
	w.Configure(span, ratio, allowance)
	var requests, retries []time.Time
	now := start
	for now.Before(start.Add(time.Minute)) {
		now = now.Add(time.Duration(rng.ExpFloat64() * float64(20*time.Millisecond)))
		// Requests arrive in waves, so that retries earned in one wave must not be
		// spent in a later span.
		if int(now.Sub(start).Seconds())%20 < 5 {
			w.Request(now)
			requests = append(requests, now)
		}
		for w.Take(now) {
			retries = append(retries, now)
		}
	}
	count := func(list []time.Time, from, to time.Time) (n float64) {
		for _, at := range list {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
		return n
	}
	if len(retries) < 100 {
		t.Fatalf("only %d retries were allowed", len(retries))
	}
	for _, from := range retries {
		to := from.Add(span)
		// Requests that arrived up to one span earlier count as well.
		allowed := ratio*count(requests, from.Add(-span), to) + allowance
		if got := count(retries, from, to); got > allowed {
			t.Fatalf("%v retries in the 10 s from %s, allowed %v", got, from.Sub(start), allowed)
		}
	}
}

// TestWindowExpires guards against retries that remain blocked after the span has
// passed.
func TestWindowExpires(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	w := NewWindowBudget()
	w.Configure(10*time.Second, 0, 2)
	for i, want := range []bool{true, true, false} {
		if w.Take(now) != want {
			t.Fatalf("retry %d allowed: %v", i+1, !want)
		}
	}
	if !w.Take(now.Add(11 * time.Second)) {
		t.Error("no retry allowed 11 s later")
	}
}

// TestLongerWindowExpires guards against retries that remain blocked after the length of the span was changed.
func TestLongerWindowExpires(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	w := NewWindowBudget()
	w.Configure(time.Second, 0, 1)
	w.Take(now)
	w.Configure(10*time.Second, 0, 1)
	w.Take(now)
	if !w.Take(now.Add(11 * time.Second)) {
		t.Error("no retry allowed 11 s later")
	}
}
