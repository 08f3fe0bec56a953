package peer

import (
	"context"
	"crypto/sha256"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/recovery"
)

// snapshotChunkBytes is the size of the chunks of a snapshot. Chunks keep one large
// message from blocking a connection.
const snapshotChunkBytes = 256 << 10

// maxRecords bounds the records in one response.
const maxRecords = 256

// Serve serves the peer calls of other hosts until ctx is done. A call whose handler panics
// fails.
func Serve(ctx context.Context, lis net.Listener, identity Identity, handler port.PeerHandler, log logrus.FieldLogger) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &server{identity, handler}); err != nil {
		return errors.Wrap(err, "peer")
	}
	return serveCalls(ctx, lis, mux, ServerLimits{}, log)
}

// serveCalls serves the calls that a handler knows until ctx is done.
func serveCalls(ctx context.Context, lis net.Listener, handler drpc.Handler, limits ServerLimits, log logrus.FieldLogger) error {
	if limits.MaxConnections > 0 {
		lis = newBoundedListener(lis, limits.MaxConnections, log)
	}
	server := drpcserver.NewWithOptions(recoveringHandler{handler, log}, drpcserver.Options{
		Manager: drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: limits.MaxMessageBytes}},
	})
	return errors.Wrap(server.Serve(ctx, countingListener{lis}), "peer")
}

// recoveringHandler returns an error for a call that panics.
type recoveringHandler struct {
	drpc.Handler
	log logrus.FieldLogger
}

// errHandlerPanicked is returned to the caller when the handler of a call panicked.
var errHandlerPanicked = errors.New("peer: the call failed unexpectedly")

// HandleRPC implements drpc.Handler.
func (h recoveringHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	err := errHandlerPanicked
	recovery.Call(h.log, rpc, func() { err = h.Handler.HandleRPC(stream, rpc) })
	return err
}

// server adapts a port.PeerHandler to the drpc peer service.
type server struct {
	identity Identity
	handler  port.PeerHandler
}

// recordCall counts a call and its response, updates the clock from the caller's
// timestamp and returns the caller.
func (s *server) recordCall(from *peerpb.Sender) port.Sender {
	drpcMessagesReceived.Inc()
	drpcMessagesSent.Inc()
	s.identity.Observe(stampOf(from))
	return callerOf(from)
}

func (s *server) Records(_ context.Context, in *peerpb.RecordsRequest) (*peerpb.RecordsResponse, error) {
	s.recordCall(in.GetSender())
	records, snapshotNeeded := s.handler.Records(in.GetAfter(), min(int(in.GetLimit()), maxRecords))
	records = records[:countPerMessage(records)]
	return &peerpb.RecordsResponse{Sender: newSender(s.identity), Records: toLogRecords(records), SnapshotNeeded: snapshotNeeded}, nil
}

func (s *server) Snapshot(in *peerpb.SnapshotRequest, stream peerpb.DRPCPeer_SnapshotStream) error {
	s.recordCall(in.GetSender())
	data, err := s.handler.Snapshot()
	if err != nil {
		return err
	}
	return sendChunks(stream, s.identity, data)
}

// chunkSender is the sending side of a stream of chunks.
type chunkSender interface {
	Send(*peerpb.SnapshotChunk) error
}

// sendChunks sends data in chunks. The last chunk carries the checksum of all data.
func sendChunks(stream chunkSender, identity Identity, data []byte) error {
	checksum := sha256.Sum256(data)
	for len(data) > snapshotChunkBytes {
		if err := stream.Send(&peerpb.SnapshotChunk{Sender: newSender(identity), Data: data[:snapshotChunkBytes]}); err != nil {
			return err
		}
		data = data[snapshotChunkBytes:]
	}
	return stream.Send(&peerpb.SnapshotChunk{Sender: newSender(identity), Data: data, Checksum: checksum[:]})
}

func (s *server) Push(_ context.Context, in *peerpb.PushRequest) (*peerpb.PushResponse, error) {
	asOf := s.handler.Push(s.recordCall(in.GetSender()), fromLogRecords(in.GetRecords()))
	return &peerpb.PushResponse{Sender: newSender(s.identity), AsOf: asOf}, nil
}

func (s *server) Exchange(_ context.Context, in *peerpb.ExchangeMessage) (*peerpb.ExchangeMessage, error) {
	from := s.recordCall(in.GetSender())
	evidence := s.handler.Exchange(from, fromEvidence(in.GetSender(), in.GetServices()))
	return &peerpb.ExchangeMessage{Sender: newSender(s.identity), Services: toEvidence(evidence)}, nil
}

func (s *server) Relay(ctx context.Context, in *peerpb.RelayRequest) (*peerpb.RelayResponse, error) {
	from := s.recordCall(in.GetSender())
	res := s.handler.Relay(ctx, from, port.RelayedRequest{
		Ticket:   in.GetTicket(),
		Method:   in.GetMethod(),
		URI:      in.GetUri(),
		Host:     in.GetHostHeader(),
		Header:   fromHeader(in.GetHeader()),
		Body:     in.GetBody(),
		TimeLeft: time.Duration(in.GetDeadlineMs()) * time.Millisecond,
	})
	return &peerpb.RelayResponse{Sender: newSender(s.identity), Status: int32(res.Status), Header: toHeader(res.Header), Body: res.Body}, nil
}

func (s *server) Handover(_ context.Context, in *peerpb.HandoverRequest) (*peerpb.HandoverResponse, error) {
	from := s.recordCall(in.GetSender())
	complete, err := s.handler.Handover(from, port.HandoverMessage{Chunk: in.GetChunk(), Update: in.GetUpdate()})
	out := &peerpb.HandoverResponse{Sender: newSender(s.identity), Complete: complete}
	if err != nil {
		out.Refused = err.Error()
	}
	return out, nil
}
