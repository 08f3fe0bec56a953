package discovery

import (
	"math/rand/v2"
	"time"
)

// backoff computes the delay before the next read after consecutive failures.
type backoff struct {
	cfg      *Config
	failures int
}

func (b *backoff) reset() { b.failures = 0 }

func (b *backoff) record(err error) {
	if err == nil {
		b.failures = 0
		return
	}
	b.failures++
}

// next returns the delay, with a jitter of plus or minus 25%.
func (b *backoff) next() time.Duration {
	if b.failures == 0 {
		return 0
	}
	mean := min(b.cfg.MaxBackoff, b.cfg.MinBackoff<<min(b.failures-1, 8))
	return mean*3/4 + rand.N(mean/2)
}
