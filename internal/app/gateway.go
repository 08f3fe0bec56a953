package app

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/admin"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/peer"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"github.com/sapphirehaven/sapphirehaven/internal/discovery"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/requestlog"
	"github.com/sapphirehaven/sapphirehaven/internal/recovery"
	"github.com/sapphirehaven/sapphirehaven/internal/timeline"
)

// GatewaySettings are the settings of a host that takes configuration and targets
// from the platform's registry.
type GatewaySettings struct {
	Host     ident.HostID
	Location ident.Location
	// CallerAddress, PeerAddress and AdminAddress are IP:port to listen on.
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
	// Regions is the number of regions.
	Regions int
	// Seeds are peer addresses of some hosts, which may be down.
	Seeds []string
	// Millicores is the processor share in thousandths of a core.
	Millicores int
	// AddressMaxAge is how long callers may keep an address answer.
	AddressMaxAge time.Duration
	// Grace is the time after which a host that stops is killed.
	GracePeriod time.Duration
	// RetryRatio, RetrySlack and RetryWindow bound the repeats of all hosts
	// together that a service gets.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	Dialect     dialect.Dialect
}

// Gateway is one running host on the platform's registry.
type Gateway struct {
	settings  GatewaySettings
	log       logrus.FieldLogger
	timeline  *timeline.Timeline
	transport *target.Transport
	services  *services
	identity  *identity
	fleet     *peer.Fleet
	sync      *discovery.Replica
	ingress   *ingress.Server
	requests  *requestlog.Log
	admin     *admin.Server
	callers   *callerServer
	compiled  compiled
	// generation and allowance are those of the registry's copy in force.
	generation uint64
	allowance  float64
	draining   atomic.Bool
	inForceAt  atomic.Int64
	heapFloor  heapFloor

	// activeChanged receives a value when the number of active hosts changed.
	activeChanged chan struct{}

	mu     sync.Mutex
	roster *roster.Roster
	rate   rateMeter
}

// NewGateway builds a host; Run starts it.
func NewGateway(settings GatewaySettings, store port.Registry, log logrus.FieldLogger) (*Gateway, error) {
	now := time.Now()
	incarnation := ident.Incarnation(now.UnixMicro())
	g := &Gateway{settings: settings, log: log, activeChanged: make(chan struct{}, 1)}
	g.timeline = timeline.New(settings.Host, log)
	g.identity = newIdentity(settings.Host, incarnation, g.timeline)
	g.transport = target.New(gatewayTransport(settings.Dialect))
	g.services = newServices(dispatch.Self{Host: settings.Host, Location: settings.Location}, g.transport, g.timeline)
	self := registry.Host{
		ID:            settings.Host,
		Incarnation:   incarnation,
		Location:      settings.Location,
		CallerAddress: settings.CallerAddress,
		PeerAddress:   settings.PeerAddress,
		Millicores:    settings.Millicores,
	}
	g.roster = roster.New(now, roster.DefaultConfig(), self, settings.Seeds)
	fleet, err := peer.ListenFleet(settings.PeerAddress, g.identity, log)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	g.fleet = fleet
	g.sync = discovery.New(discovery.DefaultConfig(), store, fleet, role{g}, g.timeline, log)
	g.requests = requestlog.New(log)
	g.ingress = ingress.New(ingress.Config{
		Host:        settings.Host,
		Incarnation: incarnation,
		Location:    settings.Location,
		Transport:   g.transport,
		Recorder:    g.timeline,
		Dialect:     settings.Dialect,
		InitialConfigWait:   startWait,
		Log:         g.requests,
	})
	metrics.RegisterSet(g.ingress.Metrics())
	g.admin = admin.New(g, &publishedDocuments{g}, "")
	return g, nil
}

// startWait is how long requests to a host that has just started wait for its
// first configuration, which the coordinator or the store gives within a few
// hundred milliseconds.
const startWait = 700 * time.Millisecond

// gatewayTransport returns the settings of connections to targets. Connections
// are dear, and a target that does not answer a dial in a few round trips is not
// worth the wait.
func gatewayTransport(d dialect.Dialect) target.Config {
	cfg := target.DefaultConfig()
	cfg.Dialect = d
	cfg.DialTimeout = 250 * time.Millisecond
	cfg.IdleTimeout = 9 * time.Second
	cfg.NonIdempotentReuse = 8 * time.Second
	cfg.MaxIdle = 16
	cfg.InlineBodyBytes = 64 << 10
	cfg.BodyFlushWait = 20 * time.Millisecond
	return cfg
}

// Run serves until ctx ends, then shuts down gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	listeners, err := g.listen()
	if err != nil {
		return err
	}
	g.timeline.Record(event.HostStarted, event.F("incarnation", g.identity.Caller().Incarnation), event.F("caller_address", g.settings.CallerAddress))
	background, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, part := range []struct {
		name string
		run  func(context.Context)
	}{
		{"registry", func(ctx context.Context) { g.sync.Run(ctx, g.self(), g.settings.Seeds) }},
		{"datagrams", func(ctx context.Context) { g.fleet.Receive(ctx, fleetHandler{g, ctx}) }},
		{"roster", g.runRoster},
		{"request log", g.requests.Run},
		{"changes", g.activateChanges},
		{"observations", g.shareObservations},
		{"peers", listeners.servePeers},
	} {
		running.Go(func() { recovery.Loop(background, g.log, part.name, part.run) })
	}
	failed := listeners.serve()
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	g.shutDown()
	stop()
	listeners.close()
	g.fleet.Close()
	waitFor(&running, backgroundWait)
	metrics.UnregisterSet(g.ingress.Metrics(), false)
	g.services.close()
	g.transport.Close()
	return err
}

// backgroundWait bounds the wait for loops and calls of other hosts to end. The
// process ends anyway, and the platform kills one that stays.
const backgroundWait = 100 * time.Millisecond

// waitFor waits for a group, for a limited time.
func waitFor(group *sync.WaitGroup, limit time.Duration) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// gatewayListeners are the listeners of a gateway. Callers have their own server.
type gatewayListeners struct {
	gateway             *Gateway
	callers, peers, adm net.Listener
	admin               *http.Server
}

func (g *Gateway) listen() (*gatewayListeners, error) {
	l := &gatewayListeners{gateway: g, admin: &http.Server{Handler: g.admin, ReadHeaderTimeout: readHeaderTimeout}}
	for _, open := range []struct {
		name, address string
		to            *net.Listener
	}{{"caller address", g.settings.CallerAddress, &l.callers}, {"peer address", g.settings.PeerAddress, &l.peers}, {"admin address", g.settings.AdminAddress, &l.adm}} {
		sock, err := net.Listen("tcp", open.address)
		if err != nil {
			return nil, errors.Wrap(err, open.name)
		}
		*open.to = sock
	}
	g.callers = newCallerServer(g.ingress)
	return l, nil
}

// serve starts the servers; the channel gets the first failure.
func (l *gatewayListeners) serve() <-chan error {
	failed := make(chan error, 2)
	serve := func(s *http.Server, sock net.Listener) {
		if err := s.Serve(sock); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}
	go serve(l.gateway.callers.http, l.callers)
	go serve(l.admin, l.adm)
	return failed
}

func (l *gatewayListeners) servePeers(ctx context.Context) {
	if err := peer.ServeFleet(ctx, l.peers, l.gateway.identity, l.gateway.sync, l.gateway.log); err != nil && ctx.Err() == nil {
		l.gateway.log.WithError(err).Error("calls of other hosts are not served any more")
	}
}

func (l *gatewayListeners) close() { _ = l.admin.Close() }

// Ready reports whether the host can serve callers.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.ingress.ActiveConfig() != nil }

// Addresses returns the addresses that a caller in a zone should use, and how
// long it may keep them. A host that is not ready names the others that it knows of;
// there are none while it knows none.
func (g *Gateway) Addresses(zone ident.Zone) ([]string, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ingress.ActiveConfig() == nil && !g.roster.HasActive() {
		return nil, 0
	}
	var list []string
	for _, h := range g.roster.Active(zone) {
		list = append(list, h.CallerAddress)
	}
	return list, g.settings.AddressMaxAge
}

func (g *Gateway) self() registry.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Self()
}
