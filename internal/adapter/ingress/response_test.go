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

// respondOnce returns a handler that writes raw and closes the connection.
func respondOnce(raw string) func(int, net.Conn, *http.Request) bool {
	return func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, raw)
		return false
	}
}

const okHead = "HTTP/1.1 200 OK\r\n"

// TestIncompleteResponses checks that an incomplete response, or the response to
// another request, is not forwarded to the caller, and that an idempotent request
// is retried at another target instead.
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
			bad := newRawTarget(t, respondOnce(raw))
			h := newTestHost(t, 4, bad.address)
			h.expect(t, 502, OutcomeUnknown, "POST", "/order", "x", "X-Key", "k")
			if n := bad.count("k"); n != 1 {
				t.Fatalf("sent %d times", n)
			}
			twoTargets := newTestHost(t, 4, bad.address, newRawTarget(t, respondAlways(okResponse)).address)
			for range 6 {
				if r := twoTargets.expect(t, 200, OutcomeAnswered, "GET", "/lookup", ""); r.body != "ok" {
					t.Fatalf("%q", r.body)
				}
			}
			twoTargets.awaitIdle(t)
		})
	}
}

// TestLargeResponseTruncated checks that the caller can detect a truncated streamed
// response, with a declared length as well as with chunked encoding.
func TestLargeResponseTruncated(t *testing.T) {
	body := strings.Repeat("x", 99_999)
	for _, raw := range []string{
		okHead + "Content-Length: 100000\r\n\r\n" + body,
		okHead + "Transfer-Encoding: chunked\r\n\r\n1869f\r\n" + body + "\r\n",
	} {
		h := newTestHost(t, 4, newRawTarget(t, respondOnce(raw)).address)
		if r := h.send(t.Context(), "GET", "/lookup", ""); r.err == nil {
			t.Fatalf("%d bytes without an error", len(r.body))
		}
		h.awaitIdle(t)
	}
}

// TestLateResponse checks that a response that arrives after the timeout of its
// request is not delivered to a later request.
func TestLateResponse(t *testing.T) {
	release := make(chan struct{})
	rt := newRawTarget(t, func(_ int, c net.Conn, r *http.Request) bool {
		key := r.Header.Get("X-Key")
		if key == "late" {
			<-release
		}
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", okHead, len(key), key)
		return true
	})
	h := newTestHost(t, 1, rt.address)
	h.expect(t, 200, OutcomeAnswered, "POST", "/order", "", "X-Key", "first")
	h.expect(t, 504, OutcomeUnknown, "POST", "/order", "", "X-Key", "late", dialect.Native().Deadline, "500")
	close(release)
	for i := range 5 {
		key := fmt.Sprint("next", i)
		if r := h.expect(t, 200, OutcomeAnswered, "POST", "/order", "", "X-Key", key); r.body != key {
			t.Fatalf("received the response to %q", r.body)
		}
	}
}

// TestResponsesWithoutBody checks that a response without a body is forwarded even
// if its header declares a body, as responses to HEAD and with status 304 may do.
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
		h := newTestHost(t, 4, newRawTarget(t, respondAlways(c.raw)).address)
		for range 3 {
			r := h.expect(t, c.status, OutcomeAnswered, c.method, "/lookup", "")
			if r.body != "" || r.header.Get("Content-Length") != c.length {
				t.Fatalf("%s %q: %+v", c.method, c.raw, r)
			}
		}
	}
}

// TestEarlyStatusDuringUpload checks that an upload is complete if the response
// starts before its end: http.Server then reads up to 256 KiB of the body itself,
// unless the connection is closed after the response.
func TestEarlyStatusDuringUpload(t *testing.T) {
	const size = 1 << 20
	target := newRawTarget(t, func(_ int, c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, okHead+"Content-Length: 100000\r\n\r\n"+strings.Repeat("x", 99_999))
		if n, err := io.Copy(io.Discard, r.Body); n != size || err != nil {
			return false
		}
		_, _ = io.WriteString(c, "x")
		return true
	})
	h := newTestHost(t, 4, target.address)
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
	h.awaitIdle(t)
}

// TestDrainingTarget checks that a target that announced draining in a response
// receives no further requests.
func TestDrainingTarget(t *testing.T) {
	drainingTarget := newRawTarget(t, respondAlways(okHead+"Sapphirehaven-Draining: true\r\nContent-Length: 2\r\n\r\nok"))
	readyTarget := newRawTarget(t, respondAlways(okResponse))
	h := newTestHost(t, 4, drainingTarget.address, readyTarget.address)
	for range 30 {
		h.expect(t, 200, OutcomeAnswered, "POST", "/order", "")
	}
	if n := drainingTarget.count(""); n > 1 {
		t.Fatalf("a draining target received %d requests", n)
	}
	if readyTarget.count("") < 29 {
		t.Fatal("requests are missing")
	}
}
