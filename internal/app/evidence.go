package app

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/serving"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// exchangeInterval is the time between two exchanges of health evidence with
// the other serving hosts.
const exchangeInterval = time.Second

// evidence exchanges health evidence among the hosts that serve the same
// service.
type evidence struct {
	services *services
	fleet    *fleet
	peers    port.Peers
	identity *identity
	log      logrus.FieldLogger
}

// run exchanges evidence until ctx ends.
func (e *evidence) run(ctx context.Context) {
	for ctx.Err() == nil {
		e.exchangeAll(ctx)
		sleep(ctx, exchangeInterval)
	}
}

// exchangeAll calls every host that shares a service, at the same time, so that
// a silent host does not delay the others.
func (e *evidence) exchangeAll(ctx context.Context) {
	own := e.own()
	var calls sync.WaitGroup
	for address, names := range e.partners() {
		calls.Add(1)
		go func() {
			defer calls.Done()
			replies, err := e.peers.Exchange(ctx, address, choose(own, names))
			if err != nil {
				e.log.WithError(err).Debug("evidence was not exchanged")
				return
			}
			e.merge(replies)
		}()
	}
	calls.Wait()
}

// own returns this host's report for every service. Each report has its own
// sequence number, so it is made once for all partners.
func (e *evidence) own() map[ident.ServiceName]port.ServiceEvidence {
	reports := map[ident.ServiceName]port.ServiceEvidence{}
	active := e.services.current()
	if active == nil {
		return reports
	}
	caller := e.identity.Caller()
	for name, backend := range active.Backends {
		report := backend.Engine.Evidence()
		report.Host, report.Incarnation = caller.Host, caller.Incarnation
		reports[name] = port.ServiceEvidence{Service: name, Evidence: report}
	}
	return reports
}

// partners returns the services that this host shares with each other serving
// host, by peer address. Of two hosts the one with the lower ID calls; the
// reply carries the other's evidence.
func (e *evidence) partners() map[string][]ident.ServiceName {
	shared := map[string][]ident.ServiceName{}
	active := e.services.current()
	if active == nil {
		return shared
	}
	hosts := e.fleet.Serving()
	byID := map[ident.HostID]port.Host{}
	for _, h := range hosts {
		byID[h.ID] = h
	}
	for name, backend := range active.Backends {
		set := servingEverywhere(name, backend.Service.ServingHosts, ingress.ServingHosts(hosts))
		if !contains(set, e.identity.host) {
			continue
		}
		for _, h := range set {
			if e.identity.host < h.ID {
				address := byID[h.ID].PeerAddress
				shared[address] = append(shared[address], name)
			}
		}
	}
	return shared
}

// servingEverywhere returns the serving hosts of a service in all regions.
func servingEverywhere(name ident.ServiceName, size int, hosts []serving.Host) []serving.Host {
	seen := map[ident.Region]bool{}
	var all []serving.Host
	for _, h := range hosts {
		if !seen[h.Location.Region] {
			seen[h.Location.Region] = true
			all = append(all, serving.Set(name, h.Location.Region, size, hosts)...)
		}
	}
	return all
}

func contains(hosts []serving.Host, id ident.HostID) bool {
	for _, h := range hosts {
		if h.ID == id {
			return true
		}
	}
	return false
}

func choose(own map[ident.ServiceName]port.ServiceEvidence, names []ident.ServiceName) []port.ServiceEvidence {
	var list []port.ServiceEvidence
	for _, name := range names {
		if report, ok := own[name]; ok {
			list = append(list, report)
		}
	}
	return list
}

func (e *evidence) merge(reports []port.ServiceEvidence) {
	active := e.services.current()
	if active == nil {
		return
	}
	for _, r := range reports {
		if backend := active.Backends[r.Service]; backend != nil {
			backend.Engine.Merge(r.Evidence)
		}
	}
}

// answer takes another host's evidence and returns this host's for the same
// services.
func (e *evidence) answer(reports []port.ServiceEvidence) []port.ServiceEvidence {
	e.merge(reports)
	var names []ident.ServiceName
	for _, r := range reports {
		names = append(names, r.Service)
	}
	return choose(e.own(), names)
}
