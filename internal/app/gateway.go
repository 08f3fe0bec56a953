package app

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/admin"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/httpserver"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/peer"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/locality"
	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
	"github.com/sapphirehaven/sapphirehaven/internal/core/roster"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"github.com/sapphirehaven/sapphirehaven/internal/discovery"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/recovery"
	"github.com/sapphirehaven/sapphirehaven/internal/requestlog"
	"github.com/sapphirehaven/sapphirehaven/internal/timeline"
)

// GatewaySettings are the settings of a host that reads its configuration and targets from the
// platform's registry.
type GatewaySettings struct {
	Host     ident.HostID
	Location ident.Location
	// CallerAddress, PeerAddress and AdminAddress are the IP:port listen addresses.
	CallerAddress string
	PeerAddress   string
	AdminAddress  string
	// Regions is the number of regions, and RegionNames holds their names, which must be the same
	// on all hosts. Without names, all teams belong to the region of the host.
	Regions     int
	RegionNames []ident.Region
	// Seeds are the peer addresses of hosts to contact at startup. Some may be down.
	Seeds []string
	// Millicores is the CPU share of the host in thousandths of a core.
	Millicores int
	// LinkMbps is the bandwidth of the host's link in Mbit/s, 0 if unknown.
	LinkMbps int
	// Distance holds the settings of the costs of distance; the zero value means the defaults.
	Distance locality.Config
	// AddressMaxAge is how long callers may cache an address response.
	AddressMaxAge time.Duration
	// GracePeriod is the time between the stop signal and the kill signal of the platform.
	GracePeriod time.Duration
	// RetryRatio, RetryAllowance and RetryWindow limit the retries to a service by all hosts together
	// within RetryWindow to RetryRatio for each request plus RetryAllowance.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// DrainTime is the time for which a target keeps serving after it has stated that it is leaving.
	// Within it, hosts must stop sending to the target.
	DrainTime time.Duration
	// QuotaBounds bound the requests of teams with a quota; the zero value is
	// ratelimit.DefaultQuotaBounds.
	QuotaBounds ratelimit.QuotaBounds
	// ConfigurationAge is the age up to which the host's copy of the configuration counts as
	// current, so that it may say that a key or a route does not exist.
	ConfigurationAge time.Duration
	// StrictRevoke is set if a host refuses all keys while its copy is older than RevokeAge.
	StrictRevoke bool
	RevokeAge    time.Duration
	// Limits bound what the host holds for callers.
	Limits  ClientLimits
	Dialect dialect.Dialect
}

// Gateway is a running host that takes its configuration and targets from the platform's registry. Host
// is its counterpart for deployments with a log service.
type Gateway struct {
	settings       GatewaySettings
	log            logrus.FieldLogger
	timeline       *timeline.Timeline
	transport      *target.Transport
	services       *services
	identity       *identity
	fleet          *peer.Fleet
	replica        *discovery.Replica
	ingress        *ingress.Server
	requests       *requestlog.Log
	admin          *admin.Server
	callers        *httpserver.Server
	compiledRoutes compiledRoutes
	rejections     rejections
	// generation and retryAllowance are those of the active configuration.
	generation     uint64
	retryAllowance float64
	draining       atomic.Bool
	signals        signalGate
	// activatedAt is the time at which the active configuration took effect, in microseconds since the
	// Unix epoch, or 0 before the first configuration.
	activatedAt atomic.Int64
	heap        *heapMemory

	// activeChanged receives a value when the number of active hosts has changed or this host has
	// become active or passive.
	activeChanged chan struct{}

	mu      sync.Mutex
	roster  *roster.Roster
	permits permits
	quotas  *quotas
	rate    rateMeter
	// byteRate measures the bytes exchanged with targets, link the utilization of the link
	// between regions.
	byteRate rateMeter
	link     locality.LinkMeter

	// servers are the servers beside callers whose limits are counted and logged.
	serversMu sync.Mutex
	servers   []*watchedServer
}

// NewGateway creates a host. Run starts it.
func NewGateway(settings GatewaySettings, store port.Registry, log logrus.FieldLogger) (*Gateway, error) {
	now := time.Now()
	if settings.Distance == (locality.Config{}) {
		settings.Distance = locality.DefaultConfig()
	}
	incarnation := ident.Incarnation(now.UnixMicro())
	g := &Gateway{settings: settings, log: log, activeChanged: make(chan struct{}, 1), permits: newPermits(incarnation)}
	g.heap = newHeapMemory(settings.Limits.MemoryBytes)
	g.timeline = timeline.New(settings.Host, log)
	g.identity = newIdentity(settings.Host, incarnation, g.timeline)
	memory := settings.Limits.budget()
	g.transport = target.New(gatewayTransportConfig(settings.Dialect, &settings.Limits, memory))
	g.services = newServices(dispatch.Self{Host: settings.Host, Location: settings.Location, Distance: settings.Distance}, g.transport, g.timeline)
	self := registry.Host{
		ID:            settings.Host,
		Incarnation:   incarnation,
		Location:      settings.Location,
		CallerAddress: settings.CallerAddress,
		PeerAddress:   settings.PeerAddress,
		Millicores:    settings.Millicores,
		LinkMbps:      settings.LinkMbps,
	}
	g.roster = roster.New(now, roster.DefaultConfig(), self, settings.Seeds)
	fleet, err := peer.ListenFleet(settings.PeerAddress, g.identity, log)
	if err != nil {
		return nil, errors.Wrap(err, "peer address")
	}
	fleet.SetMemory(settings.Limits.MemoryBytes)
	g.fleet = fleet
	g.replica = discovery.New(discovery.DefaultConfig(), store, fleet, role{g}, g.timeline, log)
	g.requests = requestlog.New(log)
	g.quotas = newQuotas(g, incarnation, settings.RegionNames)
	g.ingress = ingress.New(ingress.Config{
		Host:              settings.Host,
		Incarnation:       incarnation,
		Location:          settings.Location,
		Transport:         g.transport,
		Recorder:          g.timeline,
		Dialect:           settings.Dialect,
		InitialConfigWait: initialConfigWait,
		Log:               g.requests,
		AwaitSignals:      g.signals.await,
		Keys: ingress.KeyPolicy{
			CopyAge:      g.replica.ConfigurationAge,
			MaxAge:       settings.ConfigurationAge,
			StrictRevoke: settings.StrictRevoke,
			RevokeAge:    settings.RevokeAge,
		},
		Quotas: g.quotas,

		ResponseBufferBytes: settings.Limits.ResponseBufferBytes,
		Memory:              memory,
	})
	g.callers = newCallerServer(g.ingress, &g.settings.Limits)
	g.ingress.Metrics().RegisterMetricsWriter(g.rejections.writeMetrics)
	g.ingress.Metrics().RegisterMetricsWriter(g.writeLimitMetrics)
	metrics.RegisterSet(g.ingress.Metrics())
	g.admin = admin.New(g, &platformDocuments{g}, "")
	return g, nil
}

// initialConfigWait is how long requests wait for the first configuration after a host has started.
// The coordinator or the store provides it within a few hundred milliseconds.
const initialConfigWait = 700 * time.Millisecond

// gatewayTransportConfig returns the configuration of connections to targets. New connections are
// expensive, so idle ones are kept for reuse. The dial timeout is short because a target that does
// not accept a connection within a few round trips is not worth waiting for.
func gatewayTransportConfig(d dialect.Dialect, limits *ClientLimits, memory *membudget.Budget) target.Config {
	cfg := target.DefaultConfig()
	cfg.Dialect = d
	cfg.DialTimeout = 250 * time.Millisecond
	cfg.IdleTimeout = 9 * time.Second
	cfg.NonIdempotentReuse = 8 * time.Second
	cfg.MaxIdle = 16
	cfg.MaxOpen = limits.TargetConnections
	cfg.SendBuffer, cfg.BodySendBuffer = limits.TargetSendBuffer, limits.TargetBodySendBuffer
	cfg.ReceiveBuffer, cfg.BodyReceiveBuffer = limits.TargetReceiveBuffer, limits.TargetBodyReceiveBuffer
	cfg.Memory = memory
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
	g.timeline.Record(event.HostStarted, event.F("incarnation", g.identity.Sender().Incarnation), event.F("caller_address", g.settings.CallerAddress))
	background, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, task := range []struct {
		name string
		run  func(context.Context)
	}{
		{"registry", func(ctx context.Context) { g.replica.Run(ctx, g.self(), g.settings.Seeds) }},
		{"datagrams", func(ctx context.Context) { g.fleet.Receive(ctx, fleetHandler{g, ctx}) }},
		{"roster", g.runRoster},
		{"request log", g.requests.Run},
		{"changes", g.activateChanges},
		{"observations", g.runObservations},
		{"quotas", g.quotas.run},
		{"client limits", g.watchClientLimits},
		{"peers", listeners.servePeers},
	} {
		running.Go(func() { recovery.Loop(background, g.log, task.name, task.run) })
	}
	since, err := awaitStop(ctx, listeners.serve(), &g.signals)
	g.shutDown(since)
	stop()
	listeners.close()
	g.fleet.Close()
	waitWithTimeout(&running, backgroundStopTimeout)
	metrics.UnregisterSet(g.ingress.Metrics(), false)
	g.services.close()
	g.transport.Close()
	return err
}

// backgroundStopTimeout limits the wait for background loops and calls from other hosts to end. The
// process exits anyway, and the platform kills it if it does not.
const backgroundStopTimeout = 100 * time.Millisecond

// waitWithTimeout waits for a group until it is done or the timeout has passed.
func waitWithTimeout(group *sync.WaitGroup, timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

// gatewayListeners holds the listeners of a gateway and its admin server. The server for callers is
// Gateway.callers.
type gatewayListeners struct {
	gateway                                     *Gateway
	callerListener, peerListener, adminListener net.Listener
	adminServer                                 *httpserver.Server
}

// gatewayAdminBodyBytes limits the request bodies of the admin API. Configurations are not sent there, and
// validating a document takes up to about 100 times its size in memory.
const gatewayAdminBodyBytes = 64 << 10

func (g *Gateway) listen() (*gatewayListeners, error) {
	l := &gatewayListeners{gateway: g, adminServer: newAdminServer(http.MaxBytesHandler(g.admin, gatewayAdminBodyBytes), g.settings.Limits.Admin())}
	g.WatchServer("admin", l.adminServer)
	for _, open := range []struct {
		name, address string
		target        *net.Listener
	}{{"caller address", g.settings.CallerAddress, &l.callerListener}, {"peer address", g.settings.PeerAddress, &l.peerListener}, {"admin address", g.settings.AdminAddress, &l.adminListener}} {
		listener, err := net.Listen("tcp", open.address)
		if err != nil {
			return nil, errors.Wrap(err, open.name)
		}
		*open.target = listener
	}
	return l, nil
}

// serve starts the servers and returns a channel that receives their failures.
func (l *gatewayListeners) serve() <-chan error {
	failed := make(chan error, 2)
	serve := func(server *httpserver.Server, listener net.Listener) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}
	go serve(l.gateway.callers, l.callerListener)
	go serve(l.adminServer, l.adminListener)
	return failed
}

func (l *gatewayListeners) servePeers(ctx context.Context) {
	if err := peer.ServeFleet(ctx, l.peerListener, l.gateway.identity, l.gateway.replica, l.gateway.settings.Limits.peers(), l.gateway.log); err != nil && ctx.Err() == nil {
		l.gateway.log.WithError(err).Error("peer server stopped; calls from other hosts are no longer served")
	}
}

func (l *gatewayListeners) close() { l.adminServer.Stop(adminStopTimeout) }

// Ready reports whether the host can serve callers.
func (g *Gateway) Ready() bool { return !g.draining.Load() && g.ingress.ActiveConfig() != nil }

// Addresses returns the addresses that a caller in a zone should use, and how long it may cache them.
// A host without a configuration returns the other active hosts that it knows of, or none.
func (g *Gateway) Addresses(zone ident.Zone) ([]string, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ingress.ActiveConfig() == nil && !g.roster.HasActive() {
		return nil, 0
	}
	var list []string
	for _, h := range g.roster.ForCallers(zone, rand.Float64()) {
		list = append(list, h.CallerAddress)
	}
	return list, g.settings.AddressMaxAge
}

func (g *Gateway) self() registry.Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.Self()
}
