package target

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// pipeDial connects to fake targets over net.Pipe, which works with the fake clock of
// synctest.
func pipeDial(handle func(n int, c net.Conn)) func(context.Context, string) (net.Conn, error) {
	var n atomic.Int64
	return func(context.Context, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go func() {
			defer theirs.Close()
			handle(int(n.Add(1))-1, theirs)
		}()
		return ours, nil
	}
}

// respondWithPath reads one request and responds with its path.
func respondWithPath(br *bufio.Reader, w io.Writer) error {
	req, err := http.ReadRequest(br)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, err = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(req.URL.Path))+"\r\n\r\n"+req.URL.Path)
	return err
}

func respondAll(_ int, c net.Conn) {
	for br := bufio.NewReader(c); respondWithPath(br, c) == nil; {
	}
}

// addIdleConns adds n idle connections to the pool.
func addIdleConns(t *testing.T, tr *Transport, address string, n int) {
	t.Helper()
	var list []*Response
	for range n {
		resp, res := tr.Do(t.Context(), Attempt{Address: address, Method: "GET", URI: "/a", NewConnection: true})
		if resp == nil {
			t.Fatal(res)
		}
		list = append(list, resp)
	}
	for _, resp := range list {
		_, _ = io.ReadAll(resp.Body)
		resp.Finish()
	}
	if idle := tr.PoolStats().Idle; idle != n {
		t.Fatalf("%d idle connections, want %d", idle, n)
	}
}

// TestLateResponse guards against delivering a response that arrives after its
// request was canceled as the response to the next request.
func TestLateResponse(t *testing.T) {
	late := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	address := serveTCP(t, func(n int, c net.Conn) {
		br := bufio.NewReader(c)
		for i := 0; ; i++ {
			if n == 0 && i == 1 {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				cancel()
				<-late
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
				return
			}
			if respondWithPath(br, c) != nil {
				return
			}
		}
	})
	tr := newTransport(t, nil)
	addIdleConns(t, tr, address, 1)
	trace := &Trace{}
	resp, res := tr.Do(ctx, Attempt{Address: address, Method: "POST", URI: "/b", Trace: trace})
	if resp != nil || res.Kind != attempt.Canceled || res.NotSent || !trace.Reused {
		t.Fatalf("%+v %+v", res, trace)
	}
	close(late)
	for range 3 {
		if _, body, res := doAndReadBody(t, tr, Attempt{Address: address, URI: "/c", Idempotent: true}); body != "/c" {
			t.Fatalf("body %q, result %+v", body, res)
		}
	}
}

// TestUnresponsiveConnections measures the delay when all open connections stop
// responding, and guards against more than one delayed request.
func TestUnresponsiveConnections(t *testing.T) {
	for _, silentTimeout := range []time.Duration{0, 200 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			tr := newTransport(t, func(c *Config) {
				c.Dial = pipeDial(func(n int, c net.Conn) {
					br := bufio.NewReader(c)
					if respondWithPath(br, c) != nil || n < 3 {
						_, _ = io.Copy(io.Discard, br)
						return
					}
					respondAll(n, c)
				})
			})
			addIdleConns(t, tr, "a", 3)
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			resp, res := tr.Do(ctx, Attempt{Address: "a", Method: "GET", URI: "/a", Idempotent: true, FirstByteTimeout: silentTimeout})
			elapsed := time.Since(start)
			want := silentTimeout
			if want == 0 {
				want = time.Second
			}
			if resp != nil || res.Kind != attempt.TimedOut || elapsed != want {
				t.Fatalf("%+v after %s, want %s", res, elapsed, want)
			}
			if s := tr.PoolStats(); s.Idle != 0 || s.Suspicions != 1 {
				t.Fatalf("idle connections were kept: %+v", s)
			}
			_, body, res := doAndReadBody(t, tr, Attempt{Address: "a", Idempotent: true})
			if body != "/" || !res.FreshConnection || time.Since(start) != elapsed {
				t.Fatalf("%q %+v", body, res)
			}
			t.Logf("silent timeout %s: the first request was delayed by %s, the next one by 0s", silentTimeout, elapsed)
		})
	}
}

// TestReuseRules guards against reusing a connection that is too old for the request.
func TestReuseRules(t *testing.T) {
	tests := []struct {
		name       string
		idle       time.Duration
		idempotent bool
		fresh      bool
		reused     bool
		maxAge     time.Duration
	}{
		{"non-idempotent at once", 0, false, false, true, time.Hour},
		{"non-idempotent at the limit", time.Second, false, false, true, time.Hour},
		{"non-idempotent after the limit", time.Second + 1, false, false, false, time.Hour},
		{"idempotent", 14 * time.Second, true, false, true, time.Hour},
		{"idempotent after the idle time", 31 * time.Second, true, false, false, time.Hour},
		{"idempotent after the maximum age", 3 * time.Second, true, false, false, 2 * time.Second},
		{"fresh", 0, true, true, false, time.Hour},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			tr := newTransport(t, func(c *Config) { c.Dial, c.MaxAge = pipeDial(respondAll), tt.maxAge })
			addIdleConns(t, tr, "a", 1)
			time.Sleep(tt.idle)
			_, _, res := doAndReadBody(t, tr, Attempt{Address: "a", Idempotent: tt.idempotent, NewConnection: tt.fresh})
			if res.FreshConnection == tt.reused {
				t.Errorf("%s: %+v", tt.name, res)
			}
			time.Sleep(time.Minute)
			if s := tr.PoolStats(); s.Open != 0 {
				t.Errorf("%s: expired connections were not closed: %+v", tt.name, s)
			}
		})
	}
}

// TestMaxConnections guards against exceeding the connection limit, and against
// counting an attempt rejected by the limit as a failure of the target.
func TestMaxConnections(t *testing.T) {
	address := serveTCP(t, respondAll)
	tr := newTransport(t, func(c *Config) { c.MaxConnections = 2 })
	var list []*Response
	for range 2 {
		resp, _ := tr.Do(t.Context(), Attempt{Address: address, Method: "GET", URI: "/a"})
		list = append(list, resp)
	}
	trace := &Trace{}
	_, _, res := doAndReadBody(t, tr, Attempt{Address: address, Trace: trace})
	if res.Kind != attempt.Canceled || !res.NotSent || !errors.Is(trace.Err, ErrTooManyConnections) {
		t.Fatalf("%+v %+v", res, trace)
	}
	for _, resp := range list {
		_, _ = io.ReadAll(resp.Body)
		resp.Finish()
	}
	if _, _, res = doAndReadBody(t, tr, Attempt{Address: address, NewConnection: true}); res.Kind != attempt.Answered {
		t.Fatalf("no idle connection was replaced: %+v", res)
	}
	if s := tr.PoolStats(); s.Open != 2 {
		t.Fatalf("%+v", s)
	}
}

// TestIdleConnectionClosedByTarget guards against sending a request on a connection
// that the target closed while it was idle.
func TestIdleConnectionClosedByTarget(t *testing.T) {
	var closed sync.WaitGroup
	closed.Add(1)
	address := serveTCP(t, func(n int, c net.Conn) {
		if n == 0 {
			_ = respondWithPath(bufio.NewReader(c), c)
			c.Close()
			closed.Done()
			return
		}
		respondAll(n, c)
	})
	tr := newTransport(t, nil)
	addIdleConns(t, tr, address, 1)
	closed.Wait()
	if _, body, res := doAndReadBody(t, tr, Attempt{Address: address, Method: "POST"}); body != "/" || !res.FreshConnection {
		t.Fatalf("%q %+v", body, res)
	}
}
