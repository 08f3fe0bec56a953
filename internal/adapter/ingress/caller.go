package ingress

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/httpserver"
)

// Limits for slow callers.
const (
	// defaultWriteTimeout is the time within which a caller must accept
	// writeChunkBytes of its response.
	defaultWriteTimeout = 30 * time.Second
	// writeChunkBytes is the number of bytes written before the write deadline is
	// renewed.
	writeChunkBytes = 64 << 10
	// bodyDrainTimeout limits how long the unread rest of a request body is
	// discarded before the connection is closed, so that the caller receives the
	// response before a TCP reset. It is for servers other than httpserver.Server.
	bodyDrainTimeout = time.Second
	// renewalFraction limits the rate of deadline updates, each of which resets a
	// timer: the deadline is only renewed if that extends it by at least
	// 1/renewalFraction of the write timeout.
	renewalFraction = 8
)

// callerWriter is an http.ResponseWriter with a write timeout. The connection of
// a caller that accepts no data within the timeout is closed. http.Server clears
// the deadline after each response.
type callerWriter struct {
	http.ResponseWriter
	conn    deadlineSetter
	timeout time.Duration
	// latestDeadline, if set, is the upper limit of the write deadline.
	latestDeadline time.Time
	// currentDeadline is the write deadline set on the connection.
	currentDeadline time.Time
	// started is set once the status has been written.
	started bool
	body    callerBody
}

// deadlineSetter is implemented by the http.ResponseWriter of http.Server.
type deadlineSetter interface {
	SetReadDeadline(time.Time) error
	SetWriteDeadline(time.Time) error
}

func newCallerWriter(w http.ResponseWriter, r *http.Request, timeout time.Duration) *callerWriter {
	c := &callerWriter{ResponseWriter: w, timeout: timeout, body: callerBody{ReadCloser: r.Body}}
	c.conn, _ = w.(deadlineSetter)
	c.body.complete.Store(r.ContentLength == 0)
	return c
}

// callerBody records whether the request body was read completely. It does not
// replace http.Request.Body, because http.Server inspects the type of that field
// before it closes the body.
type callerBody struct {
	io.ReadCloser
	complete atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.complete.Store(true)
	}
	return n, err
}

// WriteHeader implements http.ResponseWriter. If the request body was not read
// completely, the connection can't be reused and is closed after the response.
// This also keeps http.Server from reading the rest of the body before it
// responds: the caller may have stalled, or the body may still be streaming to
// the target.
func (w *callerWriter) WriteHeader(status int) {
	w.renewDeadline()
	w.started = true
	if !w.body.complete.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *callerWriter) Write(p []byte) (written int, err error) {
	for {
		w.renewDeadline()
		n, err := w.ResponseWriter.Write(p[written:min(len(p), written+writeChunkBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// limitBodyDrain limits what the server discards of an unread body.
func (w *callerWriter) limitBodyDrain(r *http.Request) {
	if w.body.complete.Load() || httpserver.DiscardBody(r) {
		return
	}
	if w.conn != nil {
		_ = w.conn.SetReadDeadline(time.Now().Add(bodyDrainTimeout))
	}
}

// renewDeadline extends the write deadline to the write timeout from now, but not
// beyond latestDeadline.
func (w *callerWriter) renewDeadline() {
	if w.conn == nil {
		return
	}
	deadline := time.Now().Add(w.timeout)
	if !w.latestDeadline.IsZero() && w.latestDeadline.Before(deadline) {
		deadline = w.latestDeadline
	}
	if gap := deadline.Sub(w.currentDeadline); gap >= 0 && gap < w.timeout/renewalFraction {
		return
	}
	w.currentDeadline = deadline
	_ = w.conn.SetWriteDeadline(deadline)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
