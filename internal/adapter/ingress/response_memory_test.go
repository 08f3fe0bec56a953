package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// endlessBody starts a target that sends n bytes of a body at once and then one byte at a
// time until the connection is closed. reached counts the requests at that point.
func endlessBody(t *testing.T, head string, n int, reached *atomic.Int64) *rawTarget {
	return newRawTarget(t, func(_ int, c net.Conn, r *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s\r\n", r.Header.Get("X-Id"), head)
		for sent := 0; sent < n && err == nil; sent += 64 << 10 {
			_, err = io.WriteString(c, strings.Repeat("x", 64<<10))
		}
		for reached.Add(1); err == nil; time.Sleep(20 * time.Millisecond) {
			_, err = io.WriteString(c, "x")
		}
		return false
	})
}

// TestMemoryOfEndlessBodies guards against a host that keeps the bodies of many endless
// responses until it exceeds its memory and is killed with the requests of all callers.
func TestMemoryOfEndlessBodies(t *testing.T) {
	const (
		callers   = 48
		bodyBytes = 3 << 20
		budget    = 8 << 20
		// allowed is what each request may hold besides: both buffers of its connections,
		// its goroutines, and what is held without the budget.
		allowed = 128 << 10
	)
	for name, head := range map[string]string{
		"declared length": "Content-Length: 1000000000\r\n",
		"until close":     "Connection: close\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var reached atomic.Int64
			endless := endlessBody(t, head, bodyBytes, &reached)
			h := newTestHostWith(t, func(o *hostOptions) {
				o.ResponseBufferBytes = budget
				o.Dialect = dialect.Native()
				o.Dialect.AllowCloseDelimited = true
				o.target.Dialect = o.Dialect
			}, callers, endless.address)
			h.ActiveConfig().Backends["s"].Classes["order"].MaxBufferedAnswerBytes = document.Size(4 << 20)
			ctx, cancel := context.WithCancel(t.Context())
			before := heapInUse()
			var running sync.WaitGroup
			for range callers {
				running.Go(func() {
					req, _ := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/order", strings.NewReader("body"))
					if res, err := h.client.Do(req); err == nil {
						_, _ = io.Copy(io.Discard, res.Body)
						res.Body.Close()
					}
				})
			}
			waitFor(t, "the responses have not arrived", func() bool { return reached.Load() == callers })
			time.Sleep(300 * time.Millisecond)
			if grown := heapInUse() - before; grown > budget+callers*allowed {
				t.Errorf("%d endless responses take %d KiB, want at most %d", callers, grown>>10, (budget+callers*allowed)>>10)
			}
			cancel()
			running.Wait()
			h.awaitIdle(t)
			waitFor(t, "the budget was not given back", func() bool { return h.buffers.used.Load() == 0 })
		})
	}
}

// heapInUse returns the size of the allocated heap after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestResponsesWithinBudget guards against a budget that spoils sound responses: while
// endless ones take all of it, others are still complete, and rejections prove that their
// request did not run.
func TestResponsesWithinBudget(t *testing.T) {
	var reached atomic.Int64
	endless := endlessBody(t, "Content-Length: 1000000000\r\n", 1<<20, &reached)
	body := strings.Repeat("y", 700<<10)
	sound := newRawTarget(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	})
	rejecting := newRawTarget(t, respondAlways("HTTP/1.1 503 Full\r\nContent-Length: 2\r\n\r\nno"))
	start := func(address string) *testHost {
		h := newTestHostWith(t, func(o *hostOptions) { o.ResponseBufferBytes = 256 << 10 }, 64, address)
		h.ActiveConfig().Backends["s"].Classes["order"].MaxBufferedAnswerBytes = document.Size(4 << 20)
		return h
	}
	h := start(endless.address)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range 8 {
		go func() {
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, h.url+"/order", strings.NewReader("body"))
			if res, err := h.client.Do(req); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				res.Body.Close()
			}
		}()
	}
	waitFor(t, "the responses have not arrived", func() bool { return reached.Load() == 8 })
	for _, address := range []string{sound.address, rejecting.address} {
		other := start(address)
		other.buffers = h.buffers
		if address == rejecting.address {
			other.expect(t, http.StatusServiceUnavailable, OutcomeNotRun, http.MethodPost, "/order", "body")
			continue
		}
		if r := other.expect(t, http.StatusOK, OutcomeAnswered, http.MethodPost, "/order", "body"); r.body != body {
			t.Errorf("a body of %d bytes arrived as %d", len(body), len(r.body))
		}
	}
}
