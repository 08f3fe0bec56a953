package app

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// Status implements admin.Host.
func (h *Host) Status() adminapi.Status {
	config := h.follower.Status()
	status := adminapi.Status{
		Host:         h.settings.HostID,
		Incarnation:  uint64(h.identity.Sender().Incarnation),
		Region:       h.settings.Region,
		Zone:         h.settings.Zone,
		Draining:     h.draining.Load(),
		InFlight:     h.ingress.InFlight(),
		Hash:         config.Chain.String(),
		AsOf:         config.AsOf,
		LogAvailable: config.LogErr == nil && h.disseminator.sinceLogContact() < logContactTimeout,
		ReadsLog:     config.Reading,
		Services:     []adminapi.Service{},
	}
	active := h.ingress.ActiveConfig()
	if active == nil {
		return status
	}
	status.Revision = active.Revision
	status.InForceAt = time.UnixMicro(h.activatedAt.Load()).UTC()
	served := h.directory.servedServices(ident.HostID(h.settings.HostID))
	for name, backend := range active.Backends {
		status.Services = append(status.Services, serviceStatus(name, backend, served[name]))
	}
	return status
}

func serviceStatus(name ident.ServiceName, backend *ingress.Backend, serves bool) adminapi.Service {
	svc := adminapi.Service{Name: string(name), Serving: serves, Targets: []adminapi.Target{}}
	service, targets := backend.Engine.Status()
	svc.Queued = service.Waiting
	for _, t := range targets {
		target := adminapi.Target{
			Name:     string(t.Target),
			State:    t.State.String(),
			Weight:   t.Weight,
			InFlight: t.InFlight,
			Score:    t.Score,
			Leaving:  t.Leaving,
		}
		if t.RateLimited {
			target.RateLimit = &t.RateLimit
		}
		if t.PauseLeft > 0 {
			left := t.PauseLeft.Seconds()
			target.PauseSeconds = &left
		}
		svc.Targets = append(svc.Targets, target)
	}
	return svc
}

// Members implements admin.Host.
func (h *Host) Members() []adminapi.Member {
	self := h.membership.self()
	members := []adminapi.Member{apiMember(self, "self")}
	for _, n := range h.membership.nodes() {
		state := n.State.String()
		if n.State == member.Alive && n.IsLeaving() {
			state = "leaving"
		}
		members = append(members, apiMember(portHost(&n), state))
	}
	return members
}

func apiMember(m port.Host, state string) adminapi.Member {
	return adminapi.Member{
		Host:          string(m.ID),
		Incarnation:   uint64(m.Incarnation),
		Region:        string(m.Location.Region),
		Zone:          string(m.Location.Zone),
		CallerAddress: m.CallerAddress,
		AdminAddress:  m.AdminAddress,
		State:         state,
	}
}

// Timeline implements admin.Host.
func (h *Host) Timeline() []adminapi.Event {
	events := []adminapi.Event{}
	for _, e := range h.timeline.Events() {
		events = append(events, apiEvent(e))
	}
	return events
}

func apiEvent(e event.Event) adminapi.Event {
	out := adminapi.Event{WallMicros: e.Stamp.WallMicros, Logical: e.Stamp.Logical, Host: string(e.Host), Kind: string(e.Kind), Fields: []string{}}
	for _, f := range e.Fields {
		out.Fields = append(out.Fields, f.Key+"="+f.Value)
	}
	return out
}
