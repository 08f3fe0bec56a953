package standin

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// LinkFaults are the faults of a FaultLink that last until they are replaced.
type LinkFaults struct {
	// Delay holds back each chunk of data, in both directions.
	Delay time.Duration
	// BlockForward and BlockReverse hold back all data to the server, or from it, until the
	// fault ends, like a link that is cut in one direction.
	BlockForward, BlockReverse bool
	// Refuse resets new connections.
	Refuse bool
}

// FaultLink is a TCP proxy on loopback whose connections can be delayed, cut, silenced and reset.
// It passes on the ends of connections: a reset as a reset, and a close as a close. It is safe for
// concurrent use.
type FaultLink struct {
	listener net.Listener

	mu sync.Mutex
	// server is the address of the server.
	server  string
	faults  LinkFaults
	changed chan struct{}
	conns   map[*faultConn]struct{}
}

// faultConn is a proxied connection.
type faultConn struct {
	client, server *net.TCPConn
	// silenced is set once data is no longer forwarded; it is guarded by FaultLink.mu.
	silenced bool
	closed   chan struct{}
	once     sync.Once
}

// close closes both connections.
func (c *faultConn) close() {
	c.once.Do(func() {
		close(c.closed)
		c.client.Close()
		c.server.Close()
	})
}

// reset closes both connections so that both ends see a reset.
func (c *faultConn) reset() {
	_ = c.client.SetLinger(0)
	_ = c.server.SetLinger(0)
	c.close()
}

// NewFaultLink starts a proxy on a free loopback address to the address of a server.
func NewFaultLink(server string) (*FaultLink, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	listener, err := Listen(address)
	if err != nil {
		return nil, err
	}
	l := &FaultLink{listener: listener, server: server, changed: make(chan struct{}), conns: map[*faultConn]struct{}{}}
	go l.accept()
	return l, nil
}

// Address returns the address on which the proxy listens.
func (l *FaultLink) Address() string { return l.listener.Addr().String() }

// SetServer makes the proxy connect new connections to another server.
func (l *FaultLink) SetServer(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.server = address
}

// SetFaults replaces the lasting faults.
func (l *FaultLink) SetFaults(f LinkFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Silence stops forwarding on the open connections for good, without closing them. Connections
// opened later are not affected.
func (l *FaultLink) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silenced = true
	}
}

// Reset resets the open connections.
func (l *FaultLink) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.reset()
	}
}

// Close stops the proxy and resets its connections.
func (l *FaultLink) Close() {
	l.listener.Close()
	l.Reset()
}

func (l *FaultLink) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.proxy(client.(*net.TCPConn))
	}
}

func (l *FaultLink) proxy(client *net.TCPConn) {
	l.mu.Lock()
	refuse, address := l.faults.Refuse, l.server
	l.mu.Unlock()
	server, err := net.Dial("tcp", address)
	if refuse || err != nil {
		_ = client.SetLinger(0)
		client.Close()
		if err == nil {
			server.Close()
		}
		return
	}
	c := &faultConn{client: client, server: server.(*net.TCPConn), closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { l.forward(c, c.client, c.server, true) })
	copies.Go(func() { l.forward(c, c.server, c.client, false) })
	copies.Wait()
	c.close()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// forward copies one direction of a connection until it ends.
func (l *FaultLink) forward(c *faultConn, from, to *net.TCPConn, toServer bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, readErr := from.Read(buffer)
		if !l.waitToForward(c, toServer) {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				c.reset()
				return
			}
		}
		switch {
		case errors.Is(readErr, io.EOF):
			_ = to.CloseWrite()
			return
		case readErr != nil:
			c.reset()
			return
		}
	}
}

// waitToForward applies the lasting faults to a chunk. It returns false if the connection is
// silenced or closed.
func (l *FaultLink) waitToForward(c *faultConn, toServer bool) bool {
	for {
		l.mu.Lock()
		faults, changed, silenced := l.faults, l.changed, c.silenced
		l.mu.Unlock()
		if silenced {
			return false
		}
		if blocked := toServer && faults.BlockForward || !toServer && faults.BlockReverse; !blocked {
			time.Sleep(faults.Delay)
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}
