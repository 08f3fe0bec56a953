package peer

import (
	"encoding/binary"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/peerpb"
)

const (
	// maxBeaconListBytes is the space in a datagram for the lists of a beacon; the rest
	// is reserved for the sender, the coordinator and the state.
	maxBeaconListBytes = MaxDatagramBytes - 500
	// listEntryOverhead is the encoded size of a list entry without its text.
	listEntryOverhead = 2
	// maxRegionSize bounds the number of hosts that a beacon states.
	maxRegionSize = 1 << 20
	// maxBeaconParts bounds the parts of a beacon, and maxIncompleteBeacons the
	// number of senders whose incomplete beacons are kept.
	maxBeaconParts       = 256
	maxIncompleteBeacons = 1024
)

// toBeaconParts encodes a beacon, split into as many parts as its lists require.
func toBeaconParts(b roster.Beacon, via string) []*peerpb.Beacon {
	head := &peerpb.Beacon{
		State: toState(b.State), Host: toRegisteredHost(b.From), Sequence: b.Sequence, Leaving: b.Leaving, Isolated: b.Isolated, Via: via,
		RegionSize: uint32(b.RegionSize), FollowerShare: b.FollowerShare,
	}
	parts := []*peerpb.Beacon{proto.Clone(head).(*peerpb.Beacon)}
	parts[0].Successors = b.Successors
	used := listEntryOverhead + 4*len(b.Successors)
	partWithBytes := func(size int) *peerpb.Beacon {
		if used += size + listEntryOverhead; used > maxBeaconListBytes {
			parts = append(parts, proto.Clone(head).(*peerpb.Beacon))
			used = size + listEntryOverhead
		}
		return parts[len(parts)-1]
	}
	partWithSpace := func(text string) *peerpb.Beacon { return partWithBytes(len(text)) }
	withCapacity := len(b.ActiveCapacity) == len(b.Active)
	for i, id := range b.Active {
		size := len(id)
		if withCapacity {
			size += binary.MaxVarintLen32
		}
		part := partWithBytes(size)
		part.Active = append(part.Active, string(id))
		if withCapacity {
			part.ActiveCapacity = append(part.ActiveCapacity, b.ActiveCapacity[i])
		}
	}
	for _, id := range b.Remote {
		part := partWithSpace(string(id))
		part.Remote = append(part.Remote, string(id))
	}
	for _, address := range b.Forward {
		part := partWithSpace(address)
		part.Forward = append(part.Forward, address)
	}
	for _, id := range b.RemoteCoordinators {
		part := partWithSpace(string(id))
		part.RemoteCoordinators = append(part.RemoteCoordinators, string(id))
	}
	for _, id := range b.NonOwners {
		part := partWithSpace(string(id))
		part.NonOwners = append(part.NonOwners, string(id))
	}
	now := time.Now()
	for _, e := range b.Limits {
		limit := toRateLimit(e, now)
		part := partWithBytes(proto.Size(limit))
		part.Limits = append(part.Limits, limit)
	}
	for i, part := range parts {
		part.Part, part.Parts = uint32(i), uint32(len(parts))
	}
	return parts
}

// beaconAssembler reassembles beacons from their parts. It keeps the latest incomplete
// beacon of each sender.
type beaconAssembler map[string]*incompleteBeacon

type incompleteBeacon struct {
	sequence    uint64
	incarnation uint64
	parts       []*peerpb.Beacon
	missing     int
}

// add adds a part, which may be nil. It returns the beacon when all its parts have
// been added, and nil before.
func (a *beaconAssembler) add(b *peerpb.Beacon) *peerpb.Beacon {
	if b == nil || b.GetParts() <= 1 {
		return b
	}
	if b.GetParts() > maxBeaconParts || b.GetPart() >= b.GetParts() {
		return nil
	}
	if *a == nil || len(*a) > maxIncompleteBeacons {
		*a = beaconAssembler{}
	}
	key := b.GetVia() + " " + b.GetHost().GetId()
	partial := (*a)[key]
	if partial == nil || partial.sequence != b.GetSequence() || partial.incarnation != b.GetHost().GetIncarnation() || len(partial.parts) != int(b.GetParts()) {
		partial = &incompleteBeacon{sequence: b.GetSequence(), incarnation: b.GetHost().GetIncarnation(), parts: make([]*peerpb.Beacon, b.GetParts()), missing: int(b.GetParts())}
		(*a)[key] = partial
	}
	if partial.parts[b.GetPart()] == nil {
		partial.parts[b.GetPart()] = b
		partial.missing--
	}
	if partial.missing > 0 {
		return nil
	}
	delete(*a, key)
	complete := partial.parts[0]
	for _, part := range partial.parts[1:] {
		complete.Active = append(complete.Active, part.GetActive()...)
		complete.ActiveCapacity = append(complete.ActiveCapacity, part.GetActiveCapacity()...)
		complete.Remote = append(complete.Remote, part.GetRemote()...)
		complete.Forward = append(complete.Forward, part.GetForward()...)
		complete.RemoteCoordinators = append(complete.RemoteCoordinators, part.GetRemoteCoordinators()...)
		complete.NonOwners = append(complete.NonOwners, part.GetNonOwners()...)
		complete.Limits = append(complete.Limits, part.GetLimits()...)
	}
	return complete
}

// fromBeacon decodes a complete beacon.
func fromBeacon(pb *peerpb.Beacon) roster.Beacon {
	b := roster.Beacon{
		From:     fromRegisteredHost(pb.GetHost()),
		Sequence: pb.GetSequence(),
		Leaving:  pb.GetLeaving(),
		Isolated: pb.GetIsolated(),
		Active:   hostIDs(pb.GetActive()),
		Remote:   hostIDs(pb.GetRemote()),
		State:    fromState(pb.GetState()),
		Forward:  slices.Clone(pb.GetForward()),

		ActiveCapacity:     slices.Clone(pb.GetActiveCapacity()),
		RemoteCoordinators: hostIDs(pb.GetRemoteCoordinators()),
		RegionSize:         int(min(pb.GetRegionSize(), maxRegionSize)),
		FollowerShare:      fraction(pb.GetFollowerShare()),
		NonOwners:          hostIDs(pb.GetNonOwners()),
		Successors:         slices.Clone(pb.GetSuccessors()),
	}
	now := time.Now()
	for _, l := range pb.GetLimits() {
		b.Limits = append(b.Limits, fromRateLimit(l, now))
	}
	return b
}

func hostIDs(names []string) []ident.HostID {
	var list []ident.HostID
	for _, name := range names {
		list = append(list, ident.HostID(name))
	}
	return list
}
