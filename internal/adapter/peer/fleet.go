package peer

import (
	"context"
	"math"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"github.com/sapphirehaven/sapphirehaven/internal/core/locality"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/recovery"
)

// Fleet exchanges the messages of the fleet protocol with other hosts, in all regions.
// It implements port.Fleet and is safe for concurrent use.
type Fleet struct {
	identity Identity
	// address is the peer address of this host.
	address string
	client  *Client
	sock    socket
	log     logrus.FieldLogger
	// maxConfiguration is the largest size of a configuration of another host.
	maxConfiguration int64
}

// ListenFleet opens a UDP socket on address.
func ListenFleet(address string, identity Identity, log logrus.FieldLogger) (*Fleet, error) {
	sock, err := listenSocket(address)
	if err != nil {
		return nil, err
	}
	return &Fleet{identity: identity, address: address, client: NewClient(identity), sock: sock, log: log, maxConfiguration: maxConfigurationBytes(0)}, nil
}

// SetMemory states the memory of the process, which bounds the configurations that it takes from other hosts.
// It is called before the first Pull.
func (f *Fleet) SetMemory(bytes int64) { f.maxConfiguration = maxConfigurationBytes(bytes) }

// Close closes the socket and all connections.
func (f *Fleet) Close() {
	f.sock.close()
	f.client.Close()
}

// SendReport implements port.Fleet.
func (f *Fleet) SendReport(address string, r roster.Report) error {
	return f.send(address, &peerpb.FleetMessage{Report: &peerpb.HostReport{
		Host: toRegisteredHost(r.Host), Leaving: r.Leaving, Ready: r.Ready, Rate: r.Rate, ByteRate: r.ByteRate, Coordinator: string(r.Coordinator),
	}})
}

// SendBeacon implements port.Fleet.
func (f *Fleet) SendBeacon(address string, b roster.Beacon) error {
	for _, part := range toBeaconParts(b, f.address) {
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

// observationsPerMessage bounds the observations in one message, so that it fits into
// a datagram.
const observationsPerMessage = 16

// leavingTargetWeight, serviceWeight and demandWeight are the numbers of observations that a
// leaving target, the outcomes of a service and an entry of its demand replace, which take more
// bytes. A service with the most entries fits into one message.
const (
	leavingTargetWeight = 2
	serviceWeight       = 2
	demandWeight        = 0.75
)

// countThatFits returns the number of leading services that fit beside observations of which
// left may be added, and the number of observations that may be added to them.
func countThatFits(services []port.ServiceOutcomes, left int) (count, leftover int) {
	for _, s := range services {
		weight := serviceWeight + int(math.Ceil(demandWeight*float64(len(s.Demand.Demand))))
		if weight > left {
			break
		}
		count++
		left -= weight
	}
	return count, left
}

// SendObservations implements port.Fleet. A part that cannot be sent does not keep the others
// back.
func (f *Fleet) SendObservations(address string, o port.Observations) error {
	var firstErr error
	for _, part := range splitObservations(o) {
		err := f.send(address, &peerpb.FleetMessage{Observations: toObservations(part)})
		if firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// splitObservations splits observations into parts that fit into a datagram.
func splitObservations(o port.Observations) []port.Observations {
	var parts []port.Observations
	for !o.Empty() {
		targets := min(len(o.Targets), observationsPerMessage)
		services, left := countThatFits(o.Services, observationsPerMessage-targets)
		leaving := min(len(o.Leaving), left/leavingTargetWeight)
		parts = append(parts, port.Observations{Targets: o.Targets[:targets], Services: o.Services[:services], Leaving: o.Leaving[:leaving], CrossRegion: o.CrossRegion})
		o.Targets, o.Services, o.Leaving, o.CrossRegion = o.Targets[targets:], o.Services[services:], o.Leaving[leaving:], locality.Bytes{}
	}
	return parts
}

// SendPermitRequest sends a request with at most port.MaxPermitEntries targets.
func (f *Fleet) SendPermitRequest(address string, r ratelimit.Request) error {
	return f.send(address, &peerpb.FleetMessage{PermitRequest: toPermitRequest(r, time.Now())})
}

// SendPermitResponse sends a response with at most port.MaxPermitEntries targets.
func (f *Fleet) SendPermitResponse(address string, r ratelimit.Response) error {
	return f.send(address, &peerpb.FleetMessage{PermitResponse: toPermitResponse(r, time.Now())})
}

// SendTeamPermitRequest sends a request with at most ratelimit.MaxTeamEntries teams.
func (f *Fleet) SendTeamPermitRequest(address string, r ratelimit.Request) error {
	return f.send(address, &peerpb.FleetMessage{TeamPermitRequest: toTeamPermitRequest(r)})
}

// SendTeamPermitResponse sends a response with at most ratelimit.MaxTeamEntries teams.
func (f *Fleet) SendTeamPermitResponse(address string, r ratelimit.Response) error {
	return f.send(address, &peerpb.FleetMessage{TeamPermitResponse: toTeamPermitResponse(r)})
}

func (f *Fleet) send(address string, m *peerpb.FleetMessage) error {
	m.Sender = newSender(f.identity)
	data, err := proto.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	if len(data) > MaxDatagramBytes {
		return errors.Errorf("peer: a message of %d bytes does not fit into a datagram", len(data))
	}
	return f.sock.send(address, data)
}

// Receive passes every message to handler until the socket is closed, or until it
// finds ctx done after a datagram. A message that makes the handler panic is dropped.
func (f *Fleet) Receive(ctx context.Context, handler port.FleetHandler) {
	var beacons beaconAssembler
	f.sock.receive(ctx, func(data []byte) {
		recovery.Call(f.log, "datagram", func() { f.handle(data, &beacons, handler) })
	})
}

// handle decodes a message and passes its parts to handler. It drops messages without
// the name of the sender, and parts that describe an invalid host.
func (f *Fleet) handle(data []byte, beacons *beaconAssembler, handler port.FleetHandler) {
	m := &peerpb.FleetMessage{}
	if !unmarshal(data, m) || m.GetSender().GetHost() == "" {
		return
	}
	f.identity.Observe(stampOf(m.GetSender()))
	from := callerOf(m.GetSender())
	if r := m.GetReport(); r != nil && validHost(r.GetHost()) {
		handler.Report(from, fromReport(r))
	}
	if b := m.GetBeacon(); b != nil && validHost(b.GetHost()) {
		if complete := beacons.add(b); complete != nil {
			handler.Beacon(from, complete.GetVia(), fromBeacon(complete))
		}
	}
	if w := m.GetWelcome(); w != nil && !slices.ContainsFunc(w.GetHosts(), func(h *peerpb.RegisteredHost) bool { return !validHost(h) }) {
		handler.Welcome(from, fromWelcome(w))
	}
	if c := m.GetConfirmation(); c != nil {
		handler.Confirmation(from, fromState(c.GetState()))
	}
	if o := m.GetObservations(); o != nil {
		handler.Observations(from, fromObservations(o))
	}
	if r := m.GetPermitRequest(); r != nil {
		handler.PermitRequest(from, fromPermitRequest(r, time.Now()))
	}
	if r := m.GetPermitResponse(); r != nil {
		handler.PermitResponse(from, fromPermitResponse(r, time.Now()))
	}
	if r := m.GetTeamPermitRequest(); r != nil {
		handler.TeamPermitRequest(from, fromTeamPermitRequest(r))
	}
	if r := m.GetTeamPermitResponse(); r != nil {
		handler.TeamPermitResponse(from, fromTeamPermitResponse(r))
	}
}

// validHost reports whether the description of a host in a message has an ID, a region
// and a valid peer address.
func validHost(h *peerpb.RegisteredHost) bool {
	_, err := netip.ParseAddrPort(h.GetPeerAddress())
	return err == nil && h.GetId() != "" && h.GetRegion() != ""
}

// Pull implements port.Fleet.
func (f *Fleet) Pull(ctx context.Context, address string, have roster.State) (port.RegistryDelta, error) {
	var out port.RegistryDelta
	err := f.client.invokeFleet(ctx, address, func(ctx context.Context, p peerpb.DRPCFleetClient) (*peerpb.Sender, error) {
		stream, err := p.Pull(ctx, &peerpb.PullRequest{Sender: newSender(f.identity), Have: toState(have)})
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
		out, err = fromRegistry(pb, f.maxConfiguration)
		return from, err
	})
	return out, err
}

// ServeFleet serves the fleet calls of other hosts until ctx is done.
func ServeFleet(ctx context.Context, lis net.Listener, identity Identity, handler port.FleetServer, limits ServerLimits, log logrus.FieldLogger) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterFleet(mux, &fleetServer{identity: identity, handler: handler}); err != nil {
		return errors.Wrap(err, "peer")
	}
	return serveCalls(ctx, lis, mux, limits, log)
}

type fleetServer struct {
	identity Identity
	handler  port.FleetServer
	cache    configurationCache
}

// Pull implements peerpb.DRPCFleetServer.
func (s *fleetServer) Pull(in *peerpb.PullRequest, stream peerpb.DRPCFleet_PullStream) error {
	s.identity.Observe(stampOf(in.GetSender()))
	pb, err := toRegistry(s.handler.ChangesSince(fromState(in.GetHave())), &s.cache)
	if err != nil {
		return err
	}
	data, err := proto.Marshal(pb)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	return sendChunks(stream, s.identity, data)
}
