package member

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// State is the state of a host in another host's list.
type State int

// States of a host. Within one incarnation and epoch a higher state replaces a
// lower one.
const (
	// Alive: the host answers, as far as is known.
	Alive State = iota
	// Suspect: neither a direct nor an indirect probe was answered.
	Suspect
	// Failed: a suspicion was not refuted in time.
	Failed
	// Left: the host said that it has stopped.
	Left
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"alive", "suspect", "failed", "left"}[s] }

// Version orders what is said about a host.
type Version struct {
	// Incarnation numbers the lives of the host. Tickets are bound to it.
	Incarnation ident.Incarnation
	// Epoch is raised by the host itself to refute a suspicion, and to
	// announce that it leaves.
	Epoch uint32
}

// Before reports whether v is older than o.
func (v Version) Before(o Version) bool {
	if v.Incarnation != o.Incarnation {
		return v.Incarnation < o.Incarnation
	}
	return v.Epoch < o.Epoch
}

// Info is what a host says about itself.
type Info struct {
	ID       ident.HostID
	Version  Version
	Location ident.Location
	// PeerAddress, CallerAddress and AdminAddress are IP:port.
	PeerAddress   string
	CallerAddress string
	AdminAddress  string
	// Leaving tells that the host takes no new callers.
	Leaving bool
	// Successor is the host that took over the tickets, once handed over.
	Successor ident.HostID
}

// Node is a host in the list.
type Node struct {
	Info
	State State
	// Digest is the configuration that the host last reported.
	Digest Digest
	// ListedLeaving tells that the platform's host list shows it as leaving.
	ListedLeaving bool
	// Confirmed tells that the host was heard of in the protocol, not only in
	// the host list, which may show hosts that are long gone.
	Confirmed bool
}

// IsLeaving reports whether the host takes no new callers.
func (n *Node) IsLeaving() bool { return n.Leaving || n.ListedLeaving }

// Digest says how far a host has applied the log.
type Digest struct {
	AsOf     int64
	Revision uint64
	// LogAge is the time since the host, or one that it heard of, was in contact
	// with the log service.
	LogAge time.Duration
}

// Update is a statement about a host that travels on messages.
type Update struct {
	Info
	State State
}

// replaces reports whether an update changes what is known.
func (u Update) replaces(n *Node) bool {
	if n.Version != u.Version {
		return n.Version.Before(u.Version)
	}
	return u.State > n.State
}
