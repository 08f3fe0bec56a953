// Package retry decides whether and when a request gets another attempt.
package retry

import (
	"math"
	"time"
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

// Budget is a token bucket that bounds retries to a fraction of recent
// requests. Each retry takes one token.
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

// Take uses one token and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return gives back a token that was taken for a retry that is not needed.
func (b *Budget) Return(now time.Time) {
	b.advance(now)
	b.deposit(1)
}

// Left returns the retries that are allowed now.
func (b *Budget) Left(now time.Time) float64 {
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
