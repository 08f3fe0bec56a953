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
	"github.com/sapphirehaven/sapphirehaven/internal/core/retry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/route"
	"github.com/sapphirehaven/sapphirehaven/internal/engine"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// services holds the engines of a host's services and activates documents.
type services struct {
	self      dispatch.Self
	transport *target.Transport
	recorder  engine.Recorder
	// serves reports whether this host is a serving host of a service. By default it serves all.
	serves func(ident.ServiceName) bool

	mu      sync.Mutex
	engines map[ident.ServiceName]*engine.Service
	// removed holds the closed engines of services that are not in the configuration any more.
	removed removedEngines
	active  *ingress.ActiveConfig
}

func newServices(self dispatch.Self, transport *target.Transport, recorder engine.Recorder) *services {
	return &services{
		self:      self,
		transport: transport,
		recorder:  recorder,
		serves:    func(ident.ServiceName) bool { return true },
		engines:   map[ident.ServiceName]*engine.Service{},
		removed:   removedEngines{},
	}
}

// apply reconfigures the engines for a revision and returns its configuration, which requests use after
// ingress.Server.Activate. Engines of services that remain or return keep their state.
func (s *services) apply(revision uint64, doc *document.Document) *ingress.ActiveConfig {
	return s.applyWithRoutes(revision, doc, route.New(doc.Routes), dispatchConfig)
}

// applyWithRoutes is like apply, but takes compiled routes and a builder of the dispatcher
// configurations.
func (s *services) applyWithRoutes(revision uint64, doc *document.Document, routes *route.Table, config configBuilder) *ingress.ActiveConfig {
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
		active.Backends[svc.Name] = s.buildBackend(doc, svc, regions, config(revision, doc, svc))
	}
	for name, e := range s.engines {
		if active.Backends[name] == nil {
			e.Close()
			delete(s.engines, name)
			s.removed.add(name, e, time.Now())
		}
	}
	s.active = active
	s.transport.SetCrossRegionRate(crossRegionRate(doc))
	return active
}

// crossRegionRate returns the lowest configured rate limit of uploads across regions in bytes per
// second, because all uploads of a host share one rate limiter. 0 means no limit.
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

// configBuilder converts a service of the document to the configuration of its dispatcher.
type configBuilder func(revision uint64, doc *document.Document, s *document.Service) dispatch.Config

// buildBackend builds the backend of a service and creates or reconfigures its engine. The caller
// holds the lock.
func (s *services) buildBackend(doc *document.Document, svc *document.Service, regions map[ident.Zone]ident.Region, cfg dispatch.Config) *ingress.Backend {
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
	b.Engine = s.configureEngine(cfg)
	return b
}

// configureEngine creates, reconfigures or reopens the engine of a service. The caller holds the
// lock.
func (s *services) configureEngine(cfg dispatch.Config) *engine.Service {
	if e := s.engines[cfg.Service]; e != nil {
		e.Configure(cfg)
		return e
	}
	e := s.removed.take(cfg.Service)
	if e != nil {
		e.Reopen(cfg)
	} else {
		e = engine.NewService(cfg, s.self, seed(s.self.Host, cfg.Service), s, s.recorder)
	}
	s.engines[cfg.Service] = e
	return e
}

// seed returns a seed that differs between hosts, so that hosts do not make the same choices
// at the same time.
func seed(host ident.HostID, service ident.ServiceName) uint64 {
	h := fnv.New64a()
	h.Write([]byte(host))
	h.Write([]byte{0})
	h.Write([]byte(service))
	return h.Sum64()
}

// activeConfig returns the active configuration, or nil if there is none.
func (s *services) activeConfig() *ingress.ActiveConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

// Probes implements engine.Prober. Only the serving hosts of a service probe its targets: a probe
// takes a target about 25 ms, so that probes by all hosts would use most of its capacity.
func (s *services) Probes(service ident.ServiceName) bool { return s.serves(service) }

// Probe implements engine.Prober.
func (s *services) Probe(ctx context.Context, service ident.ServiceName, id ident.TargetID) (bool, time.Duration) {
	active := s.activeConfig()
	if active == nil || active.Backends[service] == nil {
		return false, 0
	}
	backend := active.Backends[service]
	endpoint, ok := backend.Targets[id]
	if !ok {
		return false, 0
	}
	result := s.transport.Probe(ctx, target.ProbeRequest{Address: endpoint.Address, Path: backend.Service.Health.ProbePath, NewConnection: true})
	return result.OK, result.Latency
}

func (s *services) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		e.Close()
	}
}

// hasUnsharedFailure reports whether a failure at a target has not been sent to other hosts yet.
func (s *services) hasUnsharedFailure() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		if e.Urgent() {
			return true
		}
	}
	return false
}

// reportHostLoss notifies the engines that hosts were lost.
func (s *services) reportHostLoss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		e.ReportHostLoss()
	}
}

// setLinkUtilization passes the utilization of the link between regions to the engines.
func (s *services) setLinkUtilization(utilization float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		e.SetLinkUtilization(utilization)
	}
}

// takeObservations returns and resets the observations that have not been sent to other hosts.
func (s *services) takeObservations() port.Observations {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out port.Observations
	for name, e := range s.engines {
		observations := e.TakeObservations()
		if observations.Ended > 0 || observations.FloorUnserved > 0 || observations.Retries.Own != (retry.Usage{}) || !observations.Demand.Empty() {
			out.Services = append(out.Services, port.ServiceOutcomes{
				Service: name, Ended: observations.Ended, Unserved: observations.Unserved, FloorUnserved: observations.FloorUnserved, Retries: observations.Retries, Demand: observations.Demand,
			})
		}
		out.CrossRegion.Add(observations.CrossRegion)
		for _, l := range observations.Leaving {
			out.Leaving = append(out.Leaving, port.LeavingTarget{Service: name, Target: l.Process.Target, StartUnixMilli: l.Process.StartUnixMilli, Age: l.Age})
		}
		for _, o := range observations.Targets {
			out.Targets = append(out.Targets, port.TargetObservation{Service: name, Target: o.Target, Started: o.Started, Successes: o.Successes, Failures: o.Failures, InFlight: o.InFlight})
		}
	}
	return out
}
