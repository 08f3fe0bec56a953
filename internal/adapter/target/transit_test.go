//go:build linux

package target

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
)

// newLimitedTransport returns a transport with bounded buffers and a budget with room for the
// given bytes of Transit.
func newLimitedTransport(t *testing.T, room int64) *Transport {
	return newTransport(t, func(c *Config) {
		c.SendBuffer, c.BodySendBuffer, c.ReceiveBuffer = 16<<10, 128<<10, 64<<10
		c.Memory = membudget.New(membudget.Config{Size: 1 << 30, Max: [membudget.NumClasses]int64{membudget.Transit: room}})
	})
}

func transitOf(tr *Transport) int64 { return tr.cfg.Memory.Status().Used[membudget.Transit] }

// serveSmallWindow is serveTCP for a target that takes few bytes without reading them, so that
// the others stay with the sender.
func serveSmallWindow(t *testing.T, handle func(c net.Conn)) (address string) {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return setBuffers(raw, 0, 4<<10) }}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveListener(t, l, func(_ int, c net.Conn) { handle(c) })
}

// TestTransitIsBounded guards against bodies that are sent to a target which reads nothing and
// lie in the kernel's buffers beyond the budget, and against a reservation that is kept after
// the end of the attempt.
func TestTransitIsBounded(t *testing.T) {
	const uploads, body, room = 8, 4 << 20, 512 << 10
	address := serveSmallWindow(t, func(net.Conn) {
		<-t.Context().Done()
	})
	tr := newLimitedTransport(t, room)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan Trace, uploads)
	for range uploads {
		go func() {
			var trace Trace
			tr.Do(ctx, Attempt{Address: address, Method: "POST", URI: "/", Body: bytes.NewReader(make([]byte, body)), ContentLength: body, Trace: &trace})
			ended <- trace
		}()
	}
	for end := time.Now().Add(testTimeout); transitOf(tr) < room && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	// The writers fill the buffers meanwhile.
	time.Sleep(300 * time.Millisecond)
	if used := transitOf(tr); used != room {
		t.Errorf("%d bytes are reserved, want %d", used, room)
	}
	cancel()
	var written int64
	for range uploads {
		trace := <-ended
		written += trace.BytesWritten
	}
	// Two uploads have a large buffer; the others have 32 KiB each, and a target takes some KiB.
	if limit := int64(room + uploads*64<<10); written > limit {
		t.Errorf("%d KiB were written to targets that read nothing, want at most %d", written>>10, limit>>10)
	}
	if used := transitOf(tr); used != 0 {
		t.Errorf("%d bytes are reserved after the end of all attempts", used)
	}
}

// TestBodyWithoutTransit guards against an upload that waits or fails because the budget has no
// room for a larger buffer, and against connections that keep a reservation when they are idle.
func TestBodyWithoutTransit(t *testing.T) {
	const size = 2 << 20
	address := serveTCP(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if n, _ := io.Copy(io.Discard, req.Body); n != size {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	for _, room := range []int64{1, 1 << 20} {
		tr := newLimitedTransport(t, room)
		for range 3 {
			_, body, res := doAndReadBody(t, tr, Attempt{Address: address, Method: "POST", Body: bytes.NewReader(make([]byte, size)), ContentLength: size, Idempotent: true})
			if body != "ok" || res.Kind != attempt.Answered {
				t.Fatalf("room for %d bytes: %q %+v", room, body, res)
			}
			if used := transitOf(tr); used != 0 {
				t.Errorf("room for %d bytes: %d are reserved after the response", room, used)
			}
		}
		if s := tr.PoolStats(); s.Dials != 1 {
			t.Errorf("room for %d bytes: %+v", room, s)
		}
	}
}

// TestFailedAttemptLeavesNothingUnsent guards against connections of failed attempts whose bytes
// the kernel keeps, and against discarding those of a request that was answered with success.
func TestFailedAttemptLeavesNothingUnsent(t *testing.T) {
	const size = 24 << 10
	read := make(chan error, 1)
	address := serveSmallWindow(t, func(c net.Conn) {
		head := make([]byte, 64)
		_, _ = io.ReadFull(c, head)
		if bytes.Contains(head, []byte("/early")) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
		}
		// By now the attempt has ended, and its connection is closed.
		time.Sleep(500 * time.Millisecond)
		_, err := io.Copy(io.Discard, c)
		read <- err
	})
	for path, wantReset := range map[string]bool{"/silent": true, "/early": false} {
		tr := newLimitedTransport(t, 1<<20)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		body := make([]byte, size)
		resp, _ := tr.Do(ctx, Attempt{Address: address, Method: "POST", URI: path, Body: bytes.NewReader(body), ContentLength: size, Header: http.Header{"A": {string(bytes.Repeat([]byte("a"), 8<<10))}}})
		if resp != nil {
			_, _ = io.ReadAll(resp.Body)
			resp.Finish()
		}
		if (resp == nil) != wantReset {
			t.Fatalf("%s: response %+v", path, resp)
		}
		err := <-read
		cancel()
		if reset := err != nil; reset != wantReset {
			t.Errorf("%s: the target read the rest with %v, want a reset: %t", path, err, wantReset)
		}
	}
}

// TestBuffersAreSetBeforeConnect guards against a buffer that is set after the connection was
// opened, when the peer has already learned of a larger window.
func TestBuffersAreSetBeforeConnect(t *testing.T) {
	address := serveTCP(t, func(_ int, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	tr := newLimitedTransport(t, 1<<20)
	nc, err := tr.pool.dialer()(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	_ = raw.Control(func(fd uintptr) {
		for option, want := range map[int]int{syscall.SO_SNDBUF: 2 * tr.cfg.SendBuffer, syscall.SO_RCVBUF: 2 * tr.cfg.ReceiveBuffer} {
			if got, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, option); err != nil || got != want {
				t.Errorf("option %d is %d (%v), want %d", option, got, err, want)
			}
		}
	})
}

// sendBufferOf returns the size of the kernel's buffer for sent bytes, as the kernel states it: twice what
// was set.
func sendBufferOf(t *testing.T, nc net.Conn) (size int) {
	t.Helper()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if controlErr := raw.Control(func(fd uintptr) { size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF) }); controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	return size
}

// TestKeptReservationGrows guards against a large body that is sent through a large buffer for which the
// budget holds only the bytes of an earlier, smaller body: the connection kept its reservation because its
// target had not taken all of that one.
func TestKeptReservationGrows(t *testing.T) {
	const held, size = 20 << 10, 4 << 20
	address := serveTCP(t, func(_ int, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	for room, want := range map[int64]struct{ transit, buffer int64 }{
		1 << 20: {256 << 10, 256 << 10},
		held:    {held, 32 << 10},
	} {
		tr := newLimitedTransport(t, room)
		nc, err := tr.pool.dialer()(t.Context(), address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		x := &exchange{t: tr, c: &conn{Conn: nc}, a: &Attempt{Body: bytes.NewReader(nil), ContentLength: held}}
		x.enlargeSendBuffer()
		x.a.ContentLength = size
		x.enlargeSendBuffer()
		if x.c.transit != want.transit || transitOf(tr) != want.transit || int64(sendBufferOf(t, nc)) != want.buffer {
			t.Errorf("room for %d bytes: %d and %d are reserved, the buffer has %d, want %+v", room, x.c.transit, transitOf(tr), sendBufferOf(t, nc), want)
		}
	}
}

// TestKernelChoosesSendBuffer guards against a connection whose send buffer has the least size that the
// kernel allows, because a size of 0 was set after a large body.
func TestKernelChoosesSendBuffer(t *testing.T) {
	address := serveTCP(t, func(_ int, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	tr := newLimitedTransport(t, 1<<20)
	tr.cfg.SendBuffer, tr.pool.cfg.SendBuffer = 0, 0
	nc, err := tr.pool.dialer()(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	before := sendBufferOf(t, nc)
	x := &exchange{t: tr, c: &conn{Conn: nc}, a: &Attempt{Body: bytes.NewReader(nil), ContentLength: 4 << 20}}
	x.enlargeSendBuffer()
	tr.pool.shrinkSendBuffer(x.c)
	if after := sendBufferOf(t, nc); after < before {
		t.Errorf("the buffer has %d bytes after a large body, %d before", after, before)
	}
}

// TestLongResponseTakesMemory guards against a reservation for the kernel's receive buffer that outlasts its
// response, and against a response that does not arrive through a small buffer.
func TestLongResponseTakesMemory(t *testing.T) {
	const body = 256 << 10
	address := serveTCP(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			if _, err := c.Write(append([]byte("HTTP/1.1 200 OK\r\nContent-Length: 262144\r\n\r\n"), make([]byte, body)...)); err != nil {
				return
			}
		}
	})
	for _, room := range []int64{1 << 20, 0} {
		tr := newTransport(t, func(c *Config) {
			c.SendBuffer, c.ReceiveBuffer, c.BodyReceiveBuffer = 16<<10, 32<<10, 64<<10
			c.Memory = membudget.New(membudget.Config{Size: 1 << 30, Max: [membudget.NumClasses]int64{membudget.Transit: max(1, room)}})
		})
		for range 2 {
			response, result := tr.Do(t.Context(), Attempt{Address: address, Method: "GET", URI: "/"})
			if response == nil {
				t.Fatalf("no response: %+v", result)
			}
			response.NarrowBuffer()
			if used, reserved := transitOf(tr), room > 0; reserved != (used > 0) {
				t.Errorf("with room for %d bytes, %d are reserved", room, used)
			}
			if n, err := io.Copy(io.Discard, response.Body); n != body || err != nil {
				t.Fatalf("read %d bytes, %v", n, err)
			}
			response.Finish()
			if used := transitOf(tr); used != 0 {
				t.Errorf("%d bytes are reserved after the response", used)
			}
		}
	}
}
