package app

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
)

// permitInterval is the time between two requests for permits. A change of a limit is
// reported at once.
const permitInterval = 100 * time.Millisecond

// The permits of this process as a holder and as an allocator.
var (
	receivedPermits  = metrics.GetOrCreateCounter(`sapphirehaven_permits_total{event="received"}`)
	handedOutPermits = metrics.GetOrCreateCounter(`sapphirehaven_permits_total{event="handed_out"}`)
)

func countPermits(r ratelimit.Response) int {
	n := 0
	for _, g := range r.Granted {
		n += g.Permits
	}
	return n
}

// permits holds the state of a host's permits for targets that state a rate.
type permits struct {
	// exchange and allocator are protected by the lock of the gateway.
	exchange  *ratelimit.Exchange
	allocator *ratelimit.Allocator
	// requestedAt is the time of the latest request for permits. Only runObservations
	// uses it.
	requestedAt time.Time
}

func newPermits(incarnation ident.Incarnation) permits {
	return permits{exchange: ratelimit.NewExchange(uint64(incarnation)), allocator: ratelimit.NewAllocator()}
}

// requestPermits asks the coordinators of the targets' regions for the permits that this
// host can use.
func (g *Gateway) requestPermits() {
	now := time.Now()
	if now.Sub(g.permits.requestedAt) < permitInterval && !g.services.hasLimitNews() {
		return
	}
	g.permits.requestedAt = now
	for _, wants := range ratelimit.GroupByRegion(g.services.permitWants()) {
		for part := range slices.Chunk(wants, port.MaxPermitEntries) {
			g.requestPermitsOf(now, wants[0].Region, part)
		}
	}
}

func (g *Gateway) requestPermitsOf(now time.Time, region ident.Region, wants []ratelimit.Want) {
	g.mu.Lock()
	coordinator, known := g.roster.CoordinatorOf(region)
	request := g.permits.exchange.NewRequest(now, wants)
	g.mu.Unlock()
	switch {
	case !known:
	case coordinator.ID == g.settings.Host:
		g.allocate(coordinator, request)
	default:
		g.logSendError(g.fleet.SendPermitRequest(coordinator.PeerAddress, request))
	}
}

// allocate handles a request for permits if this host coordinates its region.
func (g *Gateway) allocate(from registry.Host, r ratelimit.Request) {
	now := time.Now()
	g.mu.Lock()
	share := g.roster.FollowerShare(now)
	var response ratelimit.Response
	if share > 0 {
		granted := g.permits.allocator.Want(now, share, from.ID, r.Sequence, r.Wants)
		response = g.permits.exchange.NewResponse(r.Sequence, granted)
	}
	g.mu.Unlock()
	if share > 0 {
		g.deliverPermits(from, response)
	}
}

// handOutPermits hands out the permits that have accrued since the last call.
func (g *Gateway) handOutPermits() {
	type delivery struct {
		to       registry.Host
		response ratelimit.Response
	}
	var deliveries []delivery
	now := time.Now()
	g.mu.Lock()
	if share := g.roster.FollowerShare(now); share > 0 {
		for _, d := range g.permits.allocator.Tick(now, share) {
			if to, ok := g.roster.Host(d.To); ok {
				deliveries = append(deliveries, delivery{to, g.permits.exchange.NewResponse(d.Sequence, d.Granted)})
			}
		}
	}
	g.mu.Unlock()
	for _, d := range deliveries {
		g.deliverPermits(d.to, d.response)
	}
}

func (g *Gateway) deliverPermits(to registry.Host, r ratelimit.Response) {
	handedOutPermits.Add(countPermits(r))
	if to.ID == g.settings.Host {
		g.acceptPermits(to.ID, g.identity.Sender().Incarnation, r)
		return
	}
	g.logSendError(g.fleet.SendPermitResponse(to.PeerAddress, r))
}

// acceptPermits applies the response of an allocator.
func (g *Gateway) acceptPermits(from ident.HostID, incarnation ident.Incarnation, r ratelimit.Response) {
	g.mu.Lock()
	sentAt, ok := g.permits.exchange.Accept(from, incarnation, r)
	g.mu.Unlock()
	if ok {
		receivedPermits.Add(countPermits(r))
		g.services.grantPermits(sentAt, r.Granted)
	}
}

// PermitRequest implements port.FleetHandler. The limits in the request reach the other
// hosts of the region with the next beacon.
func (h fleetHandler) PermitRequest(from port.Sender, r ratelimit.Request) {
	g := h.gateway
	g.mu.Lock()
	host, known := g.roster.Host(from.Host)
	g.mu.Unlock()
	if !known {
		return
	}
	var entries []ratelimit.Entry
	for _, w := range r.Wants {
		entries = append(entries, w.Entry)
	}
	g.services.observeLimits(entries)
	g.allocate(host, r)
}

// PermitResponse implements port.FleetHandler.
func (h fleetHandler) PermitResponse(from port.Sender, r ratelimit.Response) {
	h.gateway.acceptPermits(from.Host, from.Incarnation, r)
}

// hasLimitNews reports whether a change of a limit has not been reported yet.
func (s *services) hasLimitNews() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		if e.HasLimitNews() {
			return true
		}
	}
	return false
}

// permitWants returns the permits that the engines can use.
func (s *services) permitWants() []ratelimit.Want {
	s.mu.Lock()
	defer s.mu.Unlock()
	var wants []ratelimit.Want
	for _, e := range s.engines {
		wants = append(wants, e.PermitWants()...)
	}
	return wants
}

// limits returns what the engines know of the limits of their targets.
func (s *services) limits() []ratelimit.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []ratelimit.Entry
	for _, e := range s.engines {
		list = append(list, e.Limits()...)
	}
	return list
}

// observeLimits passes limits that another host told of to the engines. An engine ignores
// targets of other services.
func (s *services) observeLimits(entries []ratelimit.Entry) {
	if len(entries) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		e.ObserveLimits(entries)
	}
}

// grantPermits passes permits to the engines.
func (s *services) grantPermits(sentAt time.Time, granted []ratelimit.Granted) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		e.GrantPermits(sentAt, granted)
	}
}
