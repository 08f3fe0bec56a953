//go:build linux

package systemtest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/platform"
)

// otherClient is an address of clients that is not the one of ordinary requests.
const otherClient = "127.0.0.2"

// keepClients starts clients of another address that call serve on a new connection as soon as the one before
// has ended, until the end of the test. They are not waited for by check.
func keepClients(t *testing.T, count int, address string, serve func(net.Conn)) {
	t.Helper()
	keepClientsOf(t, count, address, func(int) net.IP { return net.ParseIP(otherClient) }, serve)
}

// keepClientsOf is keepClients with an address for each client.
func keepClientsOf(t *testing.T, count int, address string, addressOf func(client int) net.IP, serve func(net.Conn)) {
	t.Helper()
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range count {
		dialer := net.Dialer{Timeout: clientWriteTime, LocalAddr: &net.TCPAddr{IP: addressOf(i)}}
		running.Go(func() {
			for {
				if conn, err := dialer.Dial("tcp", address); err == nil {
					ended := make(chan struct{})
					go func() {
						select {
						case <-stop:
						case <-ended:
						}
						conn.Close()
					}()
					serve(conn)
					close(ended)
				}
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
		})
	}
	t.Cleanup(func() {
		close(stop)
		running.Wait()
	})
}

// TestClientsWithSlowBodies guards against a host whose connections are all held by clients that send a
// body byte by byte and come back when they are refused, so that no ordinary caller gets one.
func TestClientsWithSlowBodies(t *testing.T) {
	c := newClientGroup(t)
	c.store.PutConfiguration(3, 15*time.Second, groupRoutes(10*time.Minute)...)
	time.Sleep(settleTime)
	keepClients(t, 400, c.host.Caller, sendSlowly)
	time.Sleep(settleTime)
	c.check(t)
}

// sendSlowly sends a body byte by byte.
func sendSlowly(conn net.Conn) {
	if announce(conn, "/upload/1", 4<<10, "") != nil {
		return
	}
	for {
		time.Sleep(250 * time.Millisecond)
		if _, err := conn.Write([]byte("a")); err != nil {
			return
		}
	}
}

// TestClientsWithSlowBodiesOfManyAddresses guards against the same with clients that each have an address and one
// connection.
func TestClientsWithSlowBodiesOfManyAddresses(t *testing.T) {
	c := newClientGroup(t)
	c.store.PutConfiguration(3, 15*time.Second, groupRoutes(10*time.Minute)...)
	time.Sleep(settleTime)
	keepClientsOf(t, 240, c.host.Caller, func(i int) net.IP { return net.IPv4(127, 0, 1, byte(i+1)) }, sendSlowly)
	time.Sleep(settleTime)
	c.check(t)
}

// readSlowly reads small parts without a pause that would be noticed.
func readSlowly(conn io.Reader) {
	part := make([]byte, 4<<10)
	for {
		if _, err := io.ReadFull(conn, part); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestClientsThatReadSlowly guards against a host whose memory is exceeded by what the kernel holds of
// responses, toward many callers that read slowly and never stop, and from the target.
func TestClientsThatReadSlowly(t *testing.T) {
	c := newLimitedGroup(t, denseMemoryMb, denseMaxFds)
	result := c.watchTotal(t, c.target.Listener.Addr())
	keepClients(t, 700, c.host.Caller, func(conn net.Conn) {
		_ = conn.(*net.TCPConn).SetReadBuffer(clientReadBuffer)
		if sendAll(conn, head("/crowd/streamed", "Content-Length: 0\r\n\r\n")) == nil {
			readSlowly(conn)
		}
	})
	time.Sleep(5 * settleTime)
	c.checkTotal(t, result)
}

// TestClientsThatLeaveResponses guards against a host whose memory is exceeded by responses that fit into the
// kernel's buffers, so that the host has written them, and that callers leave there on idle connections.
func TestClientsThatLeaveResponses(t *testing.T) {
	c := newLimitedGroup(t, denseMemoryMb, denseMaxFds)
	result := c.watchTotal(t, c.target.Listener.Addr())
	for range 750 {
		c.client(func(w io.Writer) error { return sendAll(w, head("/crowd/medium", "Content-Length: 0\r\n\r\n")) })
	}
	c.checkTotal(t, result)
}

// TestClientsWithLongIDs guards against a host that keeps the IDs of refused requests, which callers choose,
// outside of its budget.
func TestClientsWithLongIDs(t *testing.T) {
	c := newClientGroup(t)
	id := strings.Repeat("x", 14<<10)
	for i := range 100 {
		c.client(func(w io.Writer) error {
			for n := range 200 {
				path := []string{"/none/1", "/lookup/1"}[n%2]
				request := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: none\r\n%s: %d-%d-%s\r\nContent-Length: 0\r\n\r\n", path, platform.Dialect().RequestID, i, n, id)
				if err := sendAll(w, request); err != nil {
					return err
				}
			}
			return nil
		})
	}
	c.check(t)
}
