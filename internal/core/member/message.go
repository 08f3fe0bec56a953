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
	// Ack replies to a Ping or, through another host, to a PingRequest.
	Ack
	// PingRequest asks the receiver to ping Subject and forward its Ack.
	PingRequest
)

// Message is a protocol message; it is sent in one datagram.
type Message struct {
	Kind Kind
	// Sequence matches a reply to its request.
	Sequence uint64
	// ToIncarnation is the incarnation that the acknowledged message came from.
	// The receiver drops an Ack for another incarnation than its own.
	ToIncarnation ident.Incarnation
	From          Info
	// Subject is the host that a PingRequest asks to ping, or that a forwarded
	// Ack confirms; empty if the sender acknowledges for itself.
	Subject ident.HostID
	// SubjectAddress is the peer address of Subject in a PingRequest.
	SubjectAddress string
	Updates        []Update
	Digest         Digest
}

// Action is an operation that the driver has to carry out.
type Action interface{ action() }

// Send asks the driver to send a message to a peer address.
type Send struct {
	Address string
	Message Message
}

// NodeChanged reports a change of a host's state.
type NodeChanged struct {
	Node     Node
	Previous State
	// Joined is set if the host was unknown before or has a new incarnation.
	Joined bool
	// LeavingChanged is set if the leaving status of the host has changed.
	LeavingChanged bool
}

// IncarnationChanged reports that this host has a new incarnation, because it was
// paused or because an earlier process of it had a higher one. Operations under
// the previous incarnation must stop.
type IncarnationChanged struct {
	Previous, Current ident.Incarnation
	// PausedForMs is the time in milliseconds between the last tick before the
	// pause and the first one after it, 0 if there was no pause.
	PausedForMs int64
}

// DigestReceived reports the digest of another host.
type DigestReceived struct {
	Host   ident.HostID
	Digest Digest
}

// Superseded reports that another process uses this host's ID with a later
// incarnation, because it replaces this host or because of wrong settings.
type Superseded struct{ Other Info }

func (Send) action()               {}
func (NodeChanged) action()        {}
func (IncarnationChanged) action() {}
func (DigestReceived) action()     {}
func (Superseded) action()         {}
