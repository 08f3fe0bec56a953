package peer

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
)

const (
	// beaconListBytes is the part of a datagram that the lists of a beacon may use;
	// the rest is for the sender, the coordinator and the state.
	beaconListBytes = MaxDatagramBytes - 500
	// entryBytes is what an entry of a list takes beside its text.
	entryBytes = 2
	// maxBeaconParts bounds the parts of a beacon, and maxPartialBeacons the senders
	// of incomplete ones.
	maxBeaconParts    = 256
	maxPartialBeacons = 1024
)

// toBeacons encodes a beacon in as many parts as its lists need.
func toBeacons(b roster.Beacon, via string) []*peerpb.Beacon {
	head := &peerpb.Beacon{
		State: toState(b.State), Host: toRegisteredHost(b.From), Sequence: b.Sequence, Leaving: b.Leaving, Via: via,
	}
	parts := []*peerpb.Beacon{proto.Clone(head).(*peerpb.Beacon)}
	used := 0
	room := func(text string) *peerpb.Beacon {
		if used += len(text) + entryBytes; used > beaconListBytes {
			parts = append(parts, proto.Clone(head).(*peerpb.Beacon))
			used = len(text) + entryBytes
		}
		return parts[len(parts)-1]
	}
	for _, id := range b.Active {
		part := room(string(id))
		part.Active = append(part.Active, string(id))
	}
	for _, id := range b.Remote {
		part := room(string(id))
		part.Remote = append(part.Remote, string(id))
	}
	for _, address := range b.Forward {
		part := room(address)
		part.Forward = append(part.Forward, address)
	}
	for i, part := range parts {
		part.Part, part.Parts = uint32(i), uint32(len(parts))
	}
	return parts
}

// beaconParts joins the parts of beacons. It keeps the latest incomplete beacon of
// each sender.
type beaconParts map[string]*partialBeacon

type partialBeacon struct {
	sequence    uint64
	incarnation uint64
	parts       []*peerpb.Beacon
	missing     int
}

// add takes a part, which may be nil, and returns a beacon once it is whole.
func (p *beaconParts) add(b *peerpb.Beacon) *peerpb.Beacon {
	if b == nil || b.GetParts() <= 1 {
		return b
	}
	if b.GetParts() > maxBeaconParts || b.GetPart() >= b.GetParts() {
		return nil
	}
	if *p == nil || len(*p) > maxPartialBeacons {
		*p = beaconParts{}
	}
	key := b.GetVia() + " " + b.GetHost().GetId()
	known := (*p)[key]
	if known == nil || known.sequence != b.GetSequence() || known.incarnation != b.GetHost().GetIncarnation() || len(known.parts) != int(b.GetParts()) {
		known = &partialBeacon{sequence: b.GetSequence(), incarnation: b.GetHost().GetIncarnation(), parts: make([]*peerpb.Beacon, b.GetParts()), missing: int(b.GetParts())}
		(*p)[key] = known
	}
	if known.parts[b.GetPart()] == nil {
		known.parts[b.GetPart()] = b
		known.missing--
	}
	if known.missing > 0 {
		return nil
	}
	delete(*p, key)
	whole := known.parts[0]
	for _, part := range known.parts[1:] {
		whole.Active = append(whole.Active, part.GetActive()...)
		whole.Remote = append(whole.Remote, part.GetRemote()...)
		whole.Forward = append(whole.Forward, part.GetForward()...)
	}
	return whole
}

// fromBeacon decodes a whole beacon.
func fromBeacon(pb *peerpb.Beacon) roster.Beacon {
	return roster.Beacon{
		From:     fromRegisteredHost(pb.GetHost()),
		Sequence: pb.GetSequence(),
		Leaving:  pb.GetLeaving(),
		Active:   hostIDs(pb.GetActive()),
		Remote:   hostIDs(pb.GetRemote()),
		State:    fromState(pb.GetState()),
		Forward:  slices.Clone(pb.GetForward()),
	}
}

func hostIDs(names []string) []ident.HostID {
	var list []ident.HostID
	for _, name := range names {
		list = append(list, ident.HostID(name))
	}
	return list
}
