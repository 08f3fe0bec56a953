package target

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// FuzzResponse guards against panics, hangs, and the reuse of a connection after
// an incomplete response.
func FuzzResponse(f *testing.F) {
	f.Add("GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")
	f.Add("HEAD", "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nT: x\r\n\r\n")
	f.Add("POST", "HTTP/1.0 500 x\r\nSapphirehaven-Request-Id: r2\r\n\r\nxyz")
	f.Add("GET", "HTTP/1.1 204 x\r\nConnection: a, close\r\n\r\nxyz")
	f.Fuzz(func(t *testing.T, method, raw string) {
		cfg := DefaultConfig()
		cfg.MaxHeadBytes = 1 << 10
		cfg.Dial = pipeDial(func(_ int, c net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, raw)
			}
		})
		tr := New(cfg)
		defer tr.Close()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		defer cancel()
		resp, res := tr.Do(ctx, Attempt{Address: "a", Method: method, URI: "/", RequestID: "r1", Idempotent: true})
		if resp != nil {
			body, err := io.ReadAll(resp.Body)
			res = resp.Finish()
			if (err == nil) != (res.Kind == attempt.Answered) {
				t.Fatalf("error %v, result %+v", err, res)
			}
			if err == nil && resp.ContentLength >= 0 && method != http.MethodHead && resp.Status != http.StatusNotModified && int64(len(body)) != resp.ContentLength {
				t.Fatalf("%d bytes, declared %d", len(body), resp.ContentLength)
			}
		}
		if res.Kind != attempt.Answered && tr.PoolStats().Open != 0 {
			t.Fatalf("the connection was kept after %+v", res)
		}
		if ctx.Err() != nil {
			t.Fatal("the attempt did not end before its deadline")
		}
	})
}

// FuzzKeptConnection guards against delivering anything but the response to the request
// on a connection that has carried another one, and against taking it for proof that the
// request did not run. The target rejects or answers request r1 and responds to r2 with
// arbitrary bytes, then closes the connection.
func FuzzKeptConnection(f *testing.F) {
	const rejection, answer = "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nab"
	for _, rejects := range []bool{true, false} {
		for _, echo := range []bool{true, false} {
			f.Add(rejects, echo, fmt.Sprintf(rejection, "r1")+fmt.Sprintf(answer, "r2"))
			f.Add(rejects, echo, fmt.Sprintf(rejection, "r2")+fmt.Sprintf(answer, "r2"))
			f.Add(rejects, echo, fmt.Sprintf(answer, "r1")+fmt.Sprintf(rejection, "r2"))
			f.Add(rejects, echo, "HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n"+fmt.Sprintf(answer, "r2"))
			f.Add(rejects, echo, "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 429 x\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n")
		}
	}
	f.Fuzz(func(t *testing.T, rejects, echo bool, raw string) {
		first := answer
		if rejects {
			first = rejection
		}
		cfg := DefaultConfig()
		cfg.Dialect = strayDialect(echo)
		cfg.Dial = pipeDial(func(_ int, c net.Conn) {
			br := bufio.NewReader(c)
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			_, _ = fmt.Fprintf(c, first, "r1")
			if _, err := http.ReadRequest(br); err == nil {
				_, _ = io.WriteString(c, raw)
			}
		})
		tr := New(cfg)
		defer tr.Close()
		if _, _, res := doAndReadBody(t, tr, Attempt{Address: "a", RequestID: "r1", Idempotent: true}); res.NotRun != rejects {
			t.Fatalf("r1: %+v", res)
		}
		trace := &Trace{}
		resp, _, res := doAndReadBody(t, tr, Attempt{Address: "a", RequestID: "r2", ExpectTarget: "t", Idempotent: true, Trace: trace})
		own := resp != nil && resp.Header.Get("X-Id") == "r2"
		if !trace.Reused || res.NotSent || res.NotRun && !own || echo && res.Kind == attempt.Answered && !own {
			t.Fatalf("own response %v, result %+v, trace %+v", own, res, trace)
		}
	})
}

// FuzzRequestHead guards against request smuggling: a request that a target
// parses as a different request, or as two requests.
func FuzzRequestHead(f *testing.F) {
	f.Add("GET", "/a?b", "host", "Connection", "X-Secret", "r1", int64(0))
	f.Add("POST", "/a HTTP/1.1\r\nX: y", "h\r\nA: b", "Transfer-Encoding", "gzip, chunked", "r\r\n\r\nGET / HTTP/1.1", int64(5))
	f.Add("PUT", "//x", "", "Content-Length", "7", "", int64(-1))
	f.Add("GET", "/", "h", "A", "x\r\nContent-Length: 7\r\nB: c", "", int64(0))
	f.Add("GET", "/", "h", "A: b\r\nContent-Length", "7", "", int64(0))
	f.Add("GET", "/", "h", "content-length", "7", "", int64(0))
	f.Fuzz(func(t *testing.T, method, uri, host, key, value, id string, length int64) {
		a := Attempt{
			Address: "127.0.0.1:1", Method: method, URI: uri, Host: host, RequestID: id,
			Header: http.Header{key: {value}}, Body: bytes.NewReader(nil), ContentLength: length % 100,
		}
		if a.validate() != nil {
			return
		}
		x := &exchange{t: New(DefaultConfig()), a: &a, ctx: t.Context(), start: time.Now()}
		br := bufio.NewReader(bytes.NewReader(x.appendHead(nil)))
		req, err := http.ReadRequest(br)
		if err != nil {
			// A head that the target rejects as malformed is harmless.
			return
		}
		if req.Method != method || req.RequestURI != uri || br.Buffered() != 0 {
			t.Fatalf("read as %s %q, %d bytes left", req.Method, req.RequestURI, br.Buffered())
		}
		want := a.ContentLength
		if want < 0 {
			want = -1
		}
		if req.ContentLength != want {
			t.Fatalf("length %d, want %d", req.ContentLength, want)
		}
	})
}
