package capacity

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/peer"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// loopbackIdentity is the identity of both ends of a measured connection.
type loopbackIdentity struct{}

func (loopbackIdentity) Sender() port.Sender {
	return port.Sender{Host: hostID(0), Incarnation: ident.Incarnation(epoch.UnixMicro())}
}
func (loopbackIdentity) Stamp() event.Stamp {
	return event.Stamp{WallMicros: epoch.UnixMicro(), Logical: 1}
}
func (loopbackIdentity) Observe(event.Stamp) {}

// echoHandler returns the received evidence, so that the response is as large as one
// of a host that serves the same services.
type echoHandler struct{ port.PeerHandler }

func (echoHandler) Exchange(_ port.Sender, evidence []port.ServiceEvidence) []port.ServiceEvidence {
	return evidence
}

func (echoHandler) Push(port.Sender, []revision.Record) int64 { return 1 }

// countingListener counts the bytes sent and received on all connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// peerPair is a client and a server of the peer protocol that are connected over
// loopback.
type peerPair struct {
	listener *countingListener
	client   *peer.Client
	stop     context.CancelFunc
	done     chan error
}

func newPeerPair() (*peerPair, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &peerPair{listener: &countingListener{Listener: lis}, client: peer.NewClient(loopbackIdentity{}), stop: stop, done: make(chan error, 1)}
	go func() {
		p.done <- peer.Serve(ctx, p.listener, loopbackIdentity{}, echoHandler{}, logrus.StandardLogger())
	}()
	return p, nil
}

func (p *peerPair) close() {
	p.client.Close()
	p.stop()
	<-p.done
}

func (p *peerPair) address() string { return p.listener.Addr().String() }

// callEndDelay is the time to wait for the final bytes of a call, which arrive after
// the call has returned.
const callEndDelay = 20 * time.Millisecond

// bytesPerCall returns the bytes that one call sends and receives on an open
// connection.
func (p *peerPair) bytesPerCall(call func() error) (float64, error) {
	const calls = 10
	var before int64
	for i := range calls + 1 {
		if err := call(); err != nil {
			return 0, err
		}
		if i == 0 {
			time.Sleep(callEndDelay)
			before = p.listener.bytes.Load()
		}
	}
	time.Sleep(callEndDelay)
	return float64(p.listener.bytes.Load()-before) / calls, nil
}
