package httpserver

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"
)

// maxHeldBytes bounds the part of a response body that is held until the turn of its
// request. The handler waits with the rest.
const maxHeldBytes = 64 << 10

// heldResponse is the http.ResponseWriter of a request that is served before its turn. What
// the handler writes is held until release, up to maxHeldBytes.
type heldResponse struct {
	ctx    context.Context
	header http.Header

	mu sync.Mutex
	// out is the writer of the response once it is the request's turn.
	out    http.ResponseWriter
	status int
	body   []byte
	// writeDeadline is the latest one that the handler set before its turn.
	writeDeadline time.Time
	// released is closed when it is the request's turn.
	released chan struct{}
}

func newHeldResponse(ctx context.Context) *heldResponse {
	return &heldResponse{ctx: ctx, header: http.Header{}, released: make(chan struct{})}
}

// Header implements http.ResponseWriter.
func (h *heldResponse) Header() http.Header { return h.header }

// WriteHeader implements http.ResponseWriter.
func (h *heldResponse) WriteHeader(status int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.status != 0 {
		return
	}
	h.status = status
	if h.out != nil {
		h.sendHeader()
	}
}

// sendHeader sends the header. The caller holds the lock.
func (h *heldResponse) sendHeader() {
	maps.Copy(h.out.Header(), h.header)
	h.out.WriteHeader(h.status)
}

// Write implements http.ResponseWriter. It blocks while the held part is full.
func (h *heldResponse) Write(p []byte) (int, error) {
	h.WriteHeader(http.StatusOK)
	if n, held := h.hold(p); held {
		return n, nil
	}
	select {
	case <-h.released:
	case <-h.ctx.Done():
		return 0, h.ctx.Err()
	}
	return h.out.Write(p)
}

// hold keeps p if it is not the request's turn and there is room.
func (h *heldResponse) hold(p []byte) (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.out != nil || len(h.body)+len(p) > maxHeldBytes {
		return 0, false
	}
	h.body = append(h.body, p...)
	return len(p), true
}

// release passes the held part of the response on to w, and what the handler writes from now
// on.
func (h *heldResponse) release(w http.ResponseWriter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.out = w
	if !h.writeDeadline.IsZero() {
		_ = http.NewResponseController(w).SetWriteDeadline(h.writeDeadline)
	}
	if h.status != 0 {
		h.sendHeader()
	}
	if len(h.body) > 0 {
		// A write error shows up in the next write, and net/http closes the connection.
		_, _ = w.Write(h.body)
		h.body = nil
	}
	close(h.released)
}

// end completes a response for which the handler wrote nothing.
func (h *heldResponse) end() { h.WriteHeader(http.StatusOK) }

// SetReadDeadline has no effect: the request has no body, and reads of the connection belong
// to the requests behind it.
func (h *heldResponse) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline sets the write deadline of the connection when it is the request's turn.
func (h *heldResponse) SetWriteDeadline(t time.Time) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.out == nil {
		h.writeDeadline = t
		return nil
	}
	return http.NewResponseController(h.out).SetWriteDeadline(t)
}
