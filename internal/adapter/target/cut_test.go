package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// cutResponses are complete responses to request r2, to be cut at every byte. The body of
// one that is closeDelimited ends with a close of the connection, but not with a reset.
var cutResponses = []struct {
	name, method, raw            string
	closeDelimited, onReusedOnly bool
}{
	{name: "length", raw: "HTTP/1.1 200 OK\r\nX-Id: r2\r\nContent-Length: 12\r\nX-Last: ab\r\n\r\nhello, world"},
	{name: "empty", raw: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: r2\r\n\r\n"},
	{name: "folded header", raw: "HTTP/1.1 200 OK\r\nX-Id: r2\r\nX-Folded: a\r\n b\r\nContent-Length: 0\r\n\r\n"},
	{name: "chunks and trailer", raw: "HTTP/1.1 200 OK\r\nX-Id: r2\r\nTransfer-Encoding: chunked\r\n\r\n11;x=y\r\nseventeen letters\r\n2\r\nab\r\n0\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n"},
	{name: "chunks", raw: "HTTP/1.1 200 OK\r\nX-Id: r2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"},
	{name: "no length", raw: "HTTP/1.1 200 OK\r\nX-Id: r2\r\nConnection: close\r\n\r\nbody", closeDelimited: true},
	{name: "head", method: "HEAD", raw: "HTTP/1.1 200 OK\r\nX-Id: r2\r\nContent-Length: 9\r\n\r\n"},
	{name: "no content", raw: "HTTP/1.1 204 No Content\r\nX-Id: r2\r\n\r\n"},
	{name: "not modified", raw: "HTTP/1.1 304 Not Modified\r\nX-Id: r2\r\nContent-Length: 5\r\n\r\n"},
	{name: "informational", raw: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: r2\r\nContent-Length: 2\r\n\r\nab"},
	{name: "continue", raw: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\nX-Id: r2\r\n\r\n"},
	{name: "rejection", raw: "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Id: r2\r\nContent-Length: 0\r\n\r\n"},
	{name: "rejection with body", raw: "HTTP/1.1 429 Many\r\nX-Id: r2\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"},
	{name: "other target", raw: "HTTP/1.1 421 Other\r\nX-Id: r2\r\nContent-Length: 0\r\n\r\n"},
	{name: "copy of an earlier response", onReusedOnly: true, raw: "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nlateHTTP/1.1 200 OK\r\nX-Id: r2\r\nContent-Length: 4\r\n\r\nmine"},
}

// endings are the ways in which a target ends a connection after a cut response.
var endings = map[string]bool{"closed": false, "reset": true}

// writeAndEnd writes data and closes the connection, or resets it.
func writeAndEnd(c net.Conn, data string, reset bool) {
	_, _ = io.WriteString(c, data)
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// serveCut starts a target that responds to request r1 completely and to any other with
// the first size bytes of raw, where its path is /size.
func serveCut(t *testing.T, raw string, reset bool) string {
	return serveTCP(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			if req.Header.Get("X-Id") == "r1" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n")
				continue
			}
			var size int
			_, _ = fmt.Sscanf(req.URL.Path, "/%d", &size)
			writeAndEnd(c, raw[:size], reset)
			return
		}
	})
}

// TestCutResponse guards against taking a response for complete, or for proof that the
// request did not run, if the target stopped in the middle of its head, its body, a
// chunk size or a trailer and then closed or reset the connection.
func TestCutResponse(t *testing.T) {
	for _, tt := range cutResponses {
		for ending, reset := range endings {
			for _, reused := range []bool{false, true} {
				if tt.onReusedOnly && !reused {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/reused=%v", tt.name, ending, reused), func(t *testing.T) {
					address := serveCut(t, tt.raw, reset)
					needed := len(tt.raw)
					if tt.closeDelimited {
						needed = strings.Index(tt.raw, "\r\n\r\n") + 4
					}
					for size := 0; size <= len(tt.raw); size++ {
						kind, notRun, body := doCut(t, address, tt.method, size, reused)
						complete := kind == attempt.Answered || notRun
						if want := size >= needed && !(tt.closeDelimited && reset); complete != want {
							t.Fatalf("ended after %q: %s, not run %v, body %q", tt.raw[:size], kind, notRun, body)
						}
					}
				})
			}
		}
	}
}

// doCut sends a request that is answered with size bytes, on a connection that has
// carried another request if reused is set.
func doCut(t *testing.T, address, method string, size int, reused bool) (kind attempt.Kind, notRun bool, body string) {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Dialect = strayDialect(true)
	cfg.Dialect.AllowCloseDelimited = true
	tr := New(cfg)
	defer tr.Close()
	if reused {
		if _, _, res := doAndReadBody(t, tr, Attempt{Address: address, RequestID: "r1"}); res.Kind != attempt.Answered {
			t.Fatalf("first request: %+v", res)
		}
	}
	trace := &Trace{}
	_, body, res := doAndReadBody(t, tr, Attempt{
		Address: address, Method: method, URI: fmt.Sprintf("/%d", size), RequestID: "r2", ExpectTarget: "t", Trace: trace,
	})
	if trace.Reused != reused || res.NotSent {
		t.Fatalf("%d bytes: reused %v, result %+v, %v", size, trace.Reused, res, trace.Err)
	}
	if open := tr.PoolStats().Open; res.Kind != attempt.Answered && !res.NotRun && open != 0 {
		t.Fatalf("%d bytes: the connection was kept", size)
	}
	return res.Kind, res.NotRun, body
}

// TestCutCopyBeforeResponse guards against reading a copy of an earlier response that is
// cut in its head, together with the response that follows it, as one head: the status or
// the statement of the copy would get the ID of the running request.
func TestCutCopyBeforeResponse(t *testing.T) {
	for name, stray := range map[string]string{
		"rejection, ID last":  "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-A: some value\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
		"rejection, ID first": "HTTP/1.1 429 Many\r\nX-Id: r1\r\nX-Not-Run: 1\r\nX-A: some value\r\nContent-Length: 4\r\n\r\nfull",
		"declared status":     "HTTP/1.1 409 Not now\r\nX-A: some value\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
		"other target":        "HTTP/1.1 421 Other target\r\nX-A: some value\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
		"answer":              "HTTP/1.1 200 OK\r\nX-A: some value\r\nX-Id: r1\r\nContent-Length: 4\r\n\r\nlate",
		"chunked answer":      "HTTP/1.1 200 OK\r\nX-A: some value\r\nTransfer-Encoding: chunked\r\nX-Id: r1\r\n\r\n4\r\nlate\r\n0\r\n\r\n",
	} {
		for _, echo := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/echo=%v", name, echo), func(t *testing.T) {
				t.Parallel()
				for size := range len(stray) {
					checkCutCopy(t, stray[:size], echo)
				}
			})
		}
	}
}

// checkCutCopy sends a request to which the target responds with a cut copy and the
// failed response to the request.
func checkCutCopy(t *testing.T, stray string, echo bool) {
	address := serveTCP(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n")
		_, _ = http.ReadRequest(br)
		_, _ = io.WriteString(c, stray+"HTTP/1.1 500 No\r\nX-Id: r2\r\nContent-Length: 4\r\n\r\nmine")
	})
	tr := newTransport(t, func(c *Config) {
		c.Dialect = strayDialect(echo)
		// The connection is to be kept on a machine under load as well.
		c.NonIdempotentReuse = testTimeout
	})
	doAndReadBody(t, tr, Attempt{Address: address, RequestID: "r1"})
	trace := &Trace{}
	response, body, res := doAndReadBody(t, tr, Attempt{
		Address: address, RequestID: "r2", ExpectTarget: "t", Trace: trace,
		Statuses: Statuses{Shed: []int{409, 429, 503}, NotRun: []int{409}, Failure: []int{500}},
	})
	if !trace.Reused {
		t.Fatal("the connection was not kept")
	}
	if res.NotRun || res.Kind == attempt.Answered {
		t.Errorf("after %q: %+v", stray, res)
	}
	if res.Kind == attempt.ServerError && (response.Status != 500 || body != "mine") {
		t.Errorf("after %q: status %d, body %q", stray, response.Status, body)
	}
}
