package target

import (
	"context"
	"sync"
	"time"
)

// pacerBurstBytes is the number of bytes that may be sent at once after a pause.
const pacerBurstBytes = 64 << 10

// pacer is a token bucket for the bytes of all uploads to other regions. Waits are
// served in order of arrival.
type pacer struct {
	mu   sync.Mutex
	rate int64
	// reservedUntil is the time at which all reserved bytes will have been sent
	// at the configured rate.
	reservedUntil time.Time
}

// setRate sets the bytes per second; 0 removes the limit.
func (p *pacer) setRate(rate int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = rate
}

// reserve reserves n bytes and returns the delay after which they may be sent.
func (p *pacer) reserve(n int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate <= 0 {
		return 0
	}
	if p.reservedUntil.Before(now) {
		p.reservedUntil = now
	}
	p.reservedUntil = p.reservedUntil.Add(transferTime(n, p.rate))
	return max(0, p.reservedUntil.Sub(now)-transferTime(pacerBurstBytes, p.rate))
}

// wait blocks until n bytes may be sent or ctx is done.
func (p *pacer) wait(ctx context.Context, n int) error {
	delay := p.reserve(n, time.Now())
	if delay == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// transferTime returns the time that n bytes take at a rate in bytes per second.
func transferTime(n int, rate int64) time.Duration {
	return time.Duration(float64(n) / float64(rate) * float64(time.Second))
}
