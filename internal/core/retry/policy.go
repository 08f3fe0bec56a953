package retry

import (
	"math/rand/v2"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

const (
	// baseBackoff is the mean wait before the second attempt. A request to a
	// target in the same region takes a few milliseconds or more, so a shorter
	// wait would repeat a request into the same disturbance.
	baseBackoff = 10 * time.Millisecond
	// maxBackoff bounds the mean wait before any attempt.
	maxBackoff = 250 * time.Millisecond
)

// State is what a decision about another attempt depends on.
type State struct {
	// Idempotent tells that the request may run more than once.
	Idempotent bool
	// Committed tells that a response is being passed to the caller.
	Committed bool
	// Attempts is the number of attempts made, MaxAttempts their bound.
	Attempts    int
	MaxAttempts int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Needed is the least time that an attempt takes.
	Needed time.Duration
	// OnlyTarget tells that only the target of the last attempt is in rotation.
	OnlyTarget bool
}

// Allowed reports whether the request may get another attempt after a result,
// the budget aside.
func Allowed(s State, res attempt.Result) bool {
	switch {
	case s.Committed, res.Kind == attempt.Answered, res.Kind == attempt.Canceled:
		return false
	case s.Attempts >= s.MaxAttempts, s.Remaining <= 0, s.Remaining < s.Needed:
		return false
	default:
		return s.Idempotent || DidNotRun(res)
	}
}

// DidNotRun reports whether an attempt with this result cannot have run.
func DidNotRun(res attempt.Result) bool { return res.NotSent || res.NotRun }

// Delay returns the wait before the next attempt: none when the target refused
// the request or did not receive it and another target can take it, else an
// exponential backoff with a jitter of half the mean to either side.
func Delay(rng *rand.Rand, s State, res attempt.Result) time.Duration {
	if !s.OnlyTarget && refused(res) {
		return 0
	}
	mean := min(maxBackoff, baseBackoff<<min(max(s.Attempts-1, 0), 8))
	return mean/2 + time.Duration(rng.Int64N(int64(mean)))
}

func refused(res attempt.Result) bool {
	return res.Kind == attempt.Shed || res.Kind == attempt.Draining || DidNotRun(res)
}
