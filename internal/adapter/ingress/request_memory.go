package ingress

import (
	"io"
	"net/http"
	"sync"

	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

const (
	// requestBytes is what a request takes while it is served, besides its body and the budgeted part of its
	// response: unbudgetedBytes of the response, streamBytes, and the buffers of the connection to a target.
	requestBytes = 32 << 10
	// streamBytes is the size of the buffer through which a response is forwarded while it arrives.
	streamBytes = 8 << 10
)

// reserveRequest reserves the memory of a request. The returned function releases it; it is nil if there
// was no room.
func (s *Server) reserveRequest() func() {
	if !s.memory.Take(membudget.Requests, requestBytes) {
		return nil
	}
	return func() { s.memory.Release(membudget.Requests, requestBytes) }
}

// requestsFullProblem is the refusal of a request that finds no room before anything of it was done.
func requestsFullProblem() *Problem {
	return unavailableProblem("memory_full", "the memory for requests is in use", memoryRetryAfter)
}

var streamBuffers = sync.Pool{New: func() any { return new([streamBytes]byte) }}

// copyStream forwards the body of a response while it arrives. Its buffer is small, since callers that do
// not read hold many of them.
func copyStream(w http.ResponseWriter, body io.Reader) error {
	buffer := streamBuffers.Get().(*[streamBytes]byte)
	defer streamBuffers.Put(buffer)
	// The wrappers hide the methods that would let io.Copy use a buffer of its own.
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{body}, buffer[:])
	return err
}
