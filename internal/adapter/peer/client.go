package peer

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// Limits of connections to other hosts.
const (
	dialTimeout = time.Second
	callTimeout = 3 * time.Second
	// idleTimeout is how long an idle connection is kept. Evidence is exchanged about
	// every second, so connections to live hosts remain open.
	idleTimeout = 30 * time.Second
	// maxIdleConnections bounds the idle connections to all hosts, and
	// maxIdlePerHost those to one host.
	maxIdleConnections = 256
	maxIdlePerHost     = 4
	// maxSnapshotBytes bounds a snapshot; one with 70,000 routes has a few megabytes.
	maxSnapshotBytes = 128 << 20
)

// Client calls other hosts. It implements port.Peers and is safe for concurrent
// use. The connection of a failed call is closed, so that a late reply is not
// delivered to another call.
type Client struct {
	identity Identity
	pool     *drpcpool.Pool[string, drpcpool.Conn]
}

// NewClient returns a client. It opens connections when they are first needed.
func NewClient(identity Identity) *Client {
	return &Client{
		identity: identity,
		pool:     drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, Capacity: maxIdleConnections, KeyCapacity: maxIdlePerHost}),
	}
}

// Close closes all idle connections.
func (c *Client) Close() { _ = c.pool.Close() }

// conn returns a connection from the pool, which is dialed on its first call if
// necessary. A dial error is stored in unreachable.
func (c *Client) conn(ctx context.Context, address string, unreachable *error) drpc.Conn {
	return c.pool.Get(ctx, address, func(ctx context.Context, address string) (drpcpool.Conn, error) {
		dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
		sock, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			*unreachable = &port.PeerUnreachableError{Address: address, Cause: err}
			return nil, *unreachable
		}
		return drpcconn.New(countingConn{sock}), nil
	})
}

// invoke makes one call to the peer service of a host.
func (c *Client) invoke(ctx context.Context, address string, call func(context.Context, peerpb.DRPCPeerClient) (*peerpb.Sender, error)) error {
	return c.invokeConn(ctx, address, func(ctx context.Context, conn drpc.Conn) (*peerpb.Sender, error) {
		return call(ctx, peerpb.NewDRPCPeerClient(conn))
	})
}

// invokeFleet makes one call to the fleet service of a host.
func (c *Client) invokeFleet(ctx context.Context, address string, call func(context.Context, peerpb.DRPCFleetClient) (*peerpb.Sender, error)) error {
	return c.invokeConn(ctx, address, func(ctx context.Context, conn drpc.Conn) (*peerpb.Sender, error) {
		return call(ctx, peerpb.NewDRPCFleetClient(conn))
	})
}

func (c *Client) invokeConn(ctx context.Context, address string, call func(context.Context, drpc.Conn) (*peerpb.Sender, error)) error {
	var unreachable error
	from, err := call(ctx, c.conn(ctx, address, &unreachable))
	if unreachable != nil {
		return unreachable
	}
	drpcMessagesSent.Inc()
	if err != nil {
		return errors.Wrapf(err, "host %s", address)
	}
	drpcMessagesReceived.Inc()
	c.identity.Observe(stampOf(from))
	return nil
}

// Records implements port.Peers.
func (c *Client) Records(ctx context.Context, address string, after int64, limit int) (records []revision.Record, snapshotNeeded bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out *peerpb.RecordsResponse
	err = c.invoke(ctx, address, func(ctx context.Context, p peerpb.DRPCPeerClient) (*peerpb.Sender, error) {
		var err error
		out, err = p.Records(ctx, &peerpb.RecordsRequest{Sender: newSender(c.identity), After: after, Limit: uint32(limit)})
		return out.GetSender(), err
	})
	return fromLogRecords(out.GetRecords()), out.GetSnapshotNeeded(), err
}

// Snapshot implements port.Peers.
func (c *Client) Snapshot(ctx context.Context, address string) ([]byte, error) {
	// The timeout bounds the whole stream, which has up to maxSnapshotBytes.
	ctx, cancel := context.WithTimeout(ctx, 10*callTimeout)
	defer cancel()
	var data []byte
	err := c.invoke(ctx, address, func(ctx context.Context, p peerpb.DRPCPeerClient) (*peerpb.Sender, error) {
		stream, err := p.Snapshot(ctx, &peerpb.SnapshotRequest{Sender: newSender(c.identity)})
		if err != nil {
			return nil, err
		}
		defer stream.Close()
		var from *peerpb.Sender
		data, from, err = receiveSnapshot(stream)
		return from, err
	})
	return data, err
}

// chunkReceiver is the receiving side of a stream of chunks.
type chunkReceiver interface {
	Recv() (*peerpb.SnapshotChunk, error)
}

func receiveSnapshot(stream chunkReceiver) ([]byte, *peerpb.Sender, error) {
	var data []byte
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil, nil, errors.New("the snapshot stream ended before its checksum")
		}
		if err != nil {
			return nil, nil, err
		}
		data = append(data, chunk.GetData()...)
		if len(data) > maxSnapshotBytes {
			return nil, nil, errors.Errorf("the snapshot is larger than %d bytes", maxSnapshotBytes)
		}
		if chunk.GetChecksum() == nil {
			continue
		}
		if sum := sha256.Sum256(data); !bytes.Equal(sum[:], chunk.GetChecksum()) {
			return nil, nil, errors.New("the snapshot does not match its checksum")
		}
		return data, chunk.GetSender(), nil
	}
}

// Push implements port.Peers.
func (c *Client) Push(ctx context.Context, address string, records []revision.Record) (asOf int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// The receiver fetches the records that do not fit with Records.
	records = records[:countPerMessage(records)]
	var out *peerpb.PushResponse
	err = c.invoke(ctx, address, func(ctx context.Context, p peerpb.DRPCPeerClient) (*peerpb.Sender, error) {
		var err error
		out, err = p.Push(ctx, &peerpb.PushRequest{Sender: newSender(c.identity), Records: toLogRecords(records)})
		return out.GetSender(), err
	})
	return out.GetAsOf(), err
}

// Exchange implements port.Peers.
func (c *Client) Exchange(ctx context.Context, address string, evidence []port.ServiceEvidence) ([]port.ServiceEvidence, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out *peerpb.ExchangeMessage
	err := c.invoke(ctx, address, func(ctx context.Context, p peerpb.DRPCPeerClient) (*peerpb.Sender, error) {
		var err error
		out, err = p.Exchange(ctx, &peerpb.ExchangeMessage{Sender: newSender(c.identity), Services: toEvidence(evidence)})
		return out.GetSender(), err
	})
	return fromEvidence(out.GetSender(), out.GetServices()), err
}

// errOtherIncarnation is returned when the reply is from a different incarnation of
// the called host, that is, from another process.
var errOtherIncarnation = errors.New("the reply is from another incarnation of the host")

func checkSender(to port.Host, from *peerpb.Sender) error {
	if callerOf(from) != (port.Sender{Host: to.ID, Incarnation: to.Incarnation}) {
		return errOtherIncarnation
	}
	return nil
}

// Relay implements port.Peers. The call has no timeout other than ctx.
func (c *Client) Relay(ctx context.Context, to port.Host, r port.RelayedRequest) (port.RelayedResponse, error) {
	var out *peerpb.RelayResponse
	err := c.invoke(ctx, to.PeerAddress, func(ctx context.Context, p peerpb.DRPCPeerClient) (*peerpb.Sender, error) {
		var err error
		out, err = p.Relay(ctx, &peerpb.RelayRequest{
			Sender:     newSender(c.identity),
			Ticket:     r.Ticket,
			Method:     r.Method,
			Uri:        r.URI,
			HostHeader: r.Host,
			Header:     toHeader(r.Header),
			Body:       r.Body,
			DeadlineMs: r.TimeLeft.Milliseconds(),
		})
		if err == nil {
			err = checkSender(to, out.GetSender())
		}
		return out.GetSender(), err
	})
	return port.RelayedResponse{Status: int(out.GetStatus()), Header: fromHeader(out.GetHeader()), Body: out.GetBody()}, err
}

// Handover implements port.Peers. A refusal is returned as a
// *port.HandoverRefusedError.
func (c *Client) Handover(ctx context.Context, to port.Host, m port.HandoverMessage) (complete bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out *peerpb.HandoverResponse
	err = c.invoke(ctx, to.PeerAddress, func(ctx context.Context, p peerpb.DRPCPeerClient) (*peerpb.Sender, error) {
		var err error
		out, err = p.Handover(ctx, &peerpb.HandoverRequest{Sender: newSender(c.identity), Chunk: m.Chunk, Update: m.Update})
		if err == nil {
			err = checkSender(to, out.GetSender())
		}
		return out.GetSender(), err
	})
	if err == nil && out.GetRefused() != "" {
		err = &port.HandoverRefusedError{Reason: out.GetRefused()}
	}
	return out.GetComplete(), err
}
