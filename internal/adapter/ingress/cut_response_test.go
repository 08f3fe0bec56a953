package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// cutTarget starts a target that responds to the request with the key "first" completely
// and to any other with the first size bytes of raw, where size is the key. It then
// closes or resets the connection.
func cutTarget(t *testing.T, raw string, reset bool) *rawTarget {
	return newRawTarget(t, func(_ int, c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		response := strings.ReplaceAll(raw, "ID", r.Header.Get("X-Id"))
		if r.Header.Get("X-Key") != "first" {
			var size int
			_, _ = fmt.Sscanf(r.Header.Get("X-Key"), "size-%d", &size)
			response = response[:min(size, len(response))]
		}
		_, err := io.WriteString(c, response)
		if len(response) < len(raw) && reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		return err == nil && r.Header.Get("X-Key") == "first"
	})
}

// TestCutResponse checks that a response that a target ends at any byte before its end is
// not forwarded as a complete one and does not count as proof that the request did not
// run: an idempotent request gets the response of another target, any other an unknown
// outcome.
func TestCutResponse(t *testing.T) {
	for name, raw := range map[string]string{
		"length":    "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 12\r\n\r\nhello, world",
		"chunks":    "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\nX-Sum: 1\r\n\r\n",
		"rejection": "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Id: ID\r\nContent-Length: 4\r\n\r\nfull",
	} {
		for ending, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(name+"/"+ending, func(t *testing.T) {
				t.Parallel()
				for size := range len(raw) {
					checkCut(t, raw, size, reset, (size%2 == 0) == reset)
				}
			})
		}
	}
}

// checkCut sends a non-idempotent request and an upload to a target that cuts its
// response, and idempotent requests to that target and a sound one.
func checkCut(t *testing.T, raw string, size int, reset, reused bool) {
	cutting := cutTarget(t, raw, reset)
	sound := newRawTarget(t, func(_ int, c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: "+r.Header.Get("X-Id")+"\r\nContent-Length: 5\r\n\r\nsound")
		return err == nil
	})
	send := func(h *testHost, path, body string) testResponse {
		if reused {
			h.send(t.Context(), "POST", path, "", "X-Id", "id-1", "X-Key", "first", "X-Left", "20000")
		}
		return h.send(t.Context(), "POST", path, body, "X-Id", "id-2", "X-Key", fmt.Sprint("size-", size), "X-Left", "20000")
	}
	for path, body := range map[string]string{"/order": "x", "/upload": strings.Repeat("x", 50<<10)} {
		h := newRepeatingHost(t, true, []string{cutting.address})
		if r := send(h, path, body); r.err != nil || r.status != http.StatusBadGateway {
			t.Fatalf("%s, cut after %q: status %d %q, %v", path, raw[:size], r.status, r.body, r.err)
		}
	}
	h := newRepeatingHost(t, true, []string{cutting.address, sound.address})
	for range 2 {
		if r := send(h, "/lookup", "x"); r.err != nil || r.status != http.StatusOK || r.body != "sound" {
			t.Fatalf("/lookup, cut after %q: status %d %q, %v", raw[:size], r.status, r.body, r.err)
		}
	}
}
