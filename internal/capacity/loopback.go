package capacity

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/peer"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// testIdentity is the identity of both ends of a measured connection.
type testIdentity struct{}

func (testIdentity) Sender() port.Sender {
	return port.Sender{Host: hostID(0), Incarnation: ident.Incarnation(epoch.UnixMicro())}
}
func (testIdentity) Stamp() event.Stamp {
	return event.Stamp{WallMicros: epoch.UnixMicro(), Logical: 1}
}
func (testIdentity) Observe(event.Stamp) {}

// echoHandler answers evidence with the same evidence, as a host that serves the
// same services does.
type echoHandler struct{ port.PeerHandler }

func (echoHandler) Exchange(_ port.Sender, evidence []port.ServiceEvidence) []port.ServiceEvidence {
	return evidence
}

func (echoHandler) Push(port.Sender, []revision.Record) int64 { return 1 }

// countingListener counts the bytes of all connections in both directions.
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

// peerPair is a client and a server of the peer protocol on loopback.
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
	p := &peerPair{listener: &countingListener{Listener: lis}, client: peer.NewClient(testIdentity{}), stop: stop, done: make(chan error, 1)}
	go func() { p.done <- peer.Serve(ctx, p.listener, testIdentity{}, echoHandler{}) }()
	return p, nil
}

func (p *peerPair) close() {
	p.client.Close()
	p.stop()
	<-p.done
}

func (p *peerPair) address() string { return p.listener.Addr().String() }

// settleTime is the time for the end of a call to arrive, which is not part of
// the call's result.
const settleTime = 20 * time.Millisecond

// bytesOf returns the bytes of one call in both directions on a connection that
// is already open.
func (p *peerPair) bytesOf(call func() error) (float64, error) {
	const calls = 10
	var before int64
	for i := range calls + 1 {
		if err := call(); err != nil {
			return 0, err
		}
		if i == 0 {
			time.Sleep(settleTime)
			before = p.listener.bytes.Load()
		}
	}
	time.Sleep(settleTime)
	return float64(p.listener.bytes.Load()-before) / calls, nil
}
