package ingress

import (
	"bufio"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestSilentCaller guards against a caller that stops reading in the middle of a
// response and holds a slot and memory for ever.
func TestSilentCaller(t *testing.T) {
	const size = 64 << 20
	rt := serveRaw(t, always(okHead+"Content-Length: 67108864\r\n\r\n"+strings.Repeat("x", size)))
	h := newHostWith(t, func(o *options) { o.WriteTimeout = 100 * time.Millisecond }, 1, rt.address)
	_, br := h.dial(t, "GET /lookup HTTP/1.1\r\nHost: h\r\n\r\n")
	if _, err := http.ReadResponse(br, nil); err != nil {
		t.Fatal(err)
	}
	h.idle(t)
	if n, err := io.Copy(io.Discard, br); err == nil && n >= size {
		t.Fatal("the response was complete")
	}
}

// pacedWriter accepts each Write after a pause, unless its deadline has passed.
type pacedWriter struct {
	http.ResponseWriter
	deadline time.Time
}

func (w *pacedWriter) SetReadDeadline(time.Time) error { return nil }
func (w *pacedWriter) SetWriteDeadline(until time.Time) error {
	w.deadline = until
	return nil
}
func (w *pacedWriter) Write(p []byte) (int, error) {
	time.Sleep(time.Second)
	if time.Now().After(w.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return len(p), nil
}

// TestProgressRenewsDeadline guards against a caller that is cut off although it
// reads all the time, because the whole response takes longer than the write
// timeout, and against a stream that goes on after the deadline of its request.
func TestProgressRenewsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &http.Request{Body: http.NoBody}
		w := newCallerWriter(&pacedWriter{}, r, 2*time.Second)
		if n, err := w.Write(make([]byte, 10*writeChunkBytes)); n != 10*writeChunkBytes || err != nil {
			t.Fatal(n, err)
		}
		w.until = time.Now().Add(3500 * time.Millisecond)
		if n, err := w.Write(make([]byte, 10*writeChunkBytes)); n != 3*writeChunkBytes || err == nil {
			t.Fatal(n, err)
		}
	})
}

// TestKeepAlive guards against a connection that is closed after a response
// that left it in order, and one that is kept although a body was not read.
func TestKeepAlive(t *testing.T) {
	rt := serveRaw(t, always(okResponse))
	h := newHost(t, 4, rt.address)
	c, br := h.dial(t, "")
	for _, request := range []string{
		"GET /lookup HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /order HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
		"POST /upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /order HTTP/1.1\r\nHost: h\r\n" + dialect.Native().Deadline + ": x\r\nContent-Length: 3\r\n\r\nabc",
	} {
		_, _ = io.WriteString(c, request)
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("%q: %v", request, err)
		}
		_, _ = io.Copy(io.Discard, res.Body)
		if res.Close != strings.Contains(request, dialect.Native().Deadline) {
			t.Fatalf("%q: close %v, status %d", request, res.Close, res.StatusCode)
		}
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatal(err)
	}
}

// TestRestOfBodyIsNoRequest guards against the rest of an upload that is taken
// for the next request on its connection.
func TestRestOfBodyIsNoRequest(t *testing.T) {
	refuse := respondOnce("HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\n\r\n")
	rt := serveRaw(t, refuse)
	h := newHost(t, 4, rt.address)
	c, br := h.dial(t, "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")
	expectRaw(t, br, 403, OutcomeAnswered)
	_, _ = io.WriteString(c, "GET /lookup HTTP/1.1\r\nHost: h\r\nX-Key: inner\r\n\r\n")
	if res, err := http.ReadResponse(bufio.NewReader(br), nil); err == nil {
		t.Fatalf("%+v", res)
	}
	if rt.count("inner") != 0 {
		t.Fatal("a part of the body was sent as a request")
	}
}
