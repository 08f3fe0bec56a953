package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// closingServer starts a server that counts each POST and DELETE as run. On its
// first connection it closes the connection instead of responding to one of them.
func closingServer(t *testing.T, runs *atomic.Int64) string {
	return serveTCP(t, func(n int, c net.Conn) {
		br := bufio.NewReader(c)
		for i := 0; ; i++ {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if req.Method == http.MethodPost || req.Method == http.MethodDelete {
				runs.Add(1)
				if n == 0 {
					return
				}
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
}

// TestReusedConnectionClosedAfterRequest guards against running a request twice:
// the target reads it on a reused connection and closes the connection.
func TestReusedConnectionClosedAfterRequest(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodDelete} {
		var runs atomic.Int64
		address := closingServer(t, &runs)
		tr := newTransport(t, nil)
		if _, body, res := doAndReadBody(t, tr, Attempt{Address: address, Idempotent: true}); body != "ok" {
			t.Fatalf("first request: %q %+v", body, res)
		}
		trace := &Trace{}
		resp, _, res := doAndReadBody(t, tr, Attempt{
			Address: address, Method: method, Trace: trace,
			Header: http.Header{"Idempotency-Key": {"k"}},
		})
		if resp != nil || res.Kind != attempt.ConnectionLost || res.NotSent || !trace.Reused {
			t.Fatalf("%s: response %v, result %+v, trace %+v", method, resp, res, trace)
		}
		if n := runs.Load(); n != 1 {
			t.Fatalf("%s ran %d times, want 1", method, n)
		}
	}
}

// TestIdleTimeoutResponse guards against delivering a 408 for an idle connection
// as the response to the next request.
func TestIdleTimeoutResponse(t *testing.T) {
	address := serveTCP(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		_ = respondWithPath(br, c)
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	})
	tr := newTransport(t, nil)
	addIdleConns(t, tr, address, 1)
	if resp, _, res := doAndReadBody(t, tr, Attempt{Address: address, Method: "POST"}); resp != nil || res.Kind != attempt.ConnectionLost || res.NotSent {
		t.Fatalf("%v %+v", resp, res)
	}
}

// TestStandardTransportRetries demonstrates the retries of http.Transport that
// this package avoids. If it fails because http.Transport no longer retries such
// requests, the rationale in doc.go has to be revised.
func TestStandardTransportRetries(t *testing.T) {
	var runs atomic.Int64
	address := closingServer(t, &runs)
	std := &http.Transport{}
	defer std.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Idempotency-Key", "k")
		resp, err := std.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if n := runs.Load(); n != 2 {
		t.Fatalf("http.Transport ran the POST %d times, want 2", n)
	}
}
