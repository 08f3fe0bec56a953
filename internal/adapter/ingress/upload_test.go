package ingress

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// TestUploadRefusedEarly checks that an upload is rejected before its body is
// requested or read if no slot is available.
func TestUploadRefusedEarly(t *testing.T) {
	handle, started, _ := silentHandler()
	h := newTestHostWith(t, func(o *hostOptions) { o.dispatch.QueueLength = -1 }, 1, newRawTarget(t, handle).address)
	go h.send(t.Context(), "POST", "/order", "x")
	<-started
	for _, framing := range []string{
		"Content-Length: 1000000\r\nExpect: 100-continue", "Content-Length: 1000", "Transfer-Encoding: chunked",
	} {
		_, br := h.dial(t, "POST /upload HTTP/1.1\r\nHost: h\r\n"+framing+"\r\n\r\n")
		if res := expectRaw(t, br, 503, OutcomeNotRun); !res.Close || res.Header.Get("Retry-After") == "" {
			t.Fatalf("%s: %+v", framing, res)
		}
		if _, err := io.ReadAll(br); err != nil {
			t.Fatal("the connection is not closed:", err)
		}
	}
}

// TestSlowUploadLosesSlot checks that an upload whose caller sends no data does not
// keep its slot.
func TestSlowUploadLosesSlot(t *testing.T) {
	rt := newRawTarget(t, respondAlways(""))
	h := newTestHostWith(t, func(o *hostOptions) { o.target.SlowCallerGrace = 50 * time.Millisecond }, 1, rt.address)
	_, br := h.dial(t, "POST /scan HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nx")
	expectRaw(t, br, 504, OutcomeUnknown)
	h.awaitIdle(t)
}

// TestUploadIsNotRetried checks that an upload whose body was partly read is not
// retried: the other target would receive only the rest.
func TestUploadIsNotRetried(t *testing.T) {
	closeMidBody := func(_ int, _ net.Conn, r *http.Request) bool {
		_, _ = io.ReadFull(r.Body, make([]byte, 100))
		return false
	}
	a, b := newRawTarget(t, closeMidBody), newRawTarget(t, closeMidBody)
	h := newTestHost(t, 4, a.address, b.address)
	r := h.send(t.Context(), "POST", "/scan", strings.Repeat("x", 1<<20), "X-Key", "k")
	if n := a.count("k") + b.count("k"); n != 1 || r.err == nil && r.outcome != OutcomeUnknown {
		t.Fatalf("sent %d times: %+v", n, r)
	}
	h.awaitIdle(t)
}

// endlessReader is an endless stream of unspecified bytes: Read leaves p unchanged.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// maxUploadHeap is the maximum heap growth during one upload: the buffers of
// caller, host and target together. It is far above the measured value, which the
// test logs.
const maxUploadHeap = 16 << 20

// TestUploadMemory checks that an upload is not buffered in memory. Caller, host
// and target run in one process.
func TestUploadMemory(t *testing.T) {
	const size = 256 << 20
	var received int64
	rt := newRawTarget(t, func(_ int, c net.Conn, r *http.Request) bool {
		received, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, okResponse)
		return true
	})
	h := newTestHost(t, 4, rt.address)
	runtime.GC()
	var start, now runtime.MemStats
	runtime.ReadMemStats(&start)
	req, err := http.NewRequest("POST", h.url+"/upload", io.LimitReader(endlessReader{}, size))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		res, err := h.client.Do(req)
		if err == nil {
			res.Body.Close()
		}
		done <- err
	}()
	peak := uint64(0)
	for sampling := true; sampling; {
		select {
		case err := <-done:
			if err != nil {
				t.Fatal(err)
			}
			sampling = false
		case <-time.After(5 * time.Millisecond):
		}
		runtime.ReadMemStats(&now)
		peak = max(peak, now.HeapAlloc)
	}
	t.Logf("%d MiB uploaded; heap peak %d KiB above the initial size", received>>20, (peak-min(peak, start.HeapAlloc))>>10)
	if received != size || peak > start.HeapAlloc+maxUploadHeap {
		t.Fatalf("%d bytes received, heap from %d to %d", received, start.HeapAlloc, peak)
	}
}
