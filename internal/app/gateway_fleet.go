package app

import (
	"context"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/core/schedule"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

const (
	// rosterTick is the time between two ticks of the roster.
	rosterTick = 50 * time.Millisecond
	// shareInterval is the time between two messages of observations, and
	// urgentInterval while there is a failure to report.
	shareInterval  = 150 * time.Millisecond
	urgentInterval = 5 * time.Millisecond
	// remoteShareInterval is the time between two messages to the other regions.
	// They count outcomes only, since bytes are dear there.
	remoteShareInterval = 600 * time.Millisecond
)

// role implements discovery.Role.
type role struct{ gateway *Gateway }

// Learn implements discovery.Role.
func (r role) Learn(hosts []registry.Host) {
	r.gateway.mu.Lock()
	defer r.gateway.mu.Unlock()
	r.gateway.roster.Learn(hosts)
}

// Coordinates implements discovery.Role.
func (r role) Coordinates() bool {
	r.gateway.mu.Lock()
	defer r.gateway.mu.Unlock()
	return r.gateway.roster.Coordinates(time.Now())
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

// runRoster drives the roster until ctx ends.
func (g *Gateway) runRoster(ctx context.Context) {
	for ctx.Err() == nil {
		g.stepRoster(func(now time.Time, r *roster.Roster) []roster.Action {
			r.SetRate(g.rate.measure(now, g.ingress.TotalRequests()))
			r.SetReady(g.ingress.ActiveConfig() != nil)
			return r.Tick(now)
		})
		sleep(ctx, rosterTick)
	}
}

// stepRoster runs one event under the lock, then tells the others and the engines of
// what followed.
func (g *Gateway) stepRoster(step func(time.Time, *roster.Roster) []roster.Action) {
	actions, change := g.changeRoster(step)
	if change.follows != change.followed {
		g.timeline.Record(event.CoordinatorChanged, event.F("coordinator", change.follows), event.F("before", change.followed))
	}
	if change.became || lostMany(change.before, change.after) {
		g.services.unsettle()
	}
	if change.became || change.retired || len(change.after) != len(change.before) {
		select {
		case g.activeChanged <- struct{}{}:
		default:
		}
	}
	g.sendAll(actions)
}

// rosterChange is what an event changed.
type rosterChange struct {
	// before and after are the active hosts.
	before, after []ident.HostID
	// became and retired tell that this host is active now, or is not any more.
	became, retired bool
	// followed and follows are the coordinators.
	followed, follows ident.HostID
}

func (g *Gateway) changeRoster(step func(time.Time, *roster.Roster) []roster.Action) ([]roster.Action, rosterChange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasActive := g.roster.IsActive()
	coordinator, _ := g.roster.Coordinator()
	change := rosterChange{before: g.roster.ActiveHosts(), followed: coordinator.ID}
	actions := step(time.Now(), g.roster)
	isActive := g.roster.IsActive()
	coordinator, _ = g.roster.Coordinator()
	change.after, change.follows = g.roster.ActiveHosts(), coordinator.ID
	change.became, change.retired = isActive && !wasActive, wasActive && !isActive
	g.heapFloor.set(isActive)
	return actions, change
}

func (g *Gateway) sendAll(actions []roster.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case roster.SendReport:
			g.sent(g.fleet.SendReport(a.To, a.Report))
		case roster.SendWelcome:
			g.sent(g.fleet.SendWelcome(a.To, a.Welcome))
		case roster.SendBeacon:
			a.Beacon.State = g.sync.State()
			for _, to := range a.To {
				a.Beacon.Forward = to.Forward
				g.sent(g.fleet.SendBeacon(to.Host.PeerAddress, a.Beacon))
			}
		}
	}
}

// lostShare is the share of the active hosts whose loss leaves too many requests
// unserved for the outcomes to tell how the targets are.
const lostShare = 0.1

// lostMany reports whether many of the active hosts are not active any more.
func lostMany(before, after []ident.HostID) bool {
	lost := 0
	for _, id := range before {
		if !slices.Contains(after, id) {
			lost++
		}
	}
	return float64(lost) > lostShare*float64(len(before))
}

func (g *Gateway) sent(err error) {
	if err != nil {
		g.log.WithError(err).Debug("a datagram was not sent")
	}
}

func (g *Gateway) leave() {
	g.stepRoster(func(now time.Time, r *roster.Roster) []roster.Action { return r.Leave(now) })
}

// fleetHandler takes the datagrams of the other hosts.
type fleetHandler struct {
	gateway *Gateway
	ctx     context.Context
}

// Report implements port.FleetHandler.
func (h fleetHandler) Report(_ port.Caller, r roster.Report) {
	h.gateway.sync.LearnHost(r.Host)
	h.gateway.stepRoster(func(now time.Time, ro *roster.Roster) []roster.Action { return ro.ReceiveReport(now, r) })
}

// Beacon implements port.FleetHandler. It is passed on once this host has what is
// new, so that those who get it find it here.
func (h fleetHandler) Beacon(_ port.Caller, via string, b roster.Beacon) {
	arrived := time.Now()
	followed := false
	h.gateway.stepRoster(func(now time.Time, ro *roster.Roster) (actions []roster.Action) {
		followed, actions = ro.ReceiveBeacon(now, b)
		return actions
	})
	if followed {
		h.gateway.sync.HandleBeacon(h.ctx, via, b.State, func() { h.gateway.forward(b, arrived) })
	}
}

// forward passes a beacon on. Its state has aged since it arrived.
func (g *Gateway) forward(b roster.Beacon, arrived time.Time) {
	to := b.Forward
	b.Forward = nil
	b.State.Age += time.Since(arrived)
	for _, address := range to {
		g.sent(g.fleet.SendBeacon(address, b))
	}
}

// Welcome implements port.FleetHandler.
func (h fleetHandler) Welcome(_ port.Caller, w roster.Welcome) {
	for _, host := range w.Hosts {
		h.gateway.sync.LearnHost(host)
	}
	h.gateway.stepRoster(func(now time.Time, ro *roster.Roster) []roster.Action { return ro.ReceiveWelcome(now, w) })
}

// Confirmation implements port.FleetHandler.
func (h fleetHandler) Confirmation(from port.Caller, s roster.State) {
	h.gateway.mu.Lock()
	host, ok := h.gateway.roster.Host(from.Host)
	h.gateway.mu.Unlock()
	if ok {
		h.gateway.sync.HandleConfirmation(h.ctx, host.PeerAddress, s)
	}
}

// Observations implements port.FleetHandler.
func (h fleetHandler) Observations(from port.Caller, o port.Observations) {
	active := h.gateway.services.current()
	if active == nil {
		return
	}
	byService := map[ident.ServiceName]schedule.Observations{}
	for _, s := range o.Services {
		seen := byService[s.Service]
		seen.Ended, seen.Unserved = seen.Ended+s.Ended, seen.Unserved+s.Unserved
		byService[s.Service] = seen
	}
	for _, t := range o.Targets {
		seen := byService[t.Service]
		seen.Targets = append(seen.Targets, schedule.Observation{Target: t.Target, Started: t.Started, Successes: t.Successes, Failures: t.Failures, InFlight: t.InFlight})
		byService[t.Service] = seen
	}
	for name, seen := range byService {
		if backend := active.Backends[name]; backend != nil {
			backend.Engine.Observe(from.Host, seen)
		}
	}
}

// shareObservations tells the other active hosts what this one sees at targets.
func (g *Gateway) shareObservations(ctx context.Context) {
	var last, lastRemote time.Time
	var remote port.Observations
	for ctx.Err() == nil {
		sleep(ctx, urgentInterval*4)
		due := time.Since(last) >= shareInterval
		if !due && !g.services.urgent() {
			continue
		}
		seen := g.services.takeObservations()
		if seen.Empty() {
			continue
		}
		last = time.Now()
		near, far := g.observers()
		g.sendObservations(near, seen)
		remote.AddServices(seen.Services)
		if time.Since(lastRemote) >= remoteShareInterval {
			g.sendObservations(far, remote)
			lastRemote, remote = time.Now(), port.Observations{}
		}
	}
}

func (g *Gateway) sendObservations(to []registry.Host, o port.Observations) {
	for _, h := range to {
		g.sent(g.fleet.SendObservations(h.PeerAddress, o))
	}
}

// observers returns the other active hosts of the region and those of the other
// regions.
func (g *Gateway) observers() (near, far []registry.Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Peers(), g.roster.RemotePeers()
}

// rateMeter smooths the number of requests per second.
type rateMeter struct {
	at       time.Time
	requests uint64
	rate     float64
}

const (
	// rateInterval is the time between two measurements, rateGain the weight of a
	// new one.
	rateInterval = 300 * time.Millisecond
	rateGain     = 0.3
)

func (m *rateMeter) measure(now time.Time, requests uint64) float64 {
	elapsed := now.Sub(m.at)
	if m.at.IsZero() {
		m.at, m.requests = now, requests
		return 0
	}
	if elapsed < rateInterval {
		return m.rate
	}
	rate := float64(requests-m.requests) / elapsed.Seconds()
	m.rate += rateGain * (rate - m.rate)
	m.at, m.requests = now, requests
	return m.rate
}
