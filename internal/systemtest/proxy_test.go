//go:build linux

package systemtest

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
)

// proxy forwards TCP connections and UDP datagrams to a process, so that a test
// can simulate a network partition.
type proxy struct {
	t                 testing.TB
	address, upstream string
	// drop reports whether datagrams from the source address are dropped.
	drop    func(source string) bool
	dropped atomic.Int64

	udp net.PacketConn

	mu    sync.Mutex
	tcp   net.Listener
	conns []net.Conn
}

func newProxy(t testing.TB, upstream string) *proxy {
	t.Helper()
	p := &proxy{t: t, address: freeAddress(t), upstream: upstream, drop: func(string) bool { return false }}
	var err error
	if p.udp, err = net.ListenPacket("udp", p.address); err != nil {
		t.Fatal(err)
	}
	p.setTCPBlocked(false)
	t.Cleanup(func() {
		p.setTCPBlocked(true)
		p.udp.Close()
	})
	return p
}

// setTCPBlocked blocks or restores TCP. Blocking closes the listener and the open
// connections.
func (p *proxy) setTCPBlocked(blocked bool) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !blocked {
		listener, err := net.Listen("tcp", p.address)
		if err != nil {
			p.t.Fatal(err)
		}
		p.tcp = listener
		go p.accept(listener)
		return
	}
	p.tcp.Close()
	for _, c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

func (p *proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.upstream)
		if err != nil {
			client.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, client, server)
		p.mu.Unlock()
		for _, pair := range [][2]net.Conn{{client, server}, {server, client}} {
			go func() {
				_, _ = io.Copy(pair[0], pair[1])
				pair[0].Close()
				pair[1].Close()
			}()
		}
	}
}

// forwardDatagrams forwards datagrams to the process. Replies go to the address
// in the message, not to the source address of the datagram, so no reverse
// direction is needed.
func (p *proxy) forwardDatagrams() {
	upstream, err := net.ResolveUDPAddr("udp", p.upstream)
	if err != nil {
		return
	}
	buffer := make([]byte, 2048)
	for {
		n, source, err := p.udp.ReadFrom(buffer)
		if err != nil {
			return
		}
		if p.drop(source.String()) {
			p.dropped.Add(1)
			continue
		}
		_, _ = p.udp.WriteTo(buffer[:n], upstream)
	}
}
