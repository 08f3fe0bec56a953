package app

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// maxStoreAge is the age of the registry's replica below which the store is reported as available.
const maxStoreAge = 3 * time.Second

// Status implements admin.Host.
func (g *Gateway) Status() adminapi.Status {
	state := g.replica.State()
	status := adminapi.Status{
		Host:         string(g.settings.Host),
		Incarnation:  uint64(g.identity.Sender().Incarnation),
		Region:       string(g.settings.Location.Region),
		Zone:         string(g.settings.Location.Zone),
		Draining:     g.draining.Load(),
		InFlight:     g.ingress.InFlight(),
		AsOf:         state.TargetsChanged.Offset,
		LogAvailable: state.Age < maxStoreAge,
		ReadsLog:     role{g}.IsCoordinator(),
		Services:     []adminapi.Service{},
		Limits:       g.limitsStatus(),
	}
	status.Quotas, status.QuotasOmitted = g.quotas.status()
	active := g.ingress.ActiveConfig()
	if active == nil {
		return status
	}
	status.Revision = active.Revision
	status.InForceAt = time.UnixMicro(g.activatedAt.Load()).UTC()
	g.mu.Lock()
	serving := g.roster.IsActive()
	g.mu.Unlock()
	for name, backend := range active.Backends {
		status.Services = append(status.Services, serviceStatus(name, backend, serving))
	}
	return status
}

// Members implements admin.Host.
func (g *Gateway) Members() []adminapi.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	var members []adminapi.Member
	for _, m := range g.roster.Members(time.Now()) {
		host := port.Host{ID: m.ID, Incarnation: m.Incarnation, Location: m.Location, CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress}
		members = append(members, apiMember(host, m.State))
	}
	return members
}

// Timeline implements admin.Host.
func (g *Gateway) Timeline() []adminapi.Event {
	events := []adminapi.Event{}
	for _, e := range g.timeline.Events() {
		events = append(events, apiEvent(e))
	}
	return events
}
