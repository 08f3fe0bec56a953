package httpserver

import (
	"bufio"
	"bytes"
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

// A caller may send further requests on a connection before the first one is answered.
// net/http serves the requests of a connection one after the other. Here those that
// Config.Concurrent accepts are started while an earlier one is served, and their responses
// are held until it is their turn.
//
// The bytes of such a request stay with the connection. When net/http has finished the
// requests before it, it reads and parses it as usual, and its handler then passes on the
// response that has been prepared. The order of responses, the close of the connection and
// all limits of net/http therefore apply as without concurrency.

const (
	// defaultMaxConcurrent is the default of Config.MaxConcurrent.
	defaultMaxConcurrent = 8
	// maxReadAhead bounds the bytes that a connection reads while a request is served. It
	// exceeds the heads of defaultMaxConcurrent usual requests.
	maxReadAhead = 16 << 10
	// readAheadStep is the number of bytes that one read ahead asks for.
	readAheadStep = 4 << 10
)

// readAhead is the state of a connection for requests that arrive while an earlier one is
// served. It is protected by the lock of the connection.
type readAhead struct {
	// handler and concurrent are those of the server, nil without concurrency.
	handler    http.Handler
	concurrent func(*http.Request) bool
	limit      int
	// pending holds bytes that were read and not passed to net/http. parsed is the length of
	// its part that belongs to started requests.
	pending []byte
	parsed  int
	// misaligned is set once net/http may have read bytes beyond the header of the current
	// request, so that pending may start within a request.
	misaligned bool
	// headerEnded is set if the last byte that net/http read is the last one of a header.
	headerEnded bool
	// tail holds the last bytes that net/http read of a header.
	tail [3]byte
	// current is the request that is served, nil if there is none or if requests behind it
	// must not be started.
	current *http.Request
	started []*startedRequest
	// stopped is set if no further request may be started on the connection.
	stopped bool
}

// startedRequest is a request that was started before its turn.
type startedRequest struct {
	request *http.Request
	// header is the header as it was received. The handler may change that of the request.
	header http.Header
	cancel context.CancelFunc
	writer *heldResponse
	done   chan struct{}
	// panicked is set before done is closed if the handler panicked.
	panicked bool
	// releaseMemory gives back the memory of the held response.
	releaseMemory func()
}

// endOfHeader returns the length of the part of p up to the end of a header, or -1 if it
// does not end in p. The tail is that of the bytes before p.
func (a *readAhead) endOfHeader(p []byte) int {
	const end = "\r\n\r\n"
	if i := bytes.Index(append(a.tail[:len(a.tail):len(a.tail)], p[:min(len(p), len(a.tail))]...), []byte(end)); i >= 0 {
		return i + len(end) - len(a.tail)
	}
	if i := bytes.Index(p, []byte(end)); i >= 0 {
		return i + len(end)
	}
	return -1
}

// hasBareLineFeed reports whether a line feed in p does not follow a carriage return.
func (a *readAhead) hasBareLineFeed(p []byte) bool {
	previous := a.tail[len(a.tail)-1]
	for i := 0; i < len(p); i++ {
		at := bytes.IndexByte(p[i:], '\n')
		if at < 0 {
			return false
		}
		if i += at; i > 0 {
			previous = p[i-1]
		}
		if previous != '\r' {
			return true
		}
	}
	return false
}

// noteDelivered records bytes that are passed to net/http and returns how many of them may
// be passed at once: no more than up to the end of a header.
func (a *readAhead) noteDelivered(p []byte) int {
	if a.headerEnded || a.hasBareLineFeed(p) {
		// A body, a further header without a request served in between, or a header that
		// net/http may end elsewhere: it accepts lines that end without a carriage return.
		a.misaligned = true
		return len(p)
	}
	if n := a.endOfHeader(p); n >= 0 {
		a.headerEnded, a.tail = true, [3]byte{}
		return n
	}
	for _, b := range p[max(0, len(p)-len(a.tail)):] {
		a.tail = [3]byte{a.tail[1], a.tail[2], b}
	}
	return len(p)
}

// take passes pending bytes to net/http.
func (a *readAhead) take(p []byte) int {
	n := copy(p, a.pending)
	if !a.misaligned {
		n = a.noteDelivered(p[:n])
	}
	a.pending = a.pending[n:]
	a.parsed = max(0, a.parsed-n)
	if len(a.pending) == 0 {
		a.pending = nil
	}
	return n
}

// readsAhead reports whether bytes that arrive while a request is served are kept by the
// connection. net/http reads during a request without a body, or between its header and its
// handler, only to learn whether the connection is closed.
func (c *conn) readsAhead() bool {
	a := &c.ahead
	if a.concurrent == nil || a.misaligned || a.stopped || len(a.pending) >= maxReadAhead {
		return false
	}
	return a.current != nil || a.headerEnded
}

// readWhileServing reads further requests until the connection ends or net/http ends the
// read. The lock is held when it is called and when it returns.
func (c *conn) readWhileServing(p []byte) (int, error) {
	buffer := p[:1]
	for c.readsAhead() {
		c.mu.Unlock()
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		c.ahead.pending = append(c.ahead.pending, buffer[:n]...)
		if err != nil {
			if !isTimeout(err) {
				// The caller has left, and net/http cancels the requests of the connection.
				c.cancelStarted()
				c.ahead.pending, c.ahead.parsed = nil, 0
			}
			return 0, err
		}
		c.startPending()
		if len(buffer) < readAheadStep {
			buffer = make([]byte, readAheadStep)
		}
	}
	return c.ahead.take(p), nil
}

// startPending starts the pending requests that may be served concurrently. The caller holds
// the lock.
func (c *conn) startPending() {
	a := &c.ahead
	for a.current != nil && !a.misaligned && !a.stopped && len(a.started)+1 < a.limit {
		rest := a.pending[a.parsed:]
		end := bytes.Index(rest, []byte("\r\n\r\n"))
		if end < 0 {
			return
		}
		header := rest[:end+len("\r\n\r\n")]
		r, ok := parsePending(header, a.current)
		if !ok || !a.concurrent(r) {
			a.stopped = true
			return
		}
		release, ok := c.server.reserveHeldResponse()
		if !ok {
			// The request is served in its turn.
			a.stopped = true
			return
		}
		a.parsed += len(header)
		s := c.start(r)
		s.releaseMemory = release
		a.started = append(a.started, s)
		// What is behind a request that closes the connection is not served.
		a.stopped = r.Close
	}
}

// parsePending parses a request whose header has been read, and reports whether it is one
// without a body that net/http would accept as it is.
func parsePending(header []byte, current *http.Request) (*http.Request, bool) {
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(bytes.Clone(header))))
	if err != nil || r.ProtoMajor != 1 || r.ProtoMinor != 1 || r.Host == "" {
		return nil, false
	}
	if new(readAhead).hasBareLineFeed(header) {
		return nil, false
	}
	if !withoutBody(r) || strings.Count(strings.ToLower(string(header)), "\r\nhost:") != 1 {
		return nil, false
	}
	for _, name := range []string{"Content-Length", "Transfer-Encoding", "Expect", "Upgrade", "Trailer"} {
		if _, ok := r.Header[name]; ok {
			return nil, false
		}
	}
	r.RemoteAddr = current.RemoteAddr
	return r, true
}

// withoutBody reports whether a request has no body.
func withoutBody(r *http.Request) bool {
	return (r.Method == http.MethodGet || r.Method == http.MethodHead) && r.ContentLength == 0 && len(r.TransferEncoding) == 0
}

// start serves a request whose response is held until its turn. The caller holds the lock.
func (c *conn) start(r *http.Request) *startedRequest {
	ctx, cancel := context.WithCancel(context.WithoutCancel(c.ahead.current.Context()))
	s := &startedRequest{request: r.WithContext(ctx), header: r.Header.Clone(), cancel: cancel, writer: newHeldResponse(ctx), done: make(chan struct{})}
	handler := c.ahead.handler
	go func() {
		defer close(s.done)
		defer s.writer.end()
		defer func() {
			// The panic of a handler ends the connection, as in net/http. The handlers
			// log their own panics.
			s.panicked = recover() != nil
		}()
		handler.ServeHTTP(s.writer, s.request)
	}()
	return s
}

// cancelStarted cancels the requests that were started before their turn, because their
// connection ends. The caller holds the lock.
func (c *conn) cancelStarted() {
	for _, s := range c.ahead.started {
		s.cancel()
		s.releaseMemory()
	}
	c.ahead.started, c.ahead.stopped = nil, true
}

// reserveHeldResponse reserves the memory of a response that waits for its turn. It reports
// false if there is no room.
func (s *Server) reserveHeldResponse() (release func(), ok bool) {
	budget := s.limits.Memory
	if budget == nil {
		return func() {}, true
	}
	if !budget.Take(membudget.Responses, maxHeldBytes) {
		return nil, false
	}
	return func() { budget.Release(membudget.Responses, maxHeldBytes) }, true
}

// beginRequest notes the request that net/http serves now. It returns the one that was
// started for it earlier, or nil.
func (c *conn) beginRequest(r *http.Request) *startedRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &c.ahead
	// Bytes beyond the header have been read if its end is not the last byte.
	a.misaligned = a.misaligned || !a.headerEnded
	a.headerEnded = false
	s := c.takeStarted(r)
	if !withoutBody(r) || r.Close {
		a.misaligned = a.misaligned || !withoutBody(r)
		return s
	}
	if s == nil && !a.concurrent(r) {
		return nil
	}
	a.current, a.stopped = r, false
	c.startPending()
	return s
}

// takeStarted returns the request that was started for r, or nil. The caller holds the lock.
func (c *conn) takeStarted(r *http.Request) *startedRequest {
	a := &c.ahead
	if len(a.started) == 0 {
		return nil
	}
	s := a.started[0]
	sameHeader := maps.EqualFunc(s.header, r.Header, slices.Equal[[]string])
	if s.request.Method != r.Method || s.request.RequestURI != r.RequestURI || s.request.Host != r.Host || !sameHeader {
		// The order of requests has been lost. Both are idempotent, so r is served anew.
		c.cancelStarted()
		a.misaligned = true
		return nil
	}
	a.started = a.started[1:]
	return s
}

// endRequest notes that the current request has been served.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead.current = nil
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// concurrentHandler passes on the responses of requests that were started before their turn.
type concurrentHandler struct{ http.Handler }

// ServeHTTP implements http.Handler.
func (h concurrentHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		h.Handler.ServeHTTP(w, r)
		return
	}
	s := c.beginRequest(r)
	defer c.endRequest()
	if s == nil {
		h.Handler.ServeHTTP(w, r)
		return
	}
	// The caller may close the connection while its response is held or written.
	defer context.AfterFunc(r.Context(), s.cancel)()
	defer s.cancel()
	defer s.releaseMemory()
	s.writer.release(w)
	<-s.done
	if s.panicked {
		panic(http.ErrAbortHandler)
	}
}
