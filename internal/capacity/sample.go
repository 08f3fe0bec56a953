package capacity

import (
	"fmt"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/serving"
)

func serviceName(i int) ident.ServiceName { return ident.ServiceName(fmt.Sprintf("service-%04d", i)) }

func hostID(i int) ident.HostID { return ident.HostID(fmt.Sprintf("host-%04d", i)) }

// location returns the location of the i-th host or target. Consecutive numbers are
// distributed over the zones, and the zones over the regions.
func (s Size) location(i int) ident.Location {
	zone := i % s.Zones
	return ident.Location{
		Region: ident.Region(fmt.Sprintf("region-%d", zone%s.Regions)),
		Zone:   ident.Zone(fmt.Sprintf("zone-%d", zone)),
	}
}

func (s Size) hosts() []serving.Host {
	hosts := make([]serving.Host, s.Hosts)
	for i := range hosts {
		hosts[i] = serving.Host{ID: hostID(i), Location: s.location(i)}
	}
	return hosts
}

// document returns a sample document with the numbers of objects in s.
func (s Size) document() *document.Document {
	doc := &document.Document{Format: document.FormatVersion, Name: "capacity"}
	for r := range s.Regions {
		region := document.Region{Name: ident.Region(fmt.Sprintf("region-%d", r))}
		for z := r; z < s.Zones; z += s.Regions {
			region.Zones = append(region.Zones, ident.Zone(fmt.Sprintf("zone-%d", z)))
		}
		doc.Regions = append(doc.Regions, region)
	}
	for i := range s.Services {
		doc.Services = append(doc.Services, s.service(i))
	}
	for i := range s.Routes {
		doc.Routes = append(doc.Routes, sampleRoute(i, s.Services))
	}
	return doc
}

func sampleRoute(i, services int) document.Route {
	return document.Route{
		Name:       fmt.Sprintf("route-%05d", i),
		PathPrefix: fmt.Sprintf("/team-%05d/orders", i),
		Methods:    []string{"GET"},
		Service:    serviceName(i % services),
		Class:      "lookup",
	}
}

func (s Size) service(i int) document.Service {
	svc := document.Service{
		Name:         serviceName(i),
		ServingHosts: servingHosts,
		// The durations of the classes are in nanoseconds.
		Classes: []document.Class{
			{Name: "lookup", Idempotent: true, Floor: 0.5, Deadline: 2e9, AttemptTimeout: 1e9, MaxRequestBytes: 1 << 20},
			{Name: "order", Floor: 0.5, Deadline: 5e9, AttemptTimeout: 5e9, NotRunStatuses: []int{503}, MaxRequestBytes: 1 << 20},
		},
		Health: document.Health{Balance: 0.5, FailureStatuses: []int{500, 502, 504}, ShedStatuses: []int{429, 503}},
		Limits: document.Limits{QueueLength: 64},
		Retry:  document.Retry{Budget: 0.1, MaxAttempts: 3},
	}
	for j := i; j < s.Targets; j += s.Services {
		svc.Targets = append(svc.Targets, document.Target{
			Name:        ident.TargetID(fmt.Sprintf("%s-%02d", svc.Name, len(svc.Targets))),
			Address:     fmt.Sprintf("10.%d.%d.%d:8080", j>>16&255, j>>8&255, j&255),
			Zone:        s.location(len(svc.Targets)).Zone,
			Slots:       s.SlotsPerTarget,
			Connections: targetConnections,
		})
	}
	return svc
}

// Default settings of documents that the formulas use.
const (
	// servingHosts is the number of serving hosts of a service in a region.
	servingHosts = 4
	// targetConnections is the number of connections that a target accepts.
	targetConnections = 330
)
