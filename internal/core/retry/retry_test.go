package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestBudget guards against retries beyond the configured fraction at high
// rates, a bucket that saves up without bound, and a service with little
// traffic that cannot retry at all.
func TestBudget(t *testing.T) {
	b := NewBudget(epoch, 0.1)
	now := epoch
	retries := 0
	for range 100_000 {
		now = now.Add(100 * time.Microsecond)
		b.Request(now)
		if b.Take(now, FullCost) {
			retries++
		}
	}
	if retries < 10_000 || retries > 10_000+10+minBurst {
		t.Fatalf("%d retries for 100,000 requests in 10 s, want 10%% and the minimum rate", retries)
	}
	now = now.Add(time.Hour)
	if left := b.Remaining(now); left != minBurst {
		t.Fatalf("%v tokens after an hour without requests, want %v", left, minBurst)
	}
	for range 100 {
		now = now.Add(time.Second)
		if !b.Take(now, FullCost) {
			t.Fatal("no retry although there was none for a second")
		}
	}
}

// TestAllowed guards against a repetition of a request that may have run, and
// against retries after commit, cancellation, the bound or the deadline.
func TestAllowed(t *testing.T) {
	ok := State{Idempotent: true, Attempts: 1, MaxAttempts: 3, Remaining: time.Second, Needed: time.Millisecond}
	lost := attempt.Result{Kind: attempt.ConnectionLost}
	notRun := attempt.Result{Kind: attempt.Shed, NotRun: true}
	change := func(f func(*State)) State {
		s := ok
		f(&s)
		return s
	}
	for name, c := range map[string]struct {
		state State
		res   attempt.Result
		want  bool
	}{
		"idempotent":            {ok, lost, true},
		"not idempotent":        {change(func(s *State) { s.Idempotent = false }), lost, false},
		"not idempotent, shed":  {change(func(s *State) { s.Idempotent = false }), attempt.Result{Kind: attempt.Shed}, false},
		"not run":               {change(func(s *State) { s.Idempotent = false }), notRun, true},
		"not sent":              {change(func(s *State) { s.Idempotent = false }), attempt.Result{Kind: attempt.DialFailed, NotSent: true}, true},
		"committed":             {change(func(s *State) { s.Committed = true }), notRun, false},
		"canceled":              {ok, attempt.Result{Kind: attempt.Canceled, NotSent: true}, false},
		"attempts used":         {change(func(s *State) { s.Attempts = 3 }), notRun, false},
		"deadline passed":       {change(func(s *State) { s.Remaining, s.Needed = 0, 0 }), notRun, false},
		"deadline is too short": {change(func(s *State) { s.Needed = 2 * time.Second }), notRun, false},
	} {
		if got := Allowed(c.state, c.res); got != c.want {
			t.Errorf("%s: allowed is %v", name, got)
		}
	}
}

// TestDelay guards against a retry without backoff into the same target or
// after a failure, and against a backoff without bound.
func TestDelay(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	shed := attempt.Result{Kind: attempt.Shed}
	if Delay(rng, State{Attempts: 1}, shed) != 0 {
		t.Error("a refusal waits although another target can take the request")
	}
	for attempts := 1; attempts < 100; attempts++ {
		only := Delay(rng, State{Attempts: attempts, OnlyTarget: true}, shed)
		failed := Delay(rng, State{Attempts: attempts}, attempt.Result{Kind: attempt.TimedOut})
		for _, d := range []time.Duration{only, failed} {
			if d < baseBackoff/2 || d > maxBackoff*3/2 {
				t.Fatalf("attempt %d: backoff is %v", attempts, d)
			}
		}
	}
}
