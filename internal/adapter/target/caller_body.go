package target

import (
	"io"
	"time"
)

// callerBody reads the caller's body and enforces a minimum rate. Only the time
// spent in Read counts, so a slow target does not make the caller too slow.
type callerBody struct {
	r    io.Reader
	rate int64
	// allowance is how long Read may still block. Each byte received adds the
	// time that it takes at the minimum rate, up to grace in total, so that an
	// early burst does not allow a long pause later.
	allowance, grace time.Duration
	// onTimeout is called by a timer while Read is blocked.
	onTimeout func()
}

func (b *callerBody) Read(p []byte) (int, error) {
	if b.rate <= 0 {
		return b.r.Read(p)
	}
	expired := make(chan struct{})
	timer := time.AfterFunc(b.allowance, func() {
		defer close(expired)
		b.onTimeout()
	})
	start := time.Now()
	n, err := b.r.Read(p)
	if !timer.Stop() {
		// onTimeout must not run after the attempt has ended.
		<-expired
		return 0, ErrSlowCaller
	}
	b.allowance = min(b.grace, b.allowance-time.Since(start)+transferTime(n, b.rate))
	if b.allowance <= 0 {
		return 0, ErrSlowCaller
	}
	return n, err
}
