// Package retry decides whether and when a request gets another attempt.
package retry

import (
	"math"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

const (
	// minPerSecond is the rate of retries that is always allowed, so that a
	// service with little traffic can retry.
	minPerSecond = 1.0
	// minBurst is the smallest size of the bucket, in retries.
	minBurst = 5.0
	// recentWindow is the time constant of the count of recent requests.
	recentWindow = 10 * time.Second
)

// Costs of a retry in tokens.
const (
	FullCost = 1.0
	// RefusedCost applies after a target refused the attempt or did not receive
	// it, which took no slot. With the full cost, hosts that share 2-slot
	// targets ran out of budget at half load; docs/decisions/007 has figures.
	RefusedCost = 0.25
)

// Cost returns the cost of a retry after a result.
func Cost(res attempt.Result) float64 {
	if refused(res) {
		return RefusedCost
	}
	return FullCost
}

// Budget is a token bucket that bounds retries to a fraction of recent
// requests. A retry takes its cost in tokens.
type Budget struct {
	fraction float64
	tokens   float64
	recent   float64
	last     time.Time
}

// NewBudget returns a budget that holds the minimum burst.
func NewBudget(now time.Time, fraction float64) *Budget {
	return &Budget{fraction: fraction, tokens: minBurst, last: now}
}

// SetFraction changes the retries allowed per request.
func (b *Budget) SetFraction(fraction float64) { b.fraction = fraction }

// Request counts a request that arrived.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.recent++
	b.deposit(b.fraction)
}

// Take uses the tokens of a retry and reports whether there were enough.
func (b *Budget) Take(now time.Time, cost float64) bool {
	b.advance(now)
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// Return gives back the tokens of a retry that is not needed.
func (b *Budget) Return(now time.Time, cost float64) {
	b.advance(now)
	b.deposit(cost)
}

// Left returns the retries that are allowed now.
func (b *Budget) Remaining(now time.Time) float64 {
	b.advance(now)
	return b.tokens
}

func (b *Budget) advance(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.recent *= math.Exp(-elapsed.Seconds() / recentWindow.Seconds())
	b.deposit(minPerSecond * elapsed.Seconds())
}

func (b *Budget) deposit(tokens float64) {
	b.tokens = min(b.tokens+tokens, max(minBurst, b.fraction*b.recent))
}
