package app

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/route"
	"github.com/sapphirehaven/sapphirehaven/internal/engine"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// services holds the dispatchers of a host and puts documents in force.
type services struct {
	self      dispatch.Self
	transport *target.Transport
	recorder  engine.Recorder
	// serves tells whether this host is a serving host of a service; by default
	// it is one of all.
	serves func(ident.ServiceName) bool

	mu      sync.Mutex
	engines map[ident.ServiceName]*engine.Service
	active  *ingress.ActiveConfig
}

func newServices(self dispatch.Self, transport *target.Transport, recorder engine.Recorder) *services {
	return &services{
		self:      self,
		transport: transport,
		recorder:  recorder,
		serves:    func(ident.ServiceName) bool { return true },
		engines:   map[ident.ServiceName]*engine.Service{},
	}
}

// activate builds the configuration of a revision. Dispatchers of services that
// stay keep their state.
func (s *services) activate(revision uint64, doc *document.Document) *ingress.ActiveConfig {
	return s.activateRoutes(revision, doc, route.New(doc.Routes), dispatchConfig)
}

// activateRoutes builds the configuration of a revision whose routes are compiled.
func (s *services) activateRoutes(revision uint64, doc *document.Document, routes *route.Table, config configBuilder) *ingress.ActiveConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := &ingress.ActiveConfig{
		Revision: revision,
		Routes:   routes,
		Backends: make(map[ident.ServiceName]*ingress.Backend, len(doc.Services)),
	}
	regions := zoneRegions(doc)
	for i := range doc.Services {
		svc := &doc.Services[i]
		active.Backends[svc.Name] = s.backend(doc, svc, regions, config(revision, doc, svc))
	}
	for name, e := range s.engines {
		if active.Backends[name] == nil {
			e.Close()
			delete(s.engines, name)
		}
	}
	s.active = active
	s.transport.SetCrossRegionRate(crossRegionRate(doc))
	return active
}

// crossRegionRate returns the smallest configured pace of uploads in bytes per
// second, because all uploads of a host share one pacer; 0 means no limit.
func crossRegionRate(doc *document.Document) int64 {
	rate := int64(0)
	for _, svc := range doc.Services {
		for _, c := range svc.Classes {
			if c.Upload == nil || c.Upload.MaxBytesPerSecondAcrossRegions <= 0 {
				continue
			}
			if r := int64(c.Upload.MaxBytesPerSecondAcrossRegions); rate == 0 || r < rate {
				rate = r
			}
		}
	}
	return rate
}

// configBuilder translates a service of the document for its decider.
type configBuilder func(revision uint64, doc *document.Document, s *document.Service) dispatch.Config

func (s *services) backend(doc *document.Document, svc *document.Service, regions map[ident.Zone]ident.Region, cfg dispatch.Config) *ingress.Backend {
	b := &ingress.Backend{
		Service: svc,
		Targets: make(map[ident.TargetID]ingress.Endpoint, len(svc.Targets)),
		Classes: make(map[ident.ClassName]*document.Class, len(svc.Classes)),
	}
	for _, t := range svc.Targets {
		b.Targets[t.Name] = ingress.Endpoint{Address: t.Address, Region: regions[t.Zone]}
	}
	for i := range svc.Classes {
		b.Classes[svc.Classes[i].Name] = &svc.Classes[i]
	}
	b.Engine = s.engines[svc.Name]
	if b.Engine == nil {
		b.Engine = engine.NewService(cfg, s.self, seed(s.self.Host, svc.Name), s, s.recorder)
		s.engines[svc.Name] = b.Engine
	} else {
		b.Engine.Configure(cfg)
	}
	return b
}

// seed differs between hosts, so that they do not make the same choices at the
// same time.
func seed(host ident.HostID, service ident.ServiceName) uint64 {
	h := fnv.New64a()
	h.Write([]byte(host))
	h.Write([]byte{0})
	h.Write([]byte(service))
	return h.Sum64()
}

func (s *services) current() *ingress.ActiveConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Probes implements engine.Prober: only the serving hosts of a service probe its
// targets. A probe costs a target about 25 ms, so probes by every host would
// take most of its capacity.
func (s *services) Probes(service ident.ServiceName) bool { return s.serves(service) }

// Probe implements engine.Prober.
func (s *services) Probe(ctx context.Context, service ident.ServiceName, id ident.TargetID) (bool, time.Duration) {
	active := s.current()
	if active == nil || active.Backends[service] == nil {
		return false, 0
	}
	backend := active.Backends[service]
	endpoint, ok := backend.Targets[id]
	if !ok {
		return false, 0
	}
	result := s.transport.Probe(ctx, target.ProbeRequest{Address: endpoint.Address, Path: backend.Service.Health.ProbePath, Fresh: true})
	return result.OK, result.Latency
}

func (s *services) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		e.Close()
	}
}

// urgent reports whether a failure at a target was not shared yet.
func (s *services) urgent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		if e.Urgent() {
			return true
		}
	}
	return false
}

// unsettle tells the engines that hosts were lost.
func (s *services) unsettle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		e.ReportHostLoss()
	}
}

// takeObservations returns what the other hosts do not know yet.
func (s *services) takeObservations() port.Observations {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out port.Observations
	for name, e := range s.engines {
		seen := e.TakeObservations()
		if seen.Ended > 0 {
			out.Services = append(out.Services, port.ServiceOutcomes{Service: name, Ended: seen.Ended, Unserved: seen.Unserved})
		}
		for _, o := range seen.Targets {
			out.Targets = append(out.Targets, port.TargetObservation{Service: name, Target: o.Target, Started: o.Started, Successes: o.Successes, Failures: o.Failures, InFlight: o.InFlight})
		}
	}
	return out
}
