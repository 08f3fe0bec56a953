package peer

import (
	"context"
	"net"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// Fleet connects the hosts of a region. It implements port.Fleet and is safe for
// concurrent use.
type Fleet struct {
	identity Identity
	// address is the own peer address.
	address string
	client  *Client
	sock    socket
}

// ListenFleet opens the UDP socket.
func ListenFleet(address string, identity Identity) (*Fleet, error) {
	sock, err := listenSocket(address)
	if err != nil {
		return nil, err
	}
	return &Fleet{identity: identity, address: address, client: NewClient(identity), sock: sock}, nil
}

// Close closes the socket and all connections.
func (f *Fleet) Close() {
	f.sock.close()
	f.client.Close()
}

// SendReport implements port.Fleet.
func (f *Fleet) SendReport(address string, r roster.Report) error {
	return f.send(address, &peerpb.FleetMessage{Report: &peerpb.HostReport{
		Host: toRegisteredHost(r.Host), Leaving: r.Leaving, Ready: r.Ready, Rate: r.Rate, Coordinator: string(r.Coordinator),
	}})
}

// SendBeacon implements port.Fleet.
func (f *Fleet) SendBeacon(address string, b roster.Beacon) error {
	for _, part := range toBeacons(b, f.address) {
		if err := f.send(address, &peerpb.FleetMessage{Beacon: part}); err != nil {
			return err
		}
	}
	return nil
}

// SendWelcome implements port.Fleet.
func (f *Fleet) SendWelcome(address string, w roster.Welcome) error {
	pb := &peerpb.Welcome{Coordinator: string(w.Coordinator)}
	for _, h := range w.Hosts {
		pb.Hosts = append(pb.Hosts, toRegisteredHost(h))
	}
	return f.send(address, &peerpb.FleetMessage{Welcome: pb})
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
	var beacons beaconParts
	f.sock.receive(ctx, func(data []byte) {
		m := &peerpb.FleetMessage{}
		if !unmarshal(data, m) || m.GetSender().GetHost() == "" {
			return
		}
		f.identity.Observe(stamp(m.GetSender()))
		from := caller(m.GetSender())
		if r := m.GetReport(); r != nil {
			handler.Report(from, fromReport(r))
		}
		if b := beacons.add(m.GetBeacon()); b != nil {
			handler.Beacon(from, b.GetVia(), fromBeacon(b))
		}
		if w := m.GetWelcome(); w != nil {
			handler.Welcome(from, fromWelcome(w))
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
	if err := peerpb.DRPCRegisterFleet(mux, &fleetServer{identity: identity, handler: handler}); err != nil {
		return errors.Wrap(err, "peer")
	}
	return errors.Wrap(drpcserver.New(mux).Serve(ctx, countingListener{lis}), "peer")
}

type fleetServer struct {
	identity Identity
	handler  port.FleetServer
	cache    configurationCache
}

// Pull implements peerpb.DRPCFleetServer.
func (s *fleetServer) Pull(in *peerpb.PullRequest, stream peerpb.DRPCFleet_PullStream) error {
	s.identity.Observe(stamp(in.GetSender()))
	pb, err := toRegistry(s.handler.Copy(fromState(in.GetHave())), &s.cache)
	if err != nil {
		return err
	}
	data, err := proto.Marshal(pb)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	return sendChunks(stream, s.identity, data)
}
