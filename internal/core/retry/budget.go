// Package retry decides whether and when a request gets another attempt.
package retry

import (
	"math"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

const (
	// minRetriesPerSecond is the rate of retries that is always allowed, so that a
	// service with little traffic can retry.
	minRetriesPerSecond = 1.0
	// minBucketSize is the smallest size of the token bucket, in retries.
	minBucketSize = 5.0
	// recentTimeConstant is the time constant of the decaying count of recent
	// requests.
	recentTimeConstant = 10 * time.Second
)

// Costs of a retry in tokens.
const (
	FullCost = 1.0
	// RefusedCost applies after a target refused or did not receive the attempt,
	// which occupied no slot. At the full cost, hosts that share 2-slot targets
	// exhausted their budgets at half load; see docs/decisions/007.
	RefusedCost = 0.25
)

// Cost returns the cost of a retry after a result.
func Cost(res attempt.Result) float64 {
	if refused(res) {
		return RefusedCost
	}
	return FullCost
}

// Budget is a token bucket that limits retries to a fraction of recent requests. A
// retry takes its cost in tokens.
type Budget struct {
	fraction       float64
	tokens         float64
	recentRequests float64
	updatedAt      time.Time
}

// NewBudget returns a budget with minBucketSize tokens.
func NewBudget(now time.Time, fraction float64) *Budget {
	return &Budget{fraction: fraction, tokens: minBucketSize, updatedAt: now}
}

// SetFraction sets the number of retries allowed per request.
func (b *Budget) SetFraction(fraction float64) { b.fraction = fraction }

// Request counts a request that arrived.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.recentRequests++
	b.deposit(b.fraction)
}

// Take takes the tokens of a retry and reports whether there were enough.
func (b *Budget) Take(now time.Time, cost float64) bool {
	b.advance(now)
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// Return returns the tokens of a retry that is not needed.
func (b *Budget) Return(now time.Time, cost float64) {
	b.advance(now)
	b.deposit(cost)
}

// Remaining returns the tokens that are left.
func (b *Budget) Remaining(now time.Time) float64 {
	b.advance(now)
	return b.tokens
}

func (b *Budget) advance(now time.Time) {
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	b.recentRequests *= math.Exp(-elapsed.Seconds() / recentTimeConstant.Seconds())
	b.deposit(minRetriesPerSecond * elapsed.Seconds())
}

func (b *Budget) deposit(tokens float64) {
	b.tokens = min(b.tokens+tokens, max(minBucketSize, b.fraction*b.recentRequests))
}
