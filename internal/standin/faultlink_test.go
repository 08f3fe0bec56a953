package standin

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// newFaultLinkPair returns the two ends of a connection over a link.
func newFaultLinkPair(t *testing.T) (link *FaultLink, client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	if link, err = NewFaultLink(listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	conn, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		conn.Close()
		accepted.Close()
	})
	client, server = conn.(*net.TCPConn), accepted.(*net.TCPConn)
	sendAndReceive(t, client, server)
	sendAndReceive(t, server, client)
	return link, client, server
}

func sendAndReceive(t *testing.T, from, to *net.TCPConn) {
	t.Helper()
	if _, err := from.Write([]byte("data")); err != nil {
		t.Fatal(err)
	}
	if got, err := receive(to, 10*time.Second); got != "data" || err != nil {
		t.Fatalf("received %q, %v", got, err)
	}
}

// receive reads once, for a limited time.
func receive(conn *net.TCPConn, timeout time.Duration) (string, error) {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	buffer := make([]byte, 16)
	n, err := conn.Read(buffer)
	return string(buffer[:n]), err
}

// wantNothing requires that no data arrives for a while.
func wantNothing(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	var timeout net.Error
	if got, err := receive(conn, 50*time.Millisecond); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Fatalf("received %q, %v, want nothing", got, err)
	}
}

// TestFaultLinkOneWay guards against a cut in one direction that also cuts the other, or loses data.
func TestFaultLinkOneWay(t *testing.T) {
	for _, forward := range []bool{true, false} {
		link, client, server := newFaultLinkPair(t)
		from, to := client, server
		if !forward {
			from, to = server, client
		}
		link.SetFaults(LinkFaults{BlockForward: forward, BlockReverse: !forward})
		sendAndReceive(t, to, from)
		if _, err := from.Write([]byte("held")); err != nil {
			t.Fatal(err)
		}
		wantNothing(t, to)
		link.SetFaults(LinkFaults{})
		if got, err := receive(to, 10*time.Second); got != "held" || err != nil {
			t.Errorf("after the cut, received %q, %v", got, err)
		}
	}
}

// TestFaultLinkSilence guards against a silenced connection that carries data or is closed.
func TestFaultLinkSilence(t *testing.T) {
	link, client, server := newFaultLinkPair(t)
	link.Silence()
	if _, err := client.Write([]byte("lost")); err != nil {
		t.Fatal(err)
	}
	wantNothing(t, server)
	wantNothing(t, client)
}

// TestFaultLinkEnds guards against a link that turns a reset into a close, or a close into a reset.
func TestFaultLinkEnds(t *testing.T) {
	_, client, server := newFaultLinkPair(t)
	server.Close()
	if got, err := receive(client, 10*time.Second); !errors.Is(err, io.EOF) {
		t.Errorf("after a close: %q, %v", got, err)
	}
	_, client, server = newFaultLinkPair(t)
	_ = server.SetLinger(0)
	server.Close()
	if got, err := receive(client, 10*time.Second); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: %q, %v", got, err)
	}
	link, client, server := newFaultLinkPair(t)
	link.Reset()
	for _, conn := range []*net.TCPConn{client, server} {
		if got, err := receive(conn, 10*time.Second); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("after the link's reset: %q, %v", got, err)
		}
	}
}

// TestFaultLinkDelay guards against a delayed link that delivers at once.
func TestFaultLinkDelay(t *testing.T) {
	const delay = 100 * time.Millisecond
	link, client, server := newFaultLinkPair(t)
	link.SetFaults(LinkFaults{Delay: delay})
	sentAt := time.Now()
	sendAndReceive(t, client, server)
	if took := time.Since(sentAt); took < delay {
		t.Errorf("delivered after %s, want %s or more", took, delay)
	}
}
