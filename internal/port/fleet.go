package port

import (
	"context"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/admission"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/locality"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
)

// TargetObservation counts a host's attempts at a target since its last message.
type TargetObservation struct {
	Service ident.ServiceName
	Target  ident.TargetID
	// Started is the number of attempts started.
	Started   int
	Successes int
	Failures  int
	// InFlight is the current number of attempts of the host at the target.
	InFlight int
}

// ServiceOutcomes counts the requests for a service that ended at a host since its last message. Unserved
// is the number of them that were not served.
type ServiceOutcomes struct {
	Service  ident.ServiceName
	Ended    int
	Unserved int
	// FloorUnserved counts the requests that were sent to maintain the floor and not served, which the
	// other counts do not include.
	FloorUnserved int
	// Retries is the host's report on the retry budget.
	Retries retry.Report
	// Demand is the host's report for the admission levels.
	Demand admission.Report
}

// LeavingTarget tells that a target process stated in a response that it is leaving.
type LeavingTarget struct {
	Service        ident.ServiceName
	Target         ident.TargetID
	StartUnixMilli int64
	// Age is the time since the first known response that stated it.
	Age time.Duration
}

// Observations holds a host's observations since its last message.
type Observations struct {
	Targets  []TargetObservation
	Services []ServiceOutcomes
	Leaving  []LeavingTarget
	// CrossRegion counts the bytes exchanged with targets of other regions.
	CrossRegion locality.Bytes
}

// Empty reports whether there are no observations.
func (o Observations) Empty() bool {
	return len(o.Targets) == 0 && len(o.Services) == 0 && len(o.Leaving) == 0 && o.CrossRegion == locality.Bytes{}
}

// AddForRegions adds the parts of a later message of the same host that also go to other regions: the
// outcomes of requests, and the bytes on the link that the regions share.
func (o *Observations) AddForRegions(later Observations) {
	o.CrossRegion.Add(later.CrossRegion)
	for _, s := range later.Services {
		i := slices.IndexFunc(o.Services, func(known ServiceOutcomes) bool { return known.Service == s.Service })
		if i < 0 {
			o.Services = append(o.Services, s)
			continue
		}
		o.Services[i].Ended += s.Ended
		o.Services[i].Unserved += s.Unserved
		o.Services[i].FloorUnserved += s.FloorUnserved
		o.Services[i].Retries.Own.Requests += s.Retries.Own.Requests
		o.Services[i].Retries.Own.Retries += s.Retries.Own.Retries
		o.Services[i].Retries.Fleet = s.Retries.Fleet
		o.Services[i].Demand.Add(s.Demand)
	}
}

// MaxPermitEntries bounds the targets in one permit request or response, so that it fits
// into a datagram.
const MaxPermitEntries = 12

// FleetHandler handles datagrams from other hosts.
type FleetHandler interface {
	Report(from Sender, r roster.Report)
	// Beacon handles a beacon that was sent or forwarded by the host with the peer address via.
	Beacon(from Sender, via string, b roster.Beacon)
	Welcome(from Sender, w roster.Welcome)
	// Confirmation handles the message of another host that it has read the store.
	Confirmation(from Sender, s roster.State)
	Observations(from Sender, o Observations)
	// PermitRequest handles a request for permits for targets in this host's region.
	PermitRequest(from Sender, r ratelimit.Request)
	// PermitResponse handles a response to a permit request of this host.
	PermitResponse(from Sender, r ratelimit.Response)
	// TeamPermitRequest handles a request for permits of teams that this host may own.
	TeamPermitRequest(from Sender, r ratelimit.Request)
	// TeamPermitResponse handles a response to a permit request of this host for teams.
	TeamPermitResponse(from Sender, r ratelimit.Response)
}

// RegistryDelta contains the parts of a host's registry replica that are newer than another host's.
type RegistryDelta struct {
	State roster.State
	// Configuration is nil if it is not newer than the other host's.
	Configuration         *registry.Configuration
	ConfigurationPosition registry.Position
	Targets               registry.Changes
	Hosts                 []registry.Host
	// RemovedHosts holds the hosts that were recently removed from the registry.
	RemovedHosts []registry.RemovedHost
}

// FleetServer serves calls from other hosts.
type FleetServer interface {
	// Copy returns the parts of this host's replica that are newer than the given state.
	ChangesSince(have roster.State) RegistryDelta
}

// Fleet sends messages to other hosts of the same region and, for beacons and observations, of other
// regions.
type Fleet interface {
	SendReport(address string, r roster.Report) error
	SendBeacon(address string, b roster.Beacon) error
	SendWelcome(address string, w roster.Welcome) error
	SendConfirmation(address string, s roster.State) error
	SendObservations(address string, o Observations) error
	// Pull returns the parts of the replica of the host at an address that are newer than the given
	// state. ctx limits its duration.
	Pull(ctx context.Context, address string, have roster.State) (RegistryDelta, error)
}
