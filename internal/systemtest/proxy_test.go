//go:build linux

package systemtest

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/standin"
)

// proxy forwards TCP connections and UDP datagrams to a process, so that a test
// can simulate a network partition.
type proxy struct {
	address, upstream string
	// drop reports whether datagrams from the source address are dropped.
	drop    func(source string) bool
	dropped atomic.Int64

	udp net.PacketConn
	tcp *standin.FaultLink
}

func newProxy(t testing.TB, upstream string) *proxy {
	t.Helper()
	link, err := standin.NewFaultLink(upstream)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	p := &proxy{address: link.Address(), upstream: upstream, drop: func(string) bool { return false }, tcp: link}
	if p.udp, err = net.ListenPacket("udp", p.address); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { p.udp.Close() })
	return p
}

// setTCPBlocked blocks or restores TCP. Blocking resets the open connections and all new ones.
func (p *proxy) setTCPBlocked(blocked bool) {
	p.tcp.SetFaults(standin.LinkFaults{Refuse: blocked})
	if blocked {
		p.tcp.Reset()
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
