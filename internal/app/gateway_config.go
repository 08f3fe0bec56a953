package app

import (
	"context"
	"slices"
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
	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
	"github.com/sapphirehaven/sapphirehaven/internal/discovery"
)

const (
	// usableRetryRatioFraction is the fraction of RetryRatio that hosts use. The rest is a
	// margin for hosts that restart, which lose the count of retries they have used.
	usableRetryRatioFraction = 0.9
	// activeAllowanceFraction and passiveAllowanceFraction are the fractions of RetryAllowance that
	// all active hosts and all passive hosts use. Passive hosts only serve callers that use outdated
	// addresses.
	activeAllowanceFraction  = 0.6
	passiveAllowanceFraction = 0.2
	// fleetAllowanceFraction is the fraction of RetryAllowance that all hosts together use. The rest
	// is a margin for retries that the others have not heard of yet.
	fleetAllowanceFraction = activeAllowanceFraction + passiveAllowanceFraction
	// leavingGraceFraction is the fraction of DrainTime in which a leaving target is still used if no
	// other target can take requests. The rest is a margin for requests on their way.
	leavingGraceFraction = 0.5
	// defaultConnections is the connection limit for a target if the configuration sets none.
	defaultConnections = 330
)

// compiledRoutes caches the route table and the teams of a configuration. Targets change more often
// than these, and a change of targets does not recompile them.
type compiledRoutes struct {
	configuration *registry.Configuration
	routes        *route.Table
	// teams is nil if the configuration has none.
	teams *team.Directory
}

func compileRoutes(c *registry.Configuration) compiledRoutes {
	out := compiledRoutes{configuration: c}
	routes := c.Document.Routes
	if len(c.RejectedRoutes) > 0 {
		// Of routes for the same requests the last one applies, which is not a rejected one.
		routes = slices.Concat(c.RejectedRoutes, routes)
	}
	out.routes = route.New(routes)
	if len(c.Teams) > 0 {
		out.teams = team.NewDirectory(c.Teams)
	}
	return out
}

// activateChanges activates each change of the registry or of this host's retry allowance until ctx
// ends.
func (g *Gateway) activateChanges(ctx context.Context) {
	for {
		select {
		case <-g.replica.Changed():
		case <-g.activeChanged:
		case <-ctx.Done():
			return
		}
		if g.activate(g.replica.Snapshot()) {
			g.updateRoster(func(now time.Time, r *roster.Roster) []roster.Action { return r.Announce(now) })
		}
	}
}

// activate activates a snapshot of the registry unless it is already active, and reports whether the
// configuration or the targets changed. Newly discovered hosts are not reported as a change:
// hundreds of them appear at once when a fleet starts.
func (g *Gateway) activate(s discovery.Snapshot) bool {
	g.mu.Lock()
	g.roster.Learn(s.Hosts)
	retryAllowance := g.computeRetryAllowance()
	g.mu.Unlock()
	changed := s.Generation != g.generation
	if !s.Complete || (!changed && retryAllowance == g.retryAllowance) {
		return false
	}
	g.generation, g.retryAllowance = s.Generation, retryAllowance
	c := s.Configuration
	configurationChanged := g.compiledRoutes.configuration != c
	if configurationChanged {
		g.compiledRoutes = compileRoutes(c)
		g.rejections.replace(c, g.log)
	}
	doc := withTargets(c.Document, s.Targets)
	next := g.services.applyWithRoutes(c.Version, doc, g.compiledRoutes.routes, g.configBuilder(s.Targets, retryAllowance, len(c.Teams) > 0))
	next.Teams = g.compiledRoutes.teams
	g.applyCallerLimits(c.Callers)
	g.ingress.Activate(next)
	if configurationChanged {
		g.activatedAt.Store(time.Now().UnixMicro())
		g.timeline.Record(event.ConfigurationInForce, event.F("revision", c.Version), event.F("routes", len(doc.Routes)))
	}
	return changed
}

// configBuilder returns a function that extends the dispatcher configuration of a service with the
// state of its targets in the registry and this host's retry allowance.
func (g *Gateway) configBuilder(targets []registry.Entry, retryAllowance float64, hasTeams bool) configBuilder {
	entries := make(map[ident.TargetID]registry.Entry, len(targets))
	for _, e := range targets {
		entries[e.ID] = e
	}
	return func(revision uint64, doc *document.Document, svc *document.Service) dispatch.Config {
		cfg := dispatchConfig(revision, doc, svc)
		// Teams compete for capacity; without them requests wait in the order of their host.
		cfg.AdmissionLevels = hasTeams
		cfg.RetryRatio = usableRetryRatioFraction * g.settings.RetryRatio
		cfg.RetryWindow = g.settings.RetryWindow
		cfg.RetryAllowance = retryAllowance
		cfg.FleetRetryRatio = usableRetryRatioFraction * g.settings.RetryRatio
		cfg.FleetRetryAllowance = fleetAllowanceFraction * g.settings.RetryAllowance
		cfg.LeavingGrace = time.Duration(leavingGraceFraction * float64(g.settings.DrainTime))
		for i := range cfg.Targets {
			t := &cfg.Targets[i]
			e := entries[t.ID]
			t.Draining, t.Unregistered, t.WarmUntil, t.StartUnixMilli = e.Draining, !e.RemovedAt.IsZero(), e.WarmUntil, e.StartUnixMilli
		}
		return cfg
	}
}

// computeRetryAllowance returns this host's part of RetryAllowance, in retries per RetryWindow. It
// assumes that other regions have about as many active hosts as this one. The caller holds the lock.
func (g *Gateway) computeRetryAllowance() float64 {
	if g.roster.IsActive() {
		return activeAllowanceFraction * g.settings.RetryAllowance / float64(g.roster.ActiveCount()*max(1, g.settings.Regions))
	}
	return passiveAllowanceFraction * g.settings.RetryAllowance / float64(g.roster.Count())
}

// withTargets returns a copy of a document whose services have the targets of the registry.
func withTargets(doc *document.Document, entries []registry.Entry) *document.Document {
	out := *doc
	out.Services = make([]document.Service, len(doc.Services))
	serviceIndex := make(map[ident.ServiceName]int, len(doc.Services))
	for i := range doc.Services {
		out.Services[i] = doc.Services[i]
		out.Services[i].Targets = nil
		serviceIndex[doc.Services[i].Name] = i
	}
	for _, e := range entries {
		i, ok := serviceIndex[e.Service]
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

// platformDocuments implements admin.Documents for configuration that operators publish through the
// platform. It is read-only: proposals are rejected because the platform's store is the only source.
type platformDocuments struct{ gateway *Gateway }

// errPlatformManaged is the reason for rejecting a proposal.
var errPlatformManaged = errors.New("this host takes its configuration from the platform; publish it there")

// Active implements admin.Documents.
func (d *platformDocuments) Active() (adminapi.Document, error) {
	c := d.gateway.replica.Snapshot().Configuration
	if c == nil {
		return adminapi.Document{}, nil
	}
	text, err := yaml.Marshal(c.Document)
	return adminapi.Document{Revision: c.Version, YAML: string(text)}, errors.Wrap(err, "document")
}

// Validate implements admin.Documents.
func (d *platformDocuments) Validate(text []byte) adminapi.ProposalResult {
	if _, err := document.Parse(text); err != nil {
		return invalidResult(err)
	}
	return adminapi.ProposalResult{Result: adminapi.ResultValid}
}

// Propose implements admin.Documents.
func (d *platformDocuments) Propose(context.Context, admin.Proposal) adminapi.ProposalResult {
	return invalidResult(errPlatformManaged)
}

// Proposal implements admin.Documents.
func (d *platformDocuments) Proposal(string) adminapi.ProposalResult {
	return invalidResult(errPlatformManaged)
}

// History implements admin.Documents.
func (d *platformDocuments) History() []adminapi.HistoryEntry { return []adminapi.HistoryEntry{} }
