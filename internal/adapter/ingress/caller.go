package ingress

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// Limits on silent callers.
const (
	// defaultWriteTimeout is the time in which a caller must accept
	// writeChunkBytes of its response.
	defaultWriteTimeout = 30 * time.Second
	// writeChunkBytes is the progress after which the write deadline is renewed.
	writeChunkBytes = 64 << 10
	// lingerTimeout bounds how long the rest of a body that is not wanted is
	// read, so that the caller can receive the refusal before the reset.
	lingerTimeout = time.Second
	// renewalFraction: a deadline that is earlier than it could be by less than
	// this fraction of the write timeout is not renewed, because each renewal
	// changes a timer.
	renewalFraction = 8
)

// callerWriter is the response to one caller. A caller that accepts nothing for
// the write timeout loses its connection; http.Server clears the deadline after
// each response.
type callerWriter struct {
	http.ResponseWriter
	conn    deadlineSetter
	timeout time.Duration
	// until, if set, is the latest write deadline.
	until time.Time
	// set is the write deadline that is in force.
	set  time.Time
	body callerBody
}

// deadlineSetter is implemented by the ResponseWriter of http.Server.
type deadlineSetter interface {
	SetReadDeadline(time.Time) error
	SetWriteDeadline(time.Time) error
}

func newCallerWriter(w http.ResponseWriter, r *http.Request, timeout time.Duration) *callerWriter {
	c := &callerWriter{ResponseWriter: w, timeout: timeout, body: callerBody{ReadCloser: r.Body}}
	c.conn, _ = w.(deadlineSetter)
	c.body.whole.Store(r.ContentLength == 0)
	return c
}

// callerBody notes whether the body was read to its end. It does not replace
// http.Request.Body, whose type http.Server looks at before it closes.
type callerBody struct {
	io.ReadCloser
	whole atomic.Bool
}

// Read implements io.Reader.
func (b *callerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.whole.Store(true)
	}
	return n, err
}

// WriteHeader implements http.ResponseWriter. When a part of the body was not
// read, the connection can't carry another request, and http.Server must not
// read the rest before it responds: the caller may be silent, or the body may
// still be on its way to the target.
func (w *callerWriter) WriteHeader(status int) {
	w.renew()
	if !w.body.whole.Load() {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *callerWriter) Write(p []byte) (written int, err error) {
	for {
		w.renew()
		n, err := w.ResponseWriter.Write(p[written:min(len(p), written+writeChunkBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// close bounds the time in which http.Server reads the rest of the body.
func (w *callerWriter) close() {
	if !w.body.whole.Load() && w.conn != nil {
		_ = w.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
}

// renew allows the write timeout for what is written next.
func (w *callerWriter) renew() {
	if w.conn == nil {
		return
	}
	deadline := time.Now().Add(w.timeout)
	if !w.until.IsZero() && w.until.Before(deadline) {
		deadline = w.until
	}
	if early := deadline.Sub(w.set); early >= 0 && early < w.timeout/renewalFraction {
		return
	}
	w.set = deadline
	_ = w.conn.SetWriteDeadline(deadline)
}

// Unwrap gives http.ResponseController access to the connection.
func (w *callerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
