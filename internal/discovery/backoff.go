package discovery

import (
	"math/rand/v2"
	"time"
)

// backoff is the pause before the next read after some that failed.
type backoff struct {
	cfg      *Config
	failures int
}

func (b *backoff) reset() { b.failures = 0 }

func (b *backoff) result(err error) {
	if err == nil {
		b.failures = 0
		return
	}
	b.failures++
}

// next returns the pause, with a jitter of a quarter to either side.
func (b *backoff) next() time.Duration {
	if b.failures == 0 {
		return 0
	}
	mean := min(b.cfg.MaxBackoff, b.cfg.MinBackoff<<min(b.failures-1, 8))
	return mean*3/4 + rand.N(mean/2)
}
