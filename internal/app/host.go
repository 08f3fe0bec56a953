// Package app assembles a host from the core, the ports and the adapters, and runs it from startup to
// graceful shutdown.
package app

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/admin"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/hostlist"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/logservice"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/peer"
	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/configlog"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/event"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/core/serving"
	"github.com/sapphirehaven/sapphirehaven/internal/timeline"
)

// Host is a running host that takes its configuration from the platform's log service. Gateway is its
// counterpart for deployments with a registry of hosts and targets.
type Host struct {
	settings     Settings
	log          logrus.FieldLogger
	location     ident.Location
	timeline     *timeline.Timeline
	transport    *target.Transport
	services     *services
	identity     *identity
	membership   *membership
	peers        *peer.Client
	disseminator *disseminator
	directory    *directory
	exchanger    *evidenceExchanger
	tickets      *tickets
	follower     *configlog.Follower
	writer       *configlog.Writer
	checkpoints  *configlog.CheckpointWriter
	ingress      *ingress.Server
	admin        *admin.Server
	draining     atomic.Bool
	signals      signalGate
	// activatedAt is the time at which the active configuration took effect, in microseconds since the
	// Unix epoch, or 0 before the first configuration.
	activatedAt atomic.Int64
	heapBallast []byte
}

// New creates a host from validated settings. Run starts it.
func New(settings Settings, log logrus.FieldLogger) (*Host, error) {
	h := &Host{
		settings:    settings,
		log:         log,
		heapBallast: newHeapBallast(),
		location:    ident.Location{Region: ident.Region(settings.Region), Zone: ident.Zone(settings.Zone)},
	}
	incarnation := ident.Incarnation(time.Now().UnixMicro())
	id := ident.HostID(settings.HostID)
	h.timeline = timeline.New(id, log)
	h.transport = target.New(target.DefaultConfig())
	h.services = newServices(dispatch.Self{Host: id, Location: h.location}, h.transport, h.timeline)
	h.identity = newIdentity(id, incarnation, h.timeline)
	h.peers = peer.NewClient(h.identity)
	if err := h.newConfigLog(id, uint64(incarnation)); err != nil {
		return nil, err
	}
	h.tickets = newTickets(settings.TicketTTL, id, incarnation)
	h.tickets.peers, h.tickets.timeline, h.tickets.log = h.peers, h.timeline, log
	if err := h.newMembership(incarnation); err != nil {
		return nil, err
	}
	h.ingress = ingress.New(ingress.Config{
		Host:          id,
		Incarnation:   incarnation,
		Location:      h.location,
		AddressMaxAge: settings.AddressMaxAge,
		Transport:     h.transport,
		Members:       h.directory,
		Tickets:       h.tickets,
		CallerAddress: settings.CallerAdvertise,
		Recorder:      h.timeline,
		AwaitSignals:  h.signals.await,
	})
	metrics.RegisterSet(h.ingress.Metrics())
	h.admin = admin.New(h, &documents{follower: h.follower, writer: h.writer}, settings.AdminToken)
	return h, nil
}

func (h *Host) newConfigLog(id ident.HostID, seed uint64) error {
	log, err := logservice.New(logservice.DefaultConfig(h.settings.LogURL))
	if err != nil {
		return errors.Wrap(err, "-log-url")
	}
	cfg := configlog.DefaultConfig()
	cfg.Seed = seed
	cfg.OnEvent = h.configurationEvent
	h.follower = configlog.NewFollower(log, cfg)
	appends := revision.DefaultAppendConfig()
	appends.Deadline = adminapi.ApplyTimeout
	h.writer = configlog.NewWriter(log, h.follower, appends)
	checkpoints := revision.DefaultCheckpointConfig(h.settings.LogRetention)
	checkpoints.Seed = seed ^ hostSeed(id)
	h.checkpoints = configlog.NewCheckpointWriter(log, h.follower, id, h.checkpointRank, checkpoints)
	return nil
}

func (h *Host) newMembership(incarnation ident.Incarnation) error {
	datagrams, err := peer.ListenDatagrams(h.settings.PeerListen, h.identity)
	if err != nil {
		return errors.Wrap(err, "-peer-listen")
	}
	self := member.Info{
		ID:            ident.HostID(h.settings.HostID),
		Version:       member.Version{Incarnation: incarnation},
		Location:      h.location,
		PeerAddress:   h.settings.PeerAdvertise,
		CallerAddress: h.settings.CallerAdvertise,
		AdminAddress:  h.settings.AdminAdvertise,
	}
	h.membership = &membership{
		list:      hostlist.New(h.settings.HostsURL),
		datagrams: datagrams,
		timeline:  h.timeline,
		log:       h.log,
		onResumed: h.handleResume,
		members:   member.New(time.Now(), member.DefaultConfig(), self, uint64(incarnation)),
	}
	h.disseminator = &disseminator{follower: h.follower, peers: h.peers, membership: h.membership, host: self.ID, log: h.log}
	h.membership.onDigest = h.disseminator.handleDigest
	h.tickets.membership = h.membership
	h.directory = newDirectory(h.membership, uint64(incarnation))
	h.services.serves = func(name ident.ServiceName) bool {
		return h.directory.isServingHost(ident.HostID(h.settings.HostID), name)
	}
	h.exchanger = &evidenceExchanger{services: h.services, hosts: h.directory, peers: h.peers, identity: h.identity, log: h.log}
	return nil
}

// hostSeed returns a seed that differs between hosts started in the same microsecond.
func hostSeed(id ident.HostID) uint64 { return seed(id, "") }

// handleResume switches to a new incarnation after a pause of the process.
func (h *Host) handleResume(incarnation ident.Incarnation) {
	h.identity.incarnation.Store(uint64(incarnation))
	h.tickets.handleResume(incarnation)
}

// checkpointRank returns this host's position in the order in which hosts write a checkpoint.
func (h *Host) checkpointRank() int {
	return rankOf("checkpoint", ident.HostID(h.settings.HostID), ingress.ToServingHosts(h.membership.Serving()))
}

// rankOf returns the position of a host in the rendezvous order of hosts for a key, or the number of
// hosts if it is not among them.
func rankOf(key string, id ident.HostID, hosts []serving.Host) int {
	ranked := serving.RankHosts(key, hosts)
	for i, host := range ranked {
		if host.ID == id {
			return i
		}
	}
	return len(ranked)
}

// Run serves until ctx ends, then shuts down gracefully.
func (h *Host) Run(ctx context.Context) error {
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	h.timeline.Record(event.HostStarted, event.F("incarnation", h.identity.Sender().Incarnation), event.F("caller_address", h.settings.CallerAdvertise))
	background, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, run := range []func(context.Context){h.membership.run, h.disseminator.run, h.disseminator.updateReading, h.disseminator.bootstrap, h.exchanger.run, h.services.readLoads, h.tickets.run, h.follower.Run, h.checkpoints.Run, h.activateRevisions, listeners.servePeers} {
		running.Add(1)
		go func() {
			defer running.Done()
			run(background)
		}()
	}
	since, err := awaitStop(ctx, listeners.serve(), &h.signals)
	h.shutDown(listeners, since)
	stop()
	running.Wait()
	metrics.UnregisterSet(h.ingress.Metrics(), false)
	h.services.close()
	h.transport.Close()
	h.peers.Close()
	runtime.KeepAlive(h.heapBallast)
	return err
}

// activateRevisions activates each new revision until ctx ends.
func (h *Host) activateRevisions(ctx context.Context) {
	activated, cancel := h.follower.Subscribe()
	defer cancel()
	for {
		if active := h.follower.ActiveConfig(); active.Document != nil {
			h.activate(active)
		}
		select {
		case <-activated:
		case <-ctx.Done():
			return
		}
	}
}

func (h *Host) activate(active configlog.ActiveConfig) {
	current := h.ingress.ActiveConfig()
	if current != nil && current.Revision >= active.Revision {
		return
	}
	next := h.services.apply(active.Revision, active.Document)
	h.directory.configure(next)
	h.ingress.Activate(next)
	h.activatedAt.Store(time.Now().UnixMicro())
	h.timeline.Record(event.ConfigurationInForce, event.F("revision", active.Revision), event.F("hash", active.Chain), event.F("offset", active.AsOf))
}

// configurationEvent records an event of the configuration log. An activated revision is recorded by
// activate instead, when requests start to use it.
func (h *Host) configurationEvent(e configlog.Event) {
	switch e.Kind {
	case configlog.LogUnavailable:
		h.timeline.Record(event.LogUnavailable, event.F("error", e.Err))
	case configlog.LogAvailable:
		h.timeline.Record(event.LogAvailable)
	case configlog.CheckpointAppended:
		h.timeline.Record(event.CheckpointWritten, event.F("revision", e.Revision), event.F("as_of", e.AsOf))
	case configlog.Refused:
		h.timeline.Record(event.ConfigurationRefused, event.F("id", e.Result.ID), event.F("reason", e.Result.Reason))
	case configlog.Activated, configlog.CheckpointSeen:
	default:
		h.log.WithError(e.Err).WithField("event", e.Kind.String()).Warn("configuration")
	}
}
