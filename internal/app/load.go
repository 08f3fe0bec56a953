package app

import (
	"context"
	"sync"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Parameters of load reports.
const (
	// loadInterval is the time between two reads of the load report of a target. Reports expire
	// within 3 s.
	loadInterval = time.Second
	// maxLoadReads limits the number of concurrent reads.
	maxLoadReads = 32
)

// readLoads reads the load reports of the targets in this host's region, for the services that this
// host serves, until ctx ends. Targets of other regions receive requests only if capacity is short, so
// their reports do not justify the traffic between regions.
func (s *services) readLoads(ctx context.Context) {
	for ctx.Err() == nil {
		if active := s.activeConfig(); active != nil {
			s.readAllLoads(ctx, active)
		}
		sleep(ctx, loadInterval)
	}
}

func (s *services) readAllLoads(ctx context.Context, active *ingress.ActiveConfig) {
	slots := make(chan struct{}, maxLoadReads)
	var reads sync.WaitGroup
	for name, backend := range active.Backends {
		if backend.Service.Health.LoadPath == "" || !s.serves(name) {
			continue
		}
		for id, endpoint := range backend.Targets {
			if endpoint.Region != s.self.Location.Region {
				continue
			}
			slots <- struct{}{}
			reads.Add(1)
			go func() {
				defer reads.Done()
				defer func() { <-slots }()
				s.readLoad(ctx, backend, id, endpoint)
			}()
		}
	}
	reads.Wait()
}

func (s *services) readLoad(ctx context.Context, backend *ingress.Backend, id ident.TargetID, endpoint ingress.Endpoint) {
	load, err := s.transport.LoadReport(ctx, target.ProbeRequest{Address: endpoint.Address, Path: backend.Service.Health.LoadPath})
	if err != nil {
		return
	}
	backend.Engine.LoadReport(dispatch.LoadReport{Target: id, InFlight: load.InFlight, Slots: load.Slots, Draining: load.Draining})
}
