package peer

import (
	"context"
	"net"
	"net/netip"
	"slices"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/recovery"
)

// Fleet connects the hosts of a region. It implements port.Fleet and is safe for
// concurrent use.
type Fleet struct {
	identity Identity
	// address is the own peer address.
	address string
	client  *Client
	sock    socket
	log     logrus.FieldLogger
}

// ListenFleet opens the UDP socket.
func ListenFleet(address string, identity Identity, log logrus.FieldLogger) (*Fleet, error) {
	sock, err := listenSocket(address)
	if err != nil {
		return nil, err
	}
	return &Fleet{identity: identity, address: address, client: NewClient(identity), sock: sock, log: log}, nil
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
// closed. A message that makes the handler panic is dropped.
func (f *Fleet) Receive(ctx context.Context, handler port.FleetHandler) {
	var beacons beaconParts
	f.sock.receive(ctx, func(data []byte) {
		recovery.Call(f.log, "datagram", func() { f.handle(data, &beacons, handler) })
	})
}

// handle hands one message to the handler. One of a host without a name or with
// addresses that cannot be used is dropped.
func (f *Fleet) handle(data []byte, beacons *beaconParts, handler port.FleetHandler) {
	m := &peerpb.FleetMessage{}
	if !unmarshal(data, m) || m.GetSender().GetHost() == "" {
		return
	}
	f.identity.Observe(stamp(m.GetSender()))
	from := caller(m.GetSender())
	if r := m.GetReport(); r != nil && usable(r.GetHost()) {
		handler.Report(from, fromReport(r))
	}
	if b := m.GetBeacon(); b != nil && usable(b.GetHost()) {
		if whole := beacons.add(b); whole != nil {
			handler.Beacon(from, whole.GetVia(), fromBeacon(whole))
		}
	}
	if w := m.GetWelcome(); w != nil && !slices.ContainsFunc(w.GetHosts(), func(h *peerpb.RegisteredHost) bool { return !usable(h) }) {
		handler.Welcome(from, fromWelcome(w))
	}
	if c := m.GetConfirmation(); c != nil {
		handler.Confirmation(from, fromState(c.GetState()))
	}
	if o := m.GetObservations(); o != nil {
		handler.Observations(from, fromObservations(o))
	}
}

// usable reports whether a host can be reached under what a message says of it.
func usable(h *peerpb.RegisteredHost) bool {
	_, err := netip.ParseAddrPort(h.GetPeerAddress())
	return err == nil && h.GetId() != "" && h.GetRegion() != ""
}

// Pull implements port.Fleet.
func (f *Fleet) Pull(ctx context.Context, address string, have roster.State) (port.RegistryDelta, error) {
	var out port.RegistryDelta
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
func ServeFleet(ctx context.Context, lis net.Listener, identity Identity, handler port.FleetServer, log logrus.FieldLogger) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterFleet(mux, &fleetServer{identity: identity, handler: handler, log: log}); err != nil {
		return errors.Wrap(err, "peer")
	}
	return errors.Wrap(drpcserver.New(mux).Serve(ctx, countingListener{lis}), "peer")
}

type fleetServer struct {
	identity Identity
	handler  port.FleetServer
	cache    configurationCache
	log      logrus.FieldLogger
}

// errPanicked ends a call that panicked.
var errPanicked = errors.New("peer: the call failed unexpectedly")

// Pull implements peerpb.DRPCFleetServer.
func (s *fleetServer) Pull(in *peerpb.PullRequest, stream peerpb.DRPCFleet_PullStream) error {
	err := errPanicked
	recovery.Call(s.log, "pull", func() { err = s.pull(in, stream) })
	return err
}

func (s *fleetServer) pull(in *peerpb.PullRequest, stream peerpb.DRPCFleet_PullStream) error {
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
