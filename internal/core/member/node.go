package member

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// State is the state of a host in the list of another host.
type State int

// States of a host. Within one incarnation and epoch a higher state replaces a
// lower one.
const (
	// Alive: the host is assumed to respond.
	Alive State = iota
	// Suspect: direct and indirect probes got no reply.
	Suspect
	// Failed: the suspicion was not refuted within the timeout.
	Failed
	// Left: the host announced that it has stopped.
	Left
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"alive", "suspect", "failed", "left"}[s] }

// Version orders the updates about a host.
type Version struct {
	// Incarnation identifies one run of the host between restarts and pauses.
	// Tickets are bound to it.
	Incarnation ident.Incarnation
	// Epoch is raised by the host itself to refute a suspicion or to announce a
	// change, such as its departure.
	Epoch uint32
}

// Before reports whether v is older than o.
func (v Version) Before(o Version) bool {
	if v.Incarnation != o.Incarnation {
		return v.Incarnation < o.Incarnation
	}
	return v.Epoch < o.Epoch
}

// Info is the information that a host reports about itself.
type Info struct {
	ID       ident.HostID
	Version  Version
	Location ident.Location
	// PeerAddress, CallerAddress and AdminAddress are IP:port.
	PeerAddress   string
	CallerAddress string
	AdminAddress  string
	// Leaving is set if the host accepts no new callers.
	Leaving bool
	// Successor is the host that took over the tickets, empty before the
	// handover.
	Successor ident.HostID
}

// Node is a host in the list.
type Node struct {
	Info
	State State
	// Digest is the digest that the host last reported.
	Digest Digest
	// ListedLeaving is set if the platform's host list shows the host as leaving.
	ListedLeaving bool
	// Confirmed is set if the host is known from protocol messages and not only
	// from the host list, which may contain hosts that no longer exist.
	Confirmed bool
}

// IsLeaving reports whether the host accepts no new callers.
func (n *Node) IsLeaving() bool { return n.Leaving || n.ListedLeaving }

// Digest describes the position up to which a host has applied the log.
type Digest struct {
	AsOf     int64
	Revision uint64
	// LogAge is the time since any host last reached the log service, as far as
	// the reporting host knows from its own contacts and the digests of others.
	LogAge time.Duration
}

// Update is a state update about a host, piggybacked on messages.
type Update struct {
	Info
	State State
}

// replaces reports whether an update supersedes the known state.
func (u Update) replaces(n *Node) bool {
	if n.Version != u.Version {
		return n.Version.Before(u.Version)
	}
	return u.State > n.State
}
