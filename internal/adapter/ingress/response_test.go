package ingress

import (
	"fmt"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// respondOnce writes raw and closes the connection.
func respondOnce(raw string) func(int, net.Conn, *http.Request) bool {
	return func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, raw)
		return false
	}
}

const okHead = "HTTP/1.1 200 OK\r\n"

// TestIncompleteResponses guards against a response that reaches a caller
// although it is not complete, or not the response to its request, and against
// an idempotent request that fails although another target can answer it.
func TestIncompleteResponses(t *testing.T) {
	for name, raw := range map[string]string{
		"truncated":        okHead + "Content-Length: 3\r\n\r\nab",
		"over-long":        okHead + "Content-Length: 1\r\n\r\nab",
		"garbled head":     "SSH-2.0-x\r\n\r\n",
		"truncated head":   okHead + "Content-Le",
		"broken chunk":     okHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
		"no last chunk":    okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
		"garbled chunk":    okHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n",
		"no declared end":  okHead + "\r\nab",
		"of other request": okHead + dialect.Native().RequestID + ": h-1-ffff\r\nContent-Length: 2\r\n\r\nab",
		"nothing":          "",
	} {
		t.Run(name, func(t *testing.T) {
			bad := serveRaw(t, respondOnce(raw))
			h := newHost(t, 4, bad.address)
			h.expect(t, 502, OutcomeUnknown, "POST", "/order", "x", "X-Key", "k")
			if n := bad.count("k"); n != 1 {
				t.Fatalf("sent %d times", n)
			}
			both := newHost(t, 4, bad.address, serveRaw(t, always(okResponse)).address)
			for range 6 {
				if r := both.expect(t, 200, OutcomeAnswered, "GET", "/lookup", ""); r.body != "ok" {
					t.Fatalf("%q", r.body)
				}
			}
			both.idle(t)
		})
	}
}

// TestLargeResponseBreaksOff guards against a truncated response that looks
// complete to the caller, with a declared length and in chunks.
func TestLargeResponseBreaksOff(t *testing.T) {
	body := strings.Repeat("x", 99_999)
	for _, raw := range []string{
		okHead + "Content-Length: 100000\r\n\r\n" + body,
		okHead + "Transfer-Encoding: chunked\r\n\r\n1869f\r\n" + body + "\r\n",
	} {
		h := newHost(t, 4, serveRaw(t, respondOnce(raw)).address)
		if r := h.send(t.Context(), "GET", "/lookup", ""); r.err == nil {
			t.Fatalf("%d bytes without an error", len(r.body))
		}
		h.idle(t)
	}
}

// TestLateResponse guards against a response that reaches a later request
// because it arrived after the timeout of its own.
func TestLateResponse(t *testing.T) {
	release := make(chan struct{})
	rt := serveRaw(t, func(_ int, c net.Conn, r *http.Request) bool {
		key := r.Header.Get("X-Key")
		if key == "late" {
			<-release
		}
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", okHead, len(key), key)
		return true
	})
	h := newHost(t, 1, rt.address)
	h.expect(t, 200, OutcomeAnswered, "POST", "/order", "", "X-Key", "first")
	h.expect(t, 504, OutcomeUnknown, "POST", "/order", "", "X-Key", "late", dialect.Native().Deadline, "500")
	close(release)
	for i := range 5 {
		key := fmt.Sprint("next", i)
		if r := h.expect(t, 200, OutcomeAnswered, "POST", "/order", "", "X-Key", key); r.body != key {
			t.Fatalf("got the response to %q", r.body)
		}
	}
}

// TestResponsesWithoutBody guards against a response that is refused, or hangs,
// because it has no body although its header declares one.
func TestResponsesWithoutBody(t *testing.T) {
	for _, c := range []struct {
		method, raw string
		status      int
		length      string
	}{
		{"HEAD", okHead + "Content-Length: 9\r\n\r\n", 200, "9"},
		{"HEAD", okHead + "Transfer-Encoding: chunked\r\n\r\n", 200, ""},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\nETag: \"a\"\r\n\r\n", 304, ""},
	} {
		h := newHost(t, 4, serveRaw(t, always(c.raw)).address)
		for range 3 {
			r := h.expect(t, c.status, OutcomeAnswered, c.method, "/lookup", "")
			if r.body != "" || r.header.Get("Content-Length") != c.length {
				t.Fatalf("%s %q: %+v", c.method, c.raw, r)
			}
		}
	}
}

// TestEarlyStatusDuringUpload guards against an upload that loses bytes because
// the response started first: http.Server then reads up to 256 KiB of the body
// itself, unless the connection closes after the response.
func TestEarlyStatusDuringUpload(t *testing.T) {
	const size = 1 << 20
	rt := serveRaw(t, func(_ int, c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, okHead+"Content-Length: 100000\r\n\r\n"+strings.Repeat("x", 99_999))
		if n, err := io.Copy(io.Discard, r.Body); n != size || err != nil {
			return false
		}
		_, _ = io.WriteString(c, "x")
		return true
	})
	h := newHost(t, 4, rt.address)
	req, err := http.NewRequest("POST", h.url+"/upload", io.MultiReader(strings.NewReader(strings.Repeat("y", size))))
	if err != nil {
		t.Fatal(err)
	}
	res, err := h.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if n, err := io.Copy(io.Discard, res.Body); n != 100_000 || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	h.idle(t)
}

// TestDrainingTarget guards against new work for a target that has announced
// draining with a response.
func TestDrainingTarget(t *testing.T) {
	leaving := serveRaw(t, always(okHead+"Sapphirehaven-Draining: true\r\nContent-Length: 2\r\n\r\nok"))
	staying := serveRaw(t, always(okResponse))
	h := newHost(t, 4, leaving.address, staying.address)
	for range 30 {
		h.expect(t, 200, OutcomeAnswered, "POST", "/order", "")
	}
	if n := leaving.count(""); n > 1 {
		t.Fatalf("a draining target got %d requests", n)
	}
	if staying.count("") < 29 {
		t.Fatal("requests are missing")
	}
}
