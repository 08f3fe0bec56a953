package port

import (
	"context"
	"slices"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
)

// TargetObservation is what a host saw at a target since its last message.
type TargetObservation struct {
	Service ident.ServiceName
	Target  ident.TargetID
	// Started is the number of attempts that began.
	Started   int
	Successes int
	Failures  int
	// InFlight is the number of the host's attempts at the target now.
	InFlight int
}

// ServiceOutcomes counts the requests for a service that ended at a host since its
// last message, and those of them that were not served.
type ServiceOutcomes struct {
	Service  ident.ServiceName
	Ended    int
	Unserved int
}

// Observations is what a host saw since its last message.
type Observations struct {
	Targets  []TargetObservation
	Services []ServiceOutcomes
}

// Empty reports whether there is nothing to tell.
func (o Observations) Empty() bool { return len(o.Targets) == 0 && len(o.Services) == 0 }

// AddServices takes the counts of a later message of the same host.
func (o *Observations) AddServices(later []ServiceOutcomes) {
	for _, s := range later {
		i := slices.IndexFunc(o.Services, func(known ServiceOutcomes) bool { return known.Service == s.Service })
		if i < 0 {
			o.Services = append(o.Services, s)
			continue
		}
		o.Services[i].Ended += s.Ended
		o.Services[i].Unserved += s.Unserved
	}
}

// FleetHandler takes the datagrams of the other hosts.
type FleetHandler interface {
	Report(from Caller, r roster.Report)
	// Beacon takes a beacon that the host at the peer address via sent or passed on.
	Beacon(from Caller, via string, b roster.Beacon)
	Welcome(from Caller, w roster.Welcome)
	// Confirmation says that another host has read the store.
	Confirmation(from Caller, s roster.State)
	Observations(from Caller, o Observations)
}

// RegistryCopy is what a host knows of the registry beyond what another has.
type RegistryDelta struct {
	State roster.State
	// Configuration is nil if it is not newer.
	Configuration         *registry.Configuration
	ConfigurationPosition int64
	Targets               []registry.TargetRecord
	TargetsPosition       int64
	Hosts                 []registry.Host
}

// FleetServer serves the calls of the other hosts.
type FleetServer interface {
	// Copy returns what this host knows beyond a state.
	Copy(have roster.State) RegistryDelta
}

// Fleet sends messages to the other hosts of the region.
type Fleet interface {
	SendReport(address string, r roster.Report) error
	SendBeacon(address string, b roster.Beacon) error
	SendWelcome(address string, w roster.Welcome) error
	SendConfirmation(address string, s roster.State) error
	SendObservations(address string, o Observations) error
	// Pull returns what the host at an address knows beyond a state. ctx bounds it.
	Pull(ctx context.Context, address string, have roster.State) (RegistryDelta, error)
}
