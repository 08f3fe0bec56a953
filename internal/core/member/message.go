package member

import (
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Kind is the type of a message.
type Kind int

// Kinds of messages.
const (
	// Ping asks the receiver for an Ack.
	Ping Kind = iota + 1
	// Ack answers a Ping or, through another host, a PingRequest.
	Ack
	// PingRequest asks the receiver to ping Subject and pass on its Ack.
	PingRequest
)

// Message travels in one datagram.
type Message struct {
	Kind Kind
	// Sequence pairs a reply with its request.
	Sequence uint64
	// To is the incarnation of the receiver that the sender of an Ack answers;
	// an Ack to an older incarnation is dropped.
	ToIncarnation ident.Incarnation
	// From is the sender.
	From Info
	// Subject is the host that a PingRequest asks about, and that an Ack on its
	// behalf confirms; empty when the sender reports on itself.
	Subject ident.HostID
	// SubjectAddress is the peer address of Subject in a PingRequest.
	SubjectAddress string
	Updates        []Update
	Digest         Digest
}

// Action is one thing that the driver has to do.
type Action interface{ action() }

// Send asks the driver to send a message to a peer address.
type Send struct {
	Address string
	Message Message
}

// Changed reports a change of a host's state.
type NodeChanged struct {
	Node     Node
	Previous State
	// Joined tells that the host was unknown before, or has a new incarnation.
	Joined bool
	// LeavingChanged tells that the host announced that it leaves.
	LeavingChanged bool
}

// Resumed reports that this host was paused and has a new incarnation. Work
// under the previous one must stop.
type IncarnationChanged struct {
	Previous, Current ident.Incarnation
	// PausedFor is the time between the two ticks around the pause.
	PausedForMs int64
}

// Heard reports the configuration of another host.
type DigestReceived struct {
	Host   ident.HostID
	Digest Digest
}

// Superseded reports that another process uses this host's ID under a later
// incarnation: a replacement, or a mistake in the settings.
type Superseded struct{ Other Info }

func (Send) action()       {}
func (NodeChanged) action()    {}
func (IncarnationChanged) action()    {}
func (DigestReceived) action()      {}
func (Superseded) action() {}
