package app

import (
	"context"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/locality"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/core/schedule"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

const (
	// rosterTickInterval is the time between two ticks of the roster.
	rosterTickInterval = 50 * time.Millisecond
	// observationInterval is the time between two messages of observations. A host checks for
	// unreported failures every four observationPollUnits and reports them at once.
	observationInterval = 150 * time.Millisecond
	observationPollUnit = 5 * time.Millisecond
	// remoteObservationInterval is the time between two messages of observations to other regions.
	// They contain only the outcomes of requests and the bytes on the link between regions, because
	// traffic between regions is expensive.
	remoteObservationInterval = 600 * time.Millisecond
)

// role implements discovery.Role.
type role struct{ gateway *Gateway }

// Learn implements discovery.Role.
func (r role) Learn(hosts []registry.Host) {
	r.gateway.mu.Lock()
	defer r.gateway.mu.Unlock()
	r.gateway.roster.Learn(hosts)
}

// IsCoordinator implements discovery.Role.
func (r role) IsCoordinator() bool {
	r.gateway.mu.Lock()
	defer r.gateway.mu.Unlock()
	return r.gateway.roster.IsCoordinator(time.Now())
}

// SilentHosts implements discovery.Role.
func (r role) SilentHosts() []registry.Host {
	r.gateway.mu.Lock()
	defer r.gateway.mu.Unlock()
	return r.gateway.roster.SilentHosts(time.Now())
}

// Forget implements discovery.Role.
func (r role) Forget(hosts []ident.HostID) {
	r.gateway.mu.Lock()
	defer r.gateway.mu.Unlock()
	r.gateway.roster.Forget(time.Now(), hosts)
}

// Rank implements discovery.Role.
func (r role) Rank() int {
	r.gateway.mu.Lock()
	defer r.gateway.mu.Unlock()
	return r.gateway.roster.Rank()
}

// Count implements discovery.Role.
func (r role) Count() int {
	r.gateway.mu.Lock()
	defer r.gateway.mu.Unlock()
	return r.gateway.roster.RegionCount()
}

// Coordinator implements discovery.Role.
func (r role) Coordinator() string {
	r.gateway.mu.Lock()
	defer r.gateway.mu.Unlock()
	h, ok := r.gateway.roster.Coordinator()
	if !ok || h.ID == r.gateway.settings.Host {
		return ""
	}
	return h.PeerAddress
}

// runRoster runs the roster until ctx ends.
func (g *Gateway) runRoster(ctx context.Context) {
	for ctx.Err() == nil {
		g.updateRoster(func(now time.Time, r *roster.Roster) []roster.Action {
			r.SetRate(g.rate.update(now, g.ingress.TotalRequests()))
			r.SetByteRate(g.byteRate.update(now, g.ingress.TotalBytes()))
			r.SetReady(g.ingress.ActiveConfig() != nil)
			return r.Tick(now)
		})
		g.handOutPermits()
		g.quotas.update()
		sleep(ctx, rosterTickInterval)
	}
}

// updateRoster applies one event to the roster under the lock and executes the resulting actions. It
// records a change of the coordinator, notifies the engines if many active hosts were lost or this host
// became active, and notifies activateChanges of a change that affects the retry allowance.
func (g *Gateway) updateRoster(apply func(time.Time, *roster.Roster) []roster.Action) {
	actions, change := g.applyRosterEvent(apply)
	if change.newCoordinator != change.oldCoordinator {
		g.timeline.Record(event.CoordinatorChanged, event.F("coordinator", change.newCoordinator), event.F("before", change.oldCoordinator))
	}
	if change.weightedAfter != change.weightedBefore {
		g.recordCallerShares(change)
	}
	// A host that becomes active may replace a lost one.
	if change.becameActive || lostManyHosts(change.activeBefore, change.activeAfter) {
		g.services.reportHostLoss()
	}
	if change.becameActive || change.becamePassive || len(change.activeAfter) != len(change.activeBefore) {
		select {
		case g.activeChanged <- struct{}{}:
		default:
		}
	}
	g.executeActions(actions)
}

// rosterChange is the effect of an event on the roster.
type rosterChange struct {
	// activeBefore and activeAfter are the active hosts before and after the event.
	activeBefore, activeAfter []ident.HostID
	// becameActive and becamePassive report a change of this host's own status.
	becameActive, becamePassive bool
	// oldCoordinator and newCoordinator are the coordinators before and after the event.
	oldCoordinator, newCoordinator ident.HostID
	// weightedBefore and weightedAfter report whether callers are sent to the active hosts by what
	// each of them carries.
	weightedBefore, weightedAfter bool
}

// recordCallerShares records that callers are sent to the active hosts by what each of them carries, or
// evenly.
func (g *Gateway) recordCallerShares(change rosterChange) {
	if !change.weightedAfter {
		g.timeline.Record(event.CallersEven, event.F("active", len(change.activeAfter)))
		return
	}
	g.mu.Lock()
	hosts, least, largest := g.roster.CallerCapacities()
	g.mu.Unlock()
	g.timeline.Record(event.CallersWeighted, event.F("active", len(change.activeAfter)), event.F("weighted", hosts),
		event.F("least", least), event.F("largest", largest), event.F("coordinator", change.newCoordinator))
}

// applyRosterEvent applies an event under the lock and returns the resulting actions and changes.
func (g *Gateway) applyRosterEvent(apply func(time.Time, *roster.Roster) []roster.Action) ([]roster.Action, rosterChange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasActive := g.roster.IsActive()
	coordinator, _ := g.roster.Coordinator()
	change := rosterChange{activeBefore: g.roster.ActiveHosts(), oldCoordinator: coordinator.ID, weightedBefore: g.roster.CallersWeighted()}
	actions := apply(time.Now(), g.roster)
	isActive := g.roster.IsActive()
	coordinator, _ = g.roster.Coordinator()
	change.activeAfter, change.newCoordinator = g.roster.ActiveHosts(), coordinator.ID
	change.weightedAfter = g.roster.CallersWeighted()
	change.becameActive, change.becamePassive = isActive && !wasActive, wasActive && !isActive
	g.heap.setServing(isActive)
	return actions, change
}

func (g *Gateway) executeActions(actions []roster.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case roster.SendReport:
			g.logSendError(g.fleet.SendReport(a.To, a.Report))
		case roster.SendWelcome:
			g.logSendError(g.fleet.SendWelcome(a.To, a.Welcome))
		case roster.SendBeacon:
			a.Beacon.State = g.replica.State()
			a.Beacon.Limits = g.services.limits()
			for _, to := range a.To {
				a.Beacon.Forward = to.Forward
				g.logSendError(g.fleet.SendBeacon(to.Host.PeerAddress, a.Beacon))
			}
		}
	}
}

// hostLossThreshold is the fraction of lost active hosts above which the engines are notified. The
// requests in progress on lost hosts are not served and produce no outcomes, so the known outcomes no
// longer indicate the health of targets.
const hostLossThreshold = 0.1

// lostManyHosts reports whether more than hostLossThreshold of the active hosts are no longer active.
func lostManyHosts(before, after []ident.HostID) bool {
	lost := 0
	for _, id := range before {
		if !slices.Contains(after, id) {
			lost++
		}
	}
	return float64(lost) > hostLossThreshold*float64(len(before))
}

func (g *Gateway) logSendError(err error) {
	if err != nil {
		g.log.WithError(err).Debug("sending a datagram failed")
	}
}

func (g *Gateway) announceLeaving() {
	g.updateRoster(func(now time.Time, r *roster.Roster) []roster.Action { return r.Leave(now) })
}

// fleetHandler handles datagrams from other hosts.
type fleetHandler struct {
	gateway *Gateway
	ctx     context.Context
}

// Report implements port.FleetHandler.
func (h fleetHandler) Report(_ port.Sender, r roster.Report) {
	h.gateway.replica.LearnHost(r.Host)
	h.gateway.updateRoster(func(now time.Time, ro *roster.Roster) []roster.Action { return ro.ReceiveReport(now, r) })
}

// Beacon implements port.FleetHandler. The beacon is forwarded after this host has fetched the state
// that it announces, so that its receivers can fetch the state from this host.
func (h fleetHandler) Beacon(_ port.Sender, via string, b roster.Beacon) {
	arrived := time.Now()
	accepted := false
	h.gateway.updateRoster(func(now time.Time, ro *roster.Roster) (actions []roster.Action) {
		accepted, actions = ro.ReceiveBeacon(now, b)
		return actions
	})
	h.gateway.services.observeLimits(b.Limits)
	if b.From.Location.Region != h.gateway.self().Location.Region {
		h.gateway.replica.HandleRemoteBeacon(h.ctx, b.From.PeerAddress, b.State)
	}
	if accepted {
		h.gateway.replica.HandleBeacon(h.ctx, via, b.State, func() { h.gateway.forwardBeacon(b, arrived) })
	}
}

// forwardBeacon sends a beacon to the addresses in its forward list. The time since its arrival is
// added to the age of its state.
func (g *Gateway) forwardBeacon(b roster.Beacon, arrived time.Time) {
	to := b.Forward
	b.Forward = nil
	b.State.Age += time.Since(arrived)
	for _, address := range to {
		g.logSendError(g.fleet.SendBeacon(address, b))
	}
}

// Welcome implements port.FleetHandler.
func (h fleetHandler) Welcome(_ port.Sender, w roster.Welcome) {
	for _, host := range w.Hosts {
		h.gateway.replica.LearnHost(host)
	}
	h.gateway.updateRoster(func(now time.Time, ro *roster.Roster) []roster.Action { return ro.ReceiveWelcome(now, w) })
}

// Confirmation implements port.FleetHandler.
func (h fleetHandler) Confirmation(from port.Sender, s roster.State) {
	h.gateway.mu.Lock()
	host, ok := h.gateway.roster.Host(from.Host)
	h.gateway.mu.Unlock()
	if ok {
		h.gateway.replica.HandleConfirmation(h.ctx, host.PeerAddress, s)
	}
}

// Observations implements port.FleetHandler.
func (h fleetHandler) Observations(from port.Sender, o port.Observations) {
	active := h.gateway.services.activeConfig()
	if active == nil {
		return
	}
	h.gateway.addLinkTraffic(from.Host, o.CrossRegion)
	byService := map[ident.ServiceName]schedule.Observations{}
	for _, s := range o.Services {
		observations := byService[s.Service]
		observations.Ended += s.Ended
		observations.Unserved += s.Unserved
		observations.FloorUnserved += s.FloorUnserved
		observations.Retries, observations.Demand = s.Retries, s.Demand
		byService[s.Service] = observations
	}
	for _, t := range o.Targets {
		observations := byService[t.Service]
		observations.Targets = append(observations.Targets, schedule.Observation{Target: t.Target, Started: t.Started, Successes: t.Successes, Failures: t.Failures, InFlight: t.InFlight})
		byService[t.Service] = observations
	}
	for _, l := range o.Leaving {
		observations := byService[l.Service]
		observations.Leaving = append(observations.Leaving, schedule.LeavingReport{Process: schedule.Process{Target: l.Target, StartUnixMilli: l.StartUnixMilli}, Age: l.Age})
		byService[l.Service] = observations
	}
	for name, observations := range byService {
		if backend := active.Backends[name]; backend != nil {
			backend.Engine.Observe(from.Host, observations)
		}
	}
}

// runObservations sends this host's observations of targets to the other active hosts until ctx
// ends.
func (g *Gateway) runObservations(ctx context.Context) {
	var lastSend, lastRemoteSend time.Time
	var remoteObservations port.Observations
	for ctx.Err() == nil {
		sleep(ctx, observationPollUnit*4)
		g.requestPermits()
		due := time.Since(lastSend) >= observationInterval
		if !due && !g.services.hasUnsharedFailure() {
			continue
		}
		g.services.setLinkUtilization(g.linkUtilization())
		observations := g.services.takeObservations()
		if observations.Empty() {
			continue
		}
		lastSend = time.Now()
		g.addLinkTraffic(g.settings.Host, observations.CrossRegion)
		localPeers, remotePeers := g.activePeers()
		g.sendObservations(localPeers, observations)
		remoteObservations.AddForRegions(observations)
		if time.Since(lastRemoteSend) >= remoteObservationInterval {
			g.sendObservations(remotePeers, remoteObservations)
			lastRemoteSend, remoteObservations = time.Now(), port.Observations{}
		}
	}
}

// addLinkTraffic counts bytes that a host exchanged with targets of regions other than its own.
func (g *Gateway) addLinkTraffic(from ident.HostID, b locality.Bytes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h, known := g.roster.Host(from); known && h.Location.Region != g.roster.Self().Location.Region {
		g.link.AddOther(time.Now(), b)
		return
	}
	g.link.Add(time.Now(), b)
}

// linkUtilization returns the utilization of the link between regions.
func (g *Gateway) linkUtilization() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.link.Utilization(time.Now(), g.settings.Distance.LinkBytesPerSecond)
}

func (g *Gateway) sendObservations(to []registry.Host, o port.Observations) {
	for _, h := range to {
		g.logSendError(g.fleet.SendObservations(h.PeerAddress, o))
	}
}

// activePeers returns the other active hosts of this region and those of the other regions.
func (g *Gateway) activePeers() (local, remote []registry.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Peers(), g.roster.RemotePeers()
}

// rateMeter measures the number of requests per second as an exponential moving average.
type rateMeter struct {
	lastUpdate time.Time
	requests   uint64
	rate       float64
}

const (
	// rateInterval is the time between two measurements. rateSmoothingFactor is the weight of the
	// newest one.
	rateInterval        = 300 * time.Millisecond
	rateSmoothingFactor = 0.3
)

// update adds the total number of requests so far and returns the smoothed rate.
func (m *rateMeter) update(now time.Time, requests uint64) float64 {
	elapsed := now.Sub(m.lastUpdate)
	if m.lastUpdate.IsZero() {
		m.lastUpdate, m.requests = now, requests
		return 0
	}
	if elapsed < rateInterval {
		return m.rate
	}
	rate := float64(requests-m.requests) / elapsed.Seconds()
	m.rate += rateSmoothingFactor * (rate - m.rate)
	m.lastUpdate, m.requests = now, requests
	return m.rate
}
