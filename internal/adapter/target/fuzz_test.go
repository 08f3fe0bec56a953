package target

import (
	"bufio"
	"bytes"
	"context"
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
