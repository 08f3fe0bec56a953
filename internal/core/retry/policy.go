package retry

import (
	"math/rand/v2"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

const (
	// baseBackoff is the mean backoff before the second attempt. A request to a
	// target in the same region takes at least a few milliseconds, so a shorter
	// backoff would retry while the same overload or fault lasts.
	baseBackoff = 10 * time.Millisecond
	// maxBackoff bounds the mean backoff before any attempt.
	maxBackoff = 250 * time.Millisecond
)

// State is the input of a retry decision.
type State struct {
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Committed is set once a response is being forwarded to the caller.
	Committed bool
	// Attempts is the number of attempts made, MaxAttempts its limit.
	Attempts    int
	MaxAttempts int
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Needed is the shortest time that an attempt takes.
	Needed time.Duration
	// OnlyTarget is set if the target of the last attempt is the only one in
	// rotation.
	OnlyTarget bool
}

// Allowed reports whether the request may be retried after a result, regardless of
// the retry budget.
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

// DidNotRun reports whether an attempt with this result cannot have been executed
// by the target.
func DidNotRun(res attempt.Result) bool { return res.NotSent || res.NotRun }

// Delay returns the backoff before the next attempt: none if the target refused or
// did not receive the request and another target can take it, otherwise an
// exponential backoff with a jitter of half the mean in either direction.
func Delay(rng *rand.Rand, s State, res attempt.Result) time.Duration {
	if !s.OnlyTarget && refused(res) {
		return 0
	}
	// The bound of 8 keeps the shift from overflowing. The mean reaches maxBackoff
	// before it.
	mean := min(maxBackoff, baseBackoff<<min(max(s.Attempts-1, 0), 8))
	return mean/2 + time.Duration(rng.Int64N(int64(mean)))
}

func refused(res attempt.Result) bool {
	return res.Kind == attempt.Shed || res.Kind == attempt.Draining || DidNotRun(res)
}
