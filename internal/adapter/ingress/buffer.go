package ingress

import (
	"io"
	"sync/atomic"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

const (
	// defaultResponseBufferBytes is the default of Config.ResponseBufferBytes.
	defaultResponseBufferBytes = 32 << 20
	// unbudgetedBytes is the part of a response that is buffered without the budget, so
	// that most responses, and rejections in particular, never depend on it.
	unbudgetedBytes = 16 << 10
	// minInitialBuffer is the size of the buffer for a body of unknown length.
	minInitialBuffer = 512
	// maxInitialBuffer bounds the buffer for a declared length before any byte of the body
	// has arrived.
	maxInitialBuffer = 64 << 10
	// maxPartBytes is the largest size of a part of a buffer.
	maxPartBytes = 64 << 10
)

// bufferBudget is the memory for responses that are kept until they are complete, shared by
// all requests. It is a part of the memory budget of the host. It is safe for concurrent use.
type bufferBudget struct {
	size   int64
	memory *membudget.Budget
	used   atomic.Int64
	// refused counts the responses that found no room.
	refused atomic.Uint64
}

// take reserves n bytes and reports whether there was room for them.
func (b *bufferBudget) take(n int64) bool {
	if b.used.Add(n) <= b.size && b.memory.Take(membudget.Responses, n) {
		return true
	}
	b.used.Add(-n)
	b.refused.Add(1)
	return false
}

// release gives back n bytes.
func (b *bufferBudget) release(n int64) {
	b.used.Add(-n)
	b.memory.Release(membudget.Responses, n)
}

// responseBuffer is the body of a response as far as it is kept. Its parts do not move when it grows: a
// slice that grows by copying would take more than it has reserved for a moment.
type responseBuffer struct {
	budget *bufferBudget
	parts  [][]byte
	// length is the number of bytes in the parts, capacity the size of the parts.
	length, capacity int64
	// reserved is the part of the budget that the buffer holds.
	reserved int64
}

// readUpTo reads at most limit bytes of the body. It returns a nil error at the end of the
// body, at the limit, and when the budget has no room for more; ended tells the first case.
func (b *responseBuffer) readUpTo(response *target.Response, limit int64) (ended bool, err error) {
	size := min(initialBuffer(response.ContentLength), limit)
	if !b.reserve(size) {
		size = unbudgetedBytes
	}
	b.addPart(size)
	for {
		part := &b.parts[len(b.parts)-1]
		free := min(int64(cap(*part)-len(*part)), limit-b.length)
		n, err := response.Body.Read((*part)[len(*part) : len(*part)+int(free)])
		*part = (*part)[:len(*part)+n]
		b.length += int64(n)
		switch {
		case err == io.EOF:
			return true, nil
		case err != nil || b.length == limit:
			return false, err
		case len(*part) == cap(*part) && !b.grow(response.ContentLength, limit):
			return false, nil
		}
	}
}

// grow adds a part for the next bytes of a body whose declared length is -1 if unknown, and reports whether
// the budget had room. A body of unknown length doubles the buffer until parts have maxPartBytes.
func (b *responseBuffer) grow(declared, limit int64) bool {
	size := min(b.capacity, maxPartBytes)
	if declared > b.length {
		size = min(declared+1-b.length, maxPartBytes)
	}
	size = min(size, limit-b.length)
	if !b.reserve(b.capacity + size) {
		return false
	}
	b.addPart(size)
	return true
}

func (b *responseBuffer) addPart(size int64) {
	b.parts = append(b.parts, make([]byte, 0, size))
	b.capacity += size
}

// writeTo writes the body.
func (b *responseBuffer) writeTo(w io.Writer) error {
	for _, part := range b.parts {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// reserve takes what a buffer of a size needs of the budget and reports whether there was
// room.
func (b *responseBuffer) reserve(size int64) bool {
	more := size - unbudgetedBytes - b.reserved
	if more <= 0 {
		return true
	}
	if !b.budget.take(more) {
		return false
	}
	b.reserved += more
	return true
}

// release drops the body and gives back what the buffer holds of the budget. It may be
// called more than once.
func (b *responseBuffer) release() {
	if b == nil {
		return
	}
	b.budget.release(b.reserved)
	b.parts, b.length, b.capacity, b.reserved = nil, 0, 0, 0
}

// initialBuffer returns the size of the buffer for a body whose declared length is -1 if
// unknown. The length is any number that the target sent.
func initialBuffer(declared int64) int64 {
	switch {
	case declared < 0:
		return minInitialBuffer
	case declared >= maxInitialBuffer:
		return maxInitialBuffer
	}
	// With one spare byte, the last read returns io.EOF without growing the buffer.
	return declared + 1
}

// replaceBuffer starts the buffer of a new response. The one of an earlier response is
// released unless that response may still be sent.
func (q *request) replaceBuffer() {
	if q.buffered == nil || q.buffered.buffer != q.buffer {
		q.buffer.release()
	}
	q.buffer = &responseBuffer{budget: q.server.buffers}
}

// releaseBuffered releases the buffer of the response that may still be sent.
func (q *request) releaseBuffered() {
	if q.buffered != nil {
		q.buffered.buffer.release()
	}
}
