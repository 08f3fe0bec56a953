// Package port defines the interfaces between the application and the outside:
// the platform's services and the other hosts.
package port

import (
	"context"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Host is one sapphirehaven host as others know it.
type Host struct {
	ID          ident.HostID
	Incarnation ident.Incarnation
	Location    ident.Location
	// CallerAddress, AdminAddress and PeerAddress are IP:port.
	CallerAddress string
	AdminAddress  string
	PeerAddress   string
	// Leaving tells that the host takes no new callers.
	Leaving bool
}

// HostList is the platform's list of hosts, which lags.
type HostList interface {
	// Hosts returns the hosts on the list.
	Hosts(ctx context.Context) ([]Host, error)
}
