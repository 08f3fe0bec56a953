package ingress

import (
	"bufio"
	"fmt"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// TestEarlyRefusalOfUpload guards against the loss of a target's complete
// response that arrives before the caller has sent the whole upload.
func TestEarlyRefusalOfUpload(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
		target := serveRaw(t, func(_ int, c net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 403 Forbidden\r\nContent-Length: 2\r\n\r\n")
			time.Sleep(pause)
			_, _ = io.WriteString(c, "no")
			time.Sleep(pause)
			return false
		})
		h := newHost(t, 2, target.address)
		c, err := net.Dial("tcp", h.url[len("http://"):])
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(hangLimit))
		fmt.Fprintf(c, "POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\nstart")
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(res.Body)
		if res.StatusCode != http.StatusForbidden || res.Header.Get(dialect.Native().Outcome) != OutcomeAnswered || string(body) != "no" {
			t.Errorf("body %s after the header: status %d outcome %s body %q", pause, res.StatusCode, res.Header.Get(dialect.Native().Outcome), body)
		}
	}
}

// TestUploadRetryReadsBody guards against a retry of an upload that cannot read
// the body, because the target of the first attempt refused before the caller
// had sent any of it.
func TestUploadRetryReadsBody(t *testing.T) {
	retried := make(chan struct{}, 1)
	var attempts atomic.Int32
	handle := func(_ int, c net.Conn, r *http.Request) bool {
		if attempts.Add(1) == 1 {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			return false
		}
		retried <- struct{}{}
		if n, err := io.Copy(io.Discard, r.Body); n != 100000 || err != nil {
			return false
		}
		_, _ = io.WriteString(c, okResponse)
		return true
	}
	h := newHost(t, 2, serveRaw(t, handle).address, serveRaw(t, handle).address)
	h.ActiveConfig().Backends["s"].Classes["upload"].NotRunStatuses = []int{503}
	c, err := net.Dial("tcp", h.url[len("http://"):])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(hangLimit))
	fmt.Fprintf(c, "POST /upload HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n")
	select {
	case <-retried:
	case <-time.After(hangLimit):
		t.Fatal("the upload was not tried again")
	}
	if _, err := c.Write(make([]byte, 100000)); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(res.Body)
		t.Fatalf("status %d: %s", res.StatusCode, body)
	}
}
