// Package port defines the interfaces between the application and external systems: the platform's
// services and the other hosts.
package port

import (
	"context"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Host describes a sapphirehaven host to other hosts.
type Host struct {
	ID          ident.HostID
	Incarnation ident.Incarnation
	Location    ident.Location
	// CallerAddress, AdminAddress and PeerAddress have the form IP:port.
	CallerAddress string
	AdminAddress  string
	PeerAddress   string
	// Leaving reports that the host accepts no new callers.
	Leaving bool
}

// HostList is the platform's list of hosts, which lags behind the actual state.
type HostList interface {
	// Hosts returns the listed hosts.
	Hosts(ctx context.Context) ([]Host, error)
}
