package standin

import (
	"bytes"
	"crypto/rand"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

const testTimeout = 20 * time.Second

// dialEcho opens a connection through a link to an echo server.
func dialEcho(t *testing.T, link *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

func newEchoLink(t *testing.T, cfg LinkConfig) *Link {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	link, err := NewLink(l.Addr().String(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		link.Close()
		l.Close()
	})
	return link
}

// TestLinkPreservesData guards against a link that corrupts, loses or reorders
// bytes, which would invalidate the tests that use it.
func TestLinkPreservesData(t *testing.T) {
	c := dialEcho(t, newEchoLink(t, LinkConfig{BytesPerSecond: 100 << 20, Delay: time.Millisecond, QueueBytes: 64 << 10}))
	want := make([]byte, 1<<20)
	_, _ = rand.Read(want)
	go func() {
		_, _ = c.Write(want)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	if got, err := io.ReadAll(c); err != nil || !bytes.Equal(got, want) {
		t.Fatalf("%d bytes, %v", len(got), err)
	}
}

// TestStallConnections guards against stalled connections that still forward
// data or are closed, and against new connections that are stalled too.
func TestStallConnections(t *testing.T) {
	link := newEchoLink(t, LinkConfig{})
	echo := func(c net.Conn) error {
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	stalled := dialEcho(t, link)
	if err := echo(stalled); err != nil {
		t.Fatal(err)
	}
	link.StallConnections()
	_ = stalled.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	var timeout net.Error
	if err := echo(stalled); err == nil {
		t.Fatal("a stalled connection forwards data")
	} else if timeout, _ = err.(net.Error); timeout == nil || !timeout.Timeout() {
		t.Fatal("a stalled connection was closed:", err)
	}
	if err := echo(dialEcho(t, link)); err != nil {
		t.Fatal(err)
	}
}

// TestTransmit guards against a link that exceeds its configured bandwidth or
// whose queue is unbounded.
func TestTransmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := LinkConfig{BytesPerSecond: 1000, QueueBytes: 500}
		var queue sendQueue
		start := time.Now()
		for range 10 {
			queue.transmit(1000, cfg)
		}
		if sent, now := queue.busyUntil.Sub(start), time.Since(start); sent != 10*time.Second || now != 8500*time.Millisecond {
			t.Fatalf("sent after %s, queued after %s", sent, now)
		}
	})
}
