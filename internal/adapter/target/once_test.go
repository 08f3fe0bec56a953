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

// closingFake answers the first request of a connection and closes it after it
// has read the second one, which it counts as run.
func closingFake(t *testing.T, runs *atomic.Int64) string {
	return serve(t, func(n int, c net.Conn) {
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

// TestReusedConnectionClosedAfterRequest guards against a second execution:
// the target reads the request on a reused connection and closes it.
func TestReusedConnectionClosedAfterRequest(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodDelete} {
		var runs atomic.Int64
		address := closingFake(t, &runs)
		tr := newTransport(t, nil)
		if _, body, res := exchangeBody(t, tr, Attempt{Address: address, Idempotent: true}); body != "ok" {
			t.Fatalf("first request: %q %+v", body, res)
		}
		trace := &Trace{}
		resp, _, res := exchangeBody(t, tr, Attempt{
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

// TestIdleTimeoutResponse guards against a 408 for an idle connection that is
// taken for the response to the next request.
func TestIdleTimeoutResponse(t *testing.T) {
	address := serve(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		_ = answer(br, c)
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	})
	tr := newTransport(t, nil)
	openIdle(t, tr, address, 1)
	if resp, _, res := exchangeBody(t, tr, Attempt{Address: address, Method: "POST"}); resp != nil || res.Kind != attempt.ConnectionLost || res.NotSent {
		t.Fatalf("%v %+v", resp, res)
	}
}

// TestStandardTransportRepeats shows the fault that this package exists to
// avoid. It fails when http.Transport stops to repeat such requests; then the
// reason in doc.go has to be revised.
func TestStandardTransportRepeats(t *testing.T) {
	var runs atomic.Int64
	address := closingFake(t, &runs)
	std := &http.Transport{}
	defer std.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(t.Context(), hangLimit)
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
