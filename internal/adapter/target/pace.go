package target

import (
	"context"
	"sync"
	"time"
)

// paceBurst is the number of bytes that may be sent at once after a pause.
const paceBurst = 64 << 10

// pacer is a token bucket over the bytes of all uploads across regions. Waits
// are served in the order of their arrival.
type pacer struct {
	mu   sync.Mutex
	rate int64
	// next is the time at which the bucket is full of debt no more.
	next time.Time
}

// setRate sets the bytes per second; 0 removes the limit.
func (p *pacer) setRate(rate int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = rate
}

// reserve takes n bytes from the bucket and returns the wait until they may be
// sent.
func (p *pacer) reserve(n int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate <= 0 {
		return 0
	}
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(bytesTime(n, p.rate))
	return max(0, p.next.Sub(now)-bytesTime(paceBurst, p.rate))
}

// wait blocks until n bytes may be sent or ctx ends.
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

// bytesTime is the time that n bytes take at a rate in bytes per second.
func bytesTime(n int, rate int64) time.Duration {
	return time.Duration(float64(n) / float64(rate) * float64(time.Second))
}
