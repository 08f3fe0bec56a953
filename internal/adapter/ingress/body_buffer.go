package ingress

import (
	"crypto/sha256"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

// Sizes of the segments of a buffered body. Bytes are reserved by segment, so a body that stalls holds
// little more than it has sent.
const (
	minBodySegment = 4 << 10
	maxBodySegment = 64 << 10
)

// bodyBuffer is a request body in segments, which do not move when the body grows: a slice that grows by
// copying would take more than twice the size of the body for a moment.
type bodyBuffer struct {
	pool *segmentPool

	// mu guards segments against a reader that outlasts the request: the writer of an attempt that has
	// ended may still read the body. While the body is read from the caller, there is no other reader.
	mu       sync.Mutex
	released bool
	// attempts is the number of attempts that may read the body. A target that answers early
	// gets the rest of the body after the request has ended.
	attempts int
	// ended is set once the request has ended.
	ended    bool
	segments [][]byte
	length   int64
	// account is what the body holds of the memory budget, nil for a relayed request.
	account *membudget.Body
}

// nextSegment returns the size of the next segment. remaining is the rest of the declared length, or
// negative if it is unknown.
func (b *bodyBuffer) nextSegment(remaining int64) int64 {
	if remaining >= 0 {
		return max(1, min(remaining, maxBodySegment))
	}
	return min(max(b.length, minBodySegment), maxBodySegment)
}

// space returns the unused part of the last segment.
func (b *bodyBuffer) space() []byte {
	if len(b.segments) == 0 {
		return nil
	}
	last := b.segments[len(b.segments)-1]
	return last[len(last):cap(last)]
}

func (b *bodyBuffer) addSegment(size int64) {
	b.segments = append(b.segments, b.pool.get(size))
}

// added records that n bytes were read into the space.
func (b *bodyBuffer) added(n int) {
	last := &b.segments[len(b.segments)-1]
	*last = (*last)[:len(*last)+n]
	b.length += int64(n)
}

// bytes returns a copy of the body.
func (b *bodyBuffer) bytes() []byte {
	if b == nil {
		return nil
	}
	whole := make([]byte, 0, b.length)
	for _, s := range b.segments {
		whole = append(whole, s...)
	}
	return whole
}

// hash returns the SHA-256 hash of the body.
func (b *bodyBuffer) hash() (sum [sha256.Size]byte) {
	h := sha256.New()
	if b != nil {
		for _, s := range b.segments {
			_, _ = h.Write(s)
		}
	}
	h.Sum(sum[:0])
	return sum
}

// size returns the length of the body.
func (b *bodyBuffer) size() int64 {
	if b == nil {
		return 0
	}
	return b.length
}

// release ends the use of the body by its request. What it holds of the memory budget is given
// back when no attempt reads it any more.
func (b *bodyBuffer) release() {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.ended = true
	last := b.attempts == 0
	b.mu.Unlock()
	if last {
		b.free()
	}
}

// startAttempt keeps the body until the returned function is called.
func (b *bodyBuffer) startAttempt() (end func()) {
	b.mu.Lock()
	b.attempts++
	b.mu.Unlock()
	return func() {
		b.mu.Lock()
		b.attempts--
		last := b.attempts == 0 && b.ended
		b.mu.Unlock()
		if last {
			b.free()
		}
	}
}

// free gives back what the body holds of the memory budget. Readers fail from then on.
func (b *bodyBuffer) free() {
	b.mu.Lock()
	segments := b.segments
	b.segments, b.released = nil, true
	b.mu.Unlock()
	b.account.Close()
	b.pool.put(segments)
}

// errBodyReleased is returned by a reader whose request has ended.
var errBodyReleased = errors.New("the request has ended")

// segmentReader reads a body from its start.
type segmentReader struct {
	body            *bodyBuffer
	segment, offset int
}

func (b *bodyBuffer) reader() io.Reader { return &segmentReader{body: b} }

// Read implements io.Reader.
func (r *segmentReader) Read(p []byte) (n int, err error) {
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	if r.body.released {
		return 0, errBodyReleased
	}
	for r.segment < len(r.body.segments) && n < len(p) {
		segment := r.body.segments[r.segment]
		copied := copy(p[n:], segment[r.offset:])
		n += copied
		if r.offset += copied; r.offset == len(segment) {
			r.segment, r.offset = r.segment+1, 0
		}
	}
	if n == 0 && len(p) > 0 {
		return 0, io.EOF
	}
	return n, nil
}
