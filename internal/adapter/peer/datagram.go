package peer

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
)

// Datagrams sends and receives the messages of the membership protocol.
type Datagrams struct {
	identity Identity
	sock     socket
}

// ListenDatagrams opens a UDP socket on address.
func ListenDatagrams(address string, identity Identity) (*Datagrams, error) {
	sock, err := listenSocket(address)
	if err != nil {
		return nil, err
	}
	return &Datagrams{identity: identity, sock: sock}, nil
}

// Close closes the socket, which makes Receive return.
func (d *Datagrams) Close() { d.sock.close() }

// Send sends a message. Updates that do not fit into a datagram are omitted; later
// messages carry them again.
func (d *Datagrams) Send(address string, m member.Message) error {
	data, err := d.encode(m)
	if err != nil {
		return err
	}
	return d.sock.send(address, data)
}

func (d *Datagrams) encode(m member.Message) ([]byte, error) {
	pb := toMembership(m)
	stamp := d.identity.Stamp()
	pb.WallUs, pb.Logical = stamp.WallMicros, stamp.Logical
	for {
		data, err := proto.Marshal(pb)
		if err != nil || len(data) <= MaxDatagramBytes || len(pb.Updates) == 0 {
			return data, errors.Wrap(err, "peer")
		}
		pb.Updates = pb.Updates[:len(pb.Updates)-1]
	}
}

// Receive calls handle with every valid message until the socket is closed, or until
// it finds ctx done after a datagram.
func (d *Datagrams) Receive(ctx context.Context, handle func(member.Message)) {
	d.sock.receive(ctx, func(data []byte) {
		pb := &peerpb.Membership{}
		if !unmarshal(data, pb) {
			return
		}
		m, ok := fromMembership(pb)
		if !ok {
			return
		}
		d.identity.Observe(event.Stamp{WallMicros: pb.GetWallUs(), Logical: pb.GetLogical()})
		handle(m)
	})
}

func toMembership(m member.Message) *peerpb.Membership {
	pb := &peerpb.Membership{
		Kind:           uint32(m.Kind),
		Sequence:       m.Sequence,
		To:             uint64(m.ToIncarnation),
		From:           toInfo(m.From),
		Subject:        string(m.Subject),
		SubjectAddress: m.SubjectAddress,
		AsOf:           m.Digest.AsOf,
		Revision:       m.Digest.Revision,
		LogAgeMs:       m.Digest.LogAge.Milliseconds(),
	}
	for _, u := range m.Updates {
		pb.Updates = append(pb.Updates, &peerpb.HostUpdate{Info: toInfo(u.Info), State: uint32(u.State)})
	}
	return pb
}

// fromMembership decodes and validates a message from the network.
func fromMembership(pb *peerpb.Membership) (member.Message, bool) {
	m := member.Message{
		Kind:           member.Kind(pb.GetKind()),
		Sequence:       pb.GetSequence(),
		ToIncarnation:  ident.Incarnation(pb.GetTo()),
		From:           fromInfo(pb.GetFrom()),
		Subject:        ident.HostID(pb.GetSubject()),
		SubjectAddress: pb.GetSubjectAddress(),
		Digest:         member.Digest{AsOf: pb.GetAsOf(), Revision: pb.GetRevision(), LogAge: min(age(pb.GetLogAgeMs()), member.MaxLogAge)},
	}
	if m.From.ID == "" || m.Kind < member.Ping || m.Kind > member.PingRequest {
		return m, false
	}
	for _, u := range pb.GetUpdates() {
		state := member.State(u.GetState())
		if u.GetInfo().GetId() == "" || state < member.Alive || state > member.Left {
			return m, false
		}
		m.Updates = append(m.Updates, member.Update{Info: fromInfo(u.GetInfo()), State: state})
	}
	return m, true
}

func toInfo(i member.Info) *peerpb.HostInfo {
	return &peerpb.HostInfo{
		Id:            string(i.ID),
		Incarnation:   uint64(i.Version.Incarnation),
		Epoch:         i.Version.Epoch,
		Region:        string(i.Location.Region),
		Zone:          string(i.Location.Zone),
		PeerAddress:   i.PeerAddress,
		CallerAddress: i.CallerAddress,
		AdminAddress:  i.AdminAddress,
		Leaving:       i.Leaving,
		Successor:     string(i.Successor),
	}
}

func fromInfo(pb *peerpb.HostInfo) member.Info {
	return member.Info{
		ID:            ident.HostID(pb.GetId()),
		Version:       member.Version{Incarnation: ident.Incarnation(pb.GetIncarnation()), Epoch: pb.GetEpoch()},
		Location:      ident.Location{Region: ident.Region(pb.GetRegion()), Zone: ident.Zone(pb.GetZone())},
		PeerAddress:   pb.GetPeerAddress(),
		CallerAddress: pb.GetCallerAddress(),
		AdminAddress:  pb.GetAdminAddress(),
		Leaving:       pb.GetLeaving(),
		Successor:     ident.HostID(pb.GetSuccessor()),
	}
}
