package peer

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// pullTimeout bounds one transfer of the registry.
const pullTimeout = 2 * time.Second

// Fleet connects the hosts of a region. It implements port.Fleet and is safe for
// concurrent use.
type Fleet struct {
	identity Identity
	client   *Client
	sock     socket
}

// ListenFleet opens the UDP socket.
func ListenFleet(address string, identity Identity) (*Fleet, error) {
	sock, err := listenSocket(address)
	if err != nil {
		return nil, err
	}
	return &Fleet{identity: identity, client: NewClient(identity), sock: sock}, nil
}

// Close closes the socket and all connections.
func (f *Fleet) Close() {
	f.sock.close()
	f.client.Close()
}

// SendReport implements port.Fleet.
func (f *Fleet) SendReport(address string, r roster.Report) error {
	return f.send(address, &peerpb.FleetMessage{Report: &peerpb.HostReport{Host: toRegisteredHost(r.Host), Leaving: r.Leaving, Rate: r.Rate}})
}

// SendBeacon implements port.Fleet.
func (f *Fleet) SendBeacon(address string, b roster.Beacon) error {
	pb := &peerpb.Beacon{State: toState(b.State), Host: toRegisteredHost(b.From)}
	for _, id := range b.Active {
		pb.Active = append(pb.Active, string(id))
	}
	for _, id := range b.Remote {
		pb.Remote = append(pb.Remote, string(id))
	}
	return f.send(address, &peerpb.FleetMessage{Beacon: pb})
}

// SendConfirmation implements port.Fleet.
func (f *Fleet) SendConfirmation(address string, s roster.State) error {
	return f.send(address, &peerpb.FleetMessage{Confirmation: &peerpb.Confirmation{State: toState(s)}})
}

// observationsPerMessage keeps a message of observations below the size of a
// datagram.
const observationsPerMessage = 16

// SendObservations implements port.Fleet.
func (f *Fleet) SendObservations(address string, o port.Observations) error {
	for !o.Empty() {
		targets := min(len(o.Targets), observationsPerMessage)
		services := min(len(o.Services), observationsPerMessage-targets)
		part := port.Observations{Targets: o.Targets[:targets], Services: o.Services[:services]}
		if err := f.send(address, &peerpb.FleetMessage{Observations: toObservations(part)}); err != nil {
			return err
		}
		o.Targets, o.Services = o.Targets[targets:], o.Services[services:]
	}
	return nil
}

func (f *Fleet) send(address string, m *peerpb.FleetMessage) error {
	m.Sender = sender(f.identity)
	data, err := proto.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	if len(data) > MaxDatagramBytes {
		return errors.Errorf("peer: a message of %d bytes does not fit into a datagram", len(data))
	}
	return f.sock.send(address, data)
}

// Receive hands every message to the handler until ctx ends or the socket is
// closed.
func (f *Fleet) Receive(ctx context.Context, handler port.FleetHandler) {
	f.sock.receive(ctx, func(data []byte) {
		m := &peerpb.FleetMessage{}
		if !unmarshal(data, m) || m.GetSender().GetHost() == "" {
			return
		}
		f.identity.Observe(stamp(m.GetSender()))
		from := caller(m.GetSender())
		if r := m.GetReport(); r != nil {
			handler.Report(from, roster.Report{Host: fromRegisteredHost(r.GetHost()), Leaving: r.GetLeaving(), Rate: r.GetRate()})
		}
		if b := m.GetBeacon(); b != nil {
			handler.Beacon(from, fromBeacon(b))
		}
		if c := m.GetConfirmation(); c != nil {
			handler.Confirmation(from, fromState(c.GetState()))
		}
		if o := m.GetObservations(); o != nil {
			handler.Observations(from, fromObservations(o))
		}
	})
}

// Pull implements port.Fleet.
func (f *Fleet) Pull(ctx context.Context, address string, have roster.State) (port.RegistryCopy, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	var out port.RegistryCopy
	err := f.client.invokeFleet(ctx, address, func(ctx context.Context, p peerpb.DRPCFleetClient) (*peerpb.Sender, error) {
		stream, err := p.Pull(ctx, &peerpb.PullRequest{Sender: sender(f.identity), Have: toState(have)})
		if err != nil {
			return nil, err
		}
		defer stream.Close()
		data, from, err := receiveSnapshot(stream)
		if err != nil {
			return nil, err
		}
		pb := &peerpb.Registry{}
		if err := proto.Unmarshal(data, pb); err != nil {
			return nil, err
		}
		out, err = fromRegistry(pb)
		return from, err
	})
	return out, err
}

// ServeFleet serves the calls of other hosts until ctx ends.
func ServeFleet(ctx context.Context, lis net.Listener, identity Identity, handler port.FleetServer) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterFleet(mux, &fleetServer{identity, handler}); err != nil {
		return errors.Wrap(err, "peer")
	}
	return errors.Wrap(drpcserver.New(mux).Serve(ctx, countingListener{lis}), "peer")
}

type fleetServer struct {
	identity Identity
	handler  port.FleetServer
}

// Pull implements peerpb.DRPCFleetServer.
func (s *fleetServer) Pull(in *peerpb.PullRequest, stream peerpb.DRPCFleet_PullStream) error {
	s.identity.Observe(stamp(in.GetSender()))
	pb, err := toRegistry(s.handler.Copy(fromState(in.GetHave())))
	if err != nil {
		return err
	}
	data, err := proto.Marshal(pb)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	return sendChunks(stream, s.identity, data)
}
