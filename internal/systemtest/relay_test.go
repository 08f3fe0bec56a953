//go:build linux

package systemtest

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// relay passes TCP connections and UDP datagrams on to a process, so that a
// test can cut the way to it.
type relay struct {
	t           testing.TB
	address, to string
	// drop returns true for the source of a datagram that is dropped.
	drop    func(source string) bool
	dropped atomic.Int64

	udp net.PacketConn

	mu    sync.Mutex
	tcp   net.Listener
	conns []net.Conn
}

func newRelay(t testing.TB, to string) *relay {
	t.Helper()
	r := &relay{t: t, address: freeAddress(t), to: to, drop: func(string) bool { return false }}
	var err error
	if r.udp, err = net.ListenPacket("udp", r.address); err != nil {
		t.Fatal(err)
	}
	r.setCut(false)
	t.Cleanup(func() {
		r.setCut(true)
		r.udp.Close()
	})
	return r
}

// setCut cuts the way for TCP, also open connections, or restores it.
func (r *relay) setCut(on bool) {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !on {
		lis, err := net.Listen("tcp", r.address)
		if err != nil {
			r.t.Fatal(err)
		}
		r.tcp = lis
		go r.accept(lis)
		return
	}
	r.tcp.Close()
	for _, c := range r.conns {
		c.Close()
	}
	r.conns = nil
}

func (r *relay) accept(lis net.Listener) {
	for {
		in, err := lis.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			in.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, in, out)
		r.mu.Unlock()
		for _, way := range [][2]net.Conn{{in, out}, {out, in}} {
			go func() {
				_, _ = io.Copy(way[0], way[1])
				way[0].Close()
				way[1].Close()
			}()
		}
	}
}

// passDatagrams passes datagrams on. Replies go to the address that a message
// names, not to its source, so one direction is enough.
func (r *relay) passDatagrams() {
	to, err := net.ResolveUDPAddr("udp", r.to)
	if err != nil {
		return
	}
	buffer := make([]byte, 2048)
	for {
		n, source, err := r.udp.ReadFrom(buffer)
		if err != nil {
			return
		}
		if r.drop(source.String()) {
			r.dropped.Add(1)
			continue
		}
		_, _ = r.udp.WriteTo(buffer[:n], to)
	}
}
