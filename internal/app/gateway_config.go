package app

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/admin"
	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/core/route"
	"github.com/sapphirehaven/sapphirehaven/internal/discovery"
)

const (
	// retryRatioShare is the share of the repeats allowed for each request that
	// hosts use; a host that restarts forgets what it used.
	retryRatioShare = 0.9
	// activeShare and passiveShare are the shares of the allowance on top that
	// the active hosts and the others use. The others serve callers with old
	// addresses.
	activeShare  = 0.6
	passiveShare = 0.2
	// defaultConnections is the number of connections to a target when the
	// configuration states none.
	defaultConnections = 330
)

// compiled is the route table of a configuration. Targets change more often than
// routes, which need not be compiled again for them.
type compiled struct {
	configuration *registry.Configuration
	routes        *route.Table
}

// activateChanges puts each change of the registry in force.
func (g *Gateway) activateChanges(ctx context.Context) {
	for {
		select {
		case <-g.sync.Changed():
		case <-g.activeChanged:
		case <-ctx.Done():
			return
		}
		if g.activate(g.sync.Snapshot()) {
			g.stepRoster(func(now time.Time, r *roster.Roster) []roster.Action { return r.Announce(now) })
		}
	}
}

// activate puts a copy of the registry in force, unless it is already, and reports
// whether configuration or targets changed. Hosts that become known change nothing:
// hundreds do at once when a fleet starts.
func (g *Gateway) activate(s discovery.Snapshot) bool {
	g.mu.Lock()
	g.roster.Learn(s.Hosts)
	allowance := g.retryAllowance()
	g.mu.Unlock()
	changed := s.Generation != g.generation
	if !s.Complete || (!changed && allowance == g.allowance) {
		return false
	}
	g.generation, g.allowance = s.Generation, allowance
	c := s.Configuration
	fresh := g.compiled.configuration != c
	if fresh {
		g.compiled = compiled{configuration: c, routes: route.New(c.Document.Routes)}
	}
	doc := withTargets(c.Document, s.Targets)
	next := g.services.activateRoutes(c.Version, doc, g.compiled.routes, g.configBuilder(s.Targets, allowance))
	g.callers.limit(c.Callers)
	g.ingress.Activate(next)
	if fresh {
		g.inForceAt.Store(time.Now().UnixMicro())
		g.timeline.Record(event.ConfigurationInForce, event.F("revision", c.Version), event.F("routes", len(doc.Routes)))
	}
	return changed
}

// configBuilder adds to a service's configuration what the registry says of its
// targets, and this host's part of the allowed repeats.
func (g *Gateway) configBuilder(targets []registry.Entry, allowance float64) configBuilder {
	entries := make(map[ident.TargetID]registry.Entry, len(targets))
	for _, e := range targets {
		entries[e.ID] = e
	}
	return func(revision uint64, doc *document.Document, svc *document.Service) dispatch.Config {
		cfg := dispatchConfig(revision, doc, svc)
		cfg.RetryBudget = retryRatioShare * g.settings.RetryRatio
		cfg.RetryWindow = g.settings.RetryWindow
		cfg.RetryAllowance = allowance
		for i := range cfg.Targets {
			t := &cfg.Targets[i]
			e := entries[t.ID]
			t.Draining, t.Unregistered, t.WarmUntil, t.StartUnixMilli = e.Draining, !e.RemovedAt.IsZero(), e.WarmUntil, e.StartUnixMilli
		}
		return cfg
	}
}

// retryAllowance is this host's part of the repeats that are allowed on top of
// those for each request. The other regions have about as many active hosts. The
// caller holds the lock.
func (g *Gateway) retryAllowance() float64 {
	if g.roster.IsActive() {
		return activeShare * g.settings.RetrySlack / float64(g.roster.ActiveCount()*max(1, g.settings.Regions))
	}
	return passiveShare * g.settings.RetrySlack / float64(g.roster.Count())
}

// withTargets returns a document with the registered targets of its services.
func withTargets(doc *document.Document, entries []registry.Entry) *document.Document {
	out := *doc
	out.Services = make([]document.Service, len(doc.Services))
	at := make(map[ident.ServiceName]int, len(doc.Services))
	for i := range doc.Services {
		out.Services[i] = doc.Services[i]
		out.Services[i].Targets = nil
		at[doc.Services[i].Name] = i
	}
	for _, e := range entries {
		i, ok := at[e.Service]
		if !ok {
			continue
		}
		svc := &out.Services[i]
		connections := svc.Connections
		if connections <= 0 {
			connections = defaultConnections
		}
		svc.Targets = append(svc.Targets, document.Target{Name: e.ID, Address: e.Address, Zone: e.Zone, Slots: e.Slots, Connections: connections})
	}
	return &out
}

// publishedDocuments shows the configuration that operators publish through the
// platform. It takes none: the platform's store is the only way.
type publishedDocuments struct{ gateway *Gateway }

// errPublished explains why a document is not taken.
var errPublished = errors.New("this host takes its configuration from the platform; publish it there")

// Active implements admin.Documents.
func (d *publishedDocuments) Active() (adminapi.Document, error) {
	c := d.gateway.sync.Snapshot().Configuration
	if c == nil {
		return adminapi.Document{}, nil
	}
	text, err := yaml.Marshal(c.Document)
	return adminapi.Document{Revision: c.Version, YAML: string(text)}, errors.Wrap(err, "document")
}

// Validate implements admin.Documents.
func (d *publishedDocuments) Validate(text []byte) adminapi.ProposalResult {
	if _, err := document.Parse(text); err != nil {
		return invalid(err)
	}
	return adminapi.ProposalResult{Result: adminapi.ResultValid}
}

// Propose implements admin.Documents.
func (d *publishedDocuments) Propose(context.Context, admin.Proposal) adminapi.ProposalResult {
	return invalid(errPublished)
}

// Proposal implements admin.Documents.
func (d *publishedDocuments) Proposal(string) adminapi.ProposalResult { return invalid(errPublished) }

// History implements admin.Documents.
func (d *publishedDocuments) History() []adminapi.HistoryEntry { return []adminapi.HistoryEntry{} }
