package target

import (
	"io"
	"time"
)

// callerBody reads the caller's body and enforces a minimum rate. Only time
// spent in Read counts, so a slow target is not held against the caller.
type callerBody struct {
	r    io.Reader
	rate int64
	// left is how much longer the caller may stay silent. Bytes earn time at
	// the minimum rate, up to grace, so that an early burst does not allow a
	// long silence later.
	left, grace time.Duration
	// onSlow is called from a timer while Read is blocked.
	onSlow func()
}

func (b *callerBody) Read(p []byte) (int, error) {
	if b.rate <= 0 {
		return b.r.Read(p)
	}
	expired := make(chan struct{})
	timer := time.AfterFunc(b.left, func() {
		defer close(expired)
		b.onSlow()
	})
	start := time.Now()
	n, err := b.r.Read(p)
	if !timer.Stop() {
		// onSlow must not run after the attempt has ended.
		<-expired
		return 0, ErrSlowCaller
	}
	b.left = min(b.grace, b.left-time.Since(start)+bytesTime(n, b.rate))
	if b.left <= 0 {
		return 0, ErrSlowCaller
	}
	return n, err
}
