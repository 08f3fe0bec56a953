package target

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// serveRaw starts a server that responds to each request with raw bytes. If closes is
// set, it closes the connection after the first response.
func serveRaw(t *testing.T, raw string, closes bool) string {
	return serveTCP(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, raw)
			if closes {
				return
			}
		}
	})
}

// TestResponses guards against accepting anything but the complete response to the
// request, and against reusing a connection in an unknown state.
func TestResponses(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name, raw, method string
		closes            bool
		kind              attempt.Kind
		body              string
		reused            bool
		err               error
		unverifiable      bool
	}{
		{name: "complete", raw: ok + "Content-Length: 2\r\n\r\nab", body: "ab", reused: true},
		{name: "chunked", raw: ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", body: "ab", reused: true},
		{name: "interim", raw: "HTTP/1.1 103 Early Hints\r\n\r\n" + ok + "Content-Length: 0\r\n\r\n", reused: true},
		{name: "head", method: "HEAD", raw: ok + "Content-Length: 9\r\n\r\n", reused: true},
		{name: "no content", raw: "HTTP/1.1 204 No Content\r\n\r\n", reused: true},
		{name: "not modified", raw: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", reused: true},
		{name: "close", raw: ok + "Connection: close\r\nContent-Length: 2\r\n\r\nab", body: "ab"},
		{name: "version 1.0", raw: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab", body: "ab"},
		{name: "no length", raw: ok + "\r\nab", closes: true, body: "ab", unverifiable: true},
		{name: "same ID", raw: ok + "Sapphirehaven-Request-Id: r1\r\nContent-Length: 0\r\n\r\n", reused: true},
		{name: "draining", raw: ok + "Sapphirehaven-Draining: true\r\nContent-Length: 0\r\n\r\n"},
		{name: "truncated", raw: ok + "Content-Length: 3\r\n\r\nab", closes: true, kind: attempt.BadAnswer, body: "ab"},
		{name: "truncated chunk", raw: ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nab", closes: true, kind: attempt.BadAnswer, body: "ab"},
		{name: "no last chunk", raw: ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", closes: true, kind: attempt.BadAnswer, body: "ab"},
		{name: "garbled chunk", raw: ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n", kind: attempt.BadAnswer},
		{name: "truncated head", raw: ok + "Content-Le", closes: true, kind: attempt.BadAnswer},
		{name: "over-long", raw: ok + "Content-Length: 1\r\n\r\nab", kind: attempt.BadAnswer, body: "a", err: ErrResponseTooLong},
		{name: "body after head", method: "HEAD", raw: ok + "Content-Length: 2\r\n\r\nab", kind: attempt.BadAnswer, err: ErrResponseTooLong},
		{name: "body after 204", raw: "HTTP/1.1 204 No Content\r\n\r\nab", kind: attempt.BadAnswer, err: ErrResponseTooLong},
		{name: "garbled", raw: "SSH-2.0-x\r\n\r\n", kind: attempt.BadAnswer, err: ErrBadResponse},
		{name: "two heads", raw: ok + "A: bHTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nab", kind: attempt.BadAnswer, err: ErrBadResponse},
		{name: "version in a value", raw: ok + "Via: HTTP/1.1 a, HTTP/1.1 2001\r\nContent-Length: 0\r\n\r\n", reused: true},
		{name: "two lengths", raw: ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", kind: attempt.BadAnswer, err: ErrBadResponse},
		{name: "other ID", raw: ok + "Sapphirehaven-Request-Id: r2\r\nContent-Length: 0\r\n\r\n", kind: attempt.BadAnswer, err: ErrRequestIDMismatch},
		{name: "upgrade", raw: "HTTP/1.1 101 Switching Protocols\r\n\r\n", kind: attempt.BadAnswer, err: ErrBadResponse},
		{name: "endless interim", raw: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxResponseHeads), kind: attempt.BadAnswer, err: ErrBadResponse},
		{name: "large head", raw: ok + "A: " + strings.Repeat("a", 9000) + "\r\n\r\n", kind: attempt.BadAnswer, err: ErrHeadTooLarge},
		{name: "closed", closes: true, kind: attempt.ConnectionLost, err: ErrPeerClosed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := newTransport(t, func(c *Config) { c.MaxHeadBytes = 8 << 10 })
			trace := &Trace{}
			resp, body, res := doAndReadBody(t, tr, Attempt{
				Address: serveRaw(t, tt.raw, tt.closes), Method: tt.method, RequestID: "r1", Idempotent: true, Trace: trace,
			})
			if res.Kind != tt.kind || body != tt.body || res.NotSent || res.NotRun || (tt.err != nil && !errors.Is(trace.Err, tt.err)) || (trace.Err != nil) != (tt.kind != attempt.Answered) {
				t.Errorf("result %+v, body %q, error %v", res, body, trace.Err)
			}
			if resp != nil && resp.Unverifiable != tt.unverifiable {
				t.Errorf("unverifiable: %v", resp.Unverifiable)
			}
			if idle := tr.PoolStats().Idle == 1; idle != tt.reused {
				t.Errorf("connection reusable: %v, want %v", idle, tt.reused)
			}
		})
	}
}

// TestStatusClassification guards against misinterpreting a status, in particular as
// "not run" without a declaration in the document.
func TestStatusClassification(t *testing.T) {
	statuses := Statuses{Failure: []int{500}, Shed: []int{429, 503}, NotRun: []int{503, 409}}
	tests := []struct {
		head   string
		kind   attempt.Kind
		notRun bool
		wait   int
	}{
		{"404 x", attempt.Answered, false, 0},
		{"500 x", attempt.ServerError, false, 0},
		{"502 x", attempt.Answered, false, 0},
		{"429 x\r\nRetry-After: 3", attempt.Shed, false, 3},
		{"503 x\r\nRetry-After: 99999999999", attempt.Shed, true, 3600},
		{"503 x\r\nSapphirehaven-Draining: true", attempt.Draining, true, 0},
		{"409 x", attempt.Shed, true, 0},
		{"500 x\r\nSapphirehaven-Draining: true", attempt.ServerError, false, 0},
	}
	for _, tt := range tests {
		tr := newTransport(t, nil)
		address := serveRaw(t, "HTTP/1.1 "+tt.head+"\r\nContent-Length: 0\r\n\r\n", false)
		_, _, res := doAndReadBody(t, tr, Attempt{Address: address, Statuses: statuses})
		if res.Kind != tt.kind || res.NotRun != tt.notRun || int(res.RetryAfter.Seconds()) != tt.wait {
			t.Errorf("%q: %+v", tt.head, res)
		}
	}
}

// TestUnreadResponse guards against reusing a connection whose response was not read
// to its end.
func TestUnreadResponse(t *testing.T) {
	tr := newTransport(t, nil)
	address := serveRaw(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde", false)
	resp, res := tr.Do(t.Context(), Attempt{Address: address, Method: "GET", URI: "/", Idempotent: true})
	if resp == nil {
		t.Fatal(res)
	}
	if res = resp.Finish(); res.Kind != attempt.Canceled || tr.PoolStats().Open != 0 {
		t.Fatalf("%+v %+v", res, tr.PoolStats())
	}
	if _, err := resp.Body.Read(make([]byte, 1)); err == nil || err == io.EOF {
		t.Fatalf("read after Finish: %v", err)
	}
}
