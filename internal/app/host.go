// Package app wires the core, the ports and the adapters into one host and runs
// its life from start to graceful shutdown.
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

// Host is one running host.
type Host struct {
	settings    Settings
	log         logrus.FieldLogger
	location    ident.Location
	timeline    *timeline.Timeline
	transport   *target.Transport
	services    *services
	identity    *identity
	fleet       *fleet
	peers       *peer.Client
	spread      *spread
	directory   *directory
	evidence    *evidence
	tickets     *tickets
	follower    *configlog.Follower
	writer      *configlog.Writer
	checkpoints *configlog.CheckpointWriter
	ingress     *ingress.Server
	admin       *admin.Server
	draining    atomic.Bool
	inForceAt   atomic.Int64
	heapFloor   []byte
}

// New builds a host from checked settings; Run starts it.
func New(settings Settings, log logrus.FieldLogger) (*Host, error) {
	h := &Host{
		settings:  settings,
		log:       log,
		heapFloor: newHeapFloor(),
		location:  ident.Location{Region: ident.Region(settings.Region), Zone: ident.Zone(settings.Zone)},
	}
	incarnation := ident.Incarnation(time.Now().UnixMicro())
	id := ident.HostID(settings.HostID)
	h.timeline = timeline.New(id, log)
	h.transport = target.New(target.DefaultConfig())
	h.services = newServices(dispatch.Self{Host: id, Location: h.location}, h.transport, h.timeline)
	h.identity = newIdentity(id, incarnation, h.timeline)
	h.peers = peer.NewClient(h.identity)
	if err := h.newConfiguration(id, uint64(incarnation)); err != nil {
		return nil, err
	}
	h.tickets = newTickets(settings.TicketTTL, id, incarnation)
	h.tickets.peers, h.tickets.timeline, h.tickets.log = h.peers, h.timeline, log
	if err := h.newFleet(incarnation); err != nil {
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
	})
	metrics.RegisterSet(h.ingress.Metrics())
	h.admin = admin.New(h, &documents{follower: h.follower, writer: h.writer}, settings.AdminToken)
	return h, nil
}

func (h *Host) newConfiguration(id ident.HostID, seed uint64) error {
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

func (h *Host) newFleet(incarnation ident.Incarnation) error {
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
	h.fleet = &fleet{
		list:      hostlist.New(h.settings.HostsURL),
		datagrams: datagrams,
		timeline:  h.timeline,
		log:       h.log,
		onResumed: h.resumed,
		members:   member.New(time.Now(), member.DefaultConfig(), self, uint64(incarnation)),
	}
	h.spread = &spread{follower: h.follower, peers: h.peers, fleet: h.fleet, host: self.ID, log: h.log}
	h.fleet.onHeard = h.spread.heard
	h.tickets.fleet = h.fleet
	h.directory = newDirectory(h.fleet, uint64(incarnation))
	h.services.serves = func(name ident.ServiceName) bool {
		return h.directory.servesService(ident.HostID(h.settings.HostID), name)
	}
	h.evidence = &evidence{services: h.services, hosts: h.directory, peers: h.peers, identity: h.identity, log: h.log}
	return nil
}

// hostSeed differs between hosts that started in the same microsecond.
func hostSeed(id ident.HostID) uint64 { return seed(id, "") }

// resumed stops work under the incarnation before a pause.
func (h *Host) resumed(incarnation ident.Incarnation) {
	h.identity.incarnation.Store(uint64(incarnation))
	h.tickets.resumed(incarnation)
}

// checkpointRank is this host's place in the order in which hosts write a
// checkpoint.
func (h *Host) checkpointRank() int {
	return rank("checkpoint", ident.HostID(h.settings.HostID), ingress.ServingHosts(h.fleet.Serving()))
}

func rank(key string, id ident.HostID, hosts []serving.Host) int {
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
	h.timeline.Record(event.HostStarted, event.F("incarnation", h.identity.Caller().Incarnation), event.F("caller_address", h.settings.CallerAdvertise))
	background, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, run := range []func(context.Context){h.fleet.run, h.spread.run, h.spread.chooseReaders, h.spread.join, h.evidence.run, h.services.readLoads, h.tickets.run, h.follower.Run, h.checkpoints.Run, h.activateRevisions, listeners.servePeers} {
		running.Add(1)
		go func() {
			defer running.Done()
			run(background)
		}()
	}
	failed := listeners.serve()
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	h.shutDown(listeners)
	stop()
	running.Wait()
	metrics.UnregisterSet(h.ingress.Metrics(), false)
	h.services.close()
	h.transport.Close()
	h.peers.Close()
	runtime.KeepAlive(h.heapFloor)
	return err
}

// activateRevisions puts each new revision in force.
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
	next := h.services.activate(active.Revision, active.Document)
	h.directory.configure(next)
	h.ingress.Activate(next)
	h.inForceAt.Store(time.Now().UnixMicro())
	h.timeline.Record(event.ConfigurationInForce, event.F("revision", active.Revision), event.F("hash", active.Chain), event.F("offset", active.AsOf))
}

// configurationEvent records what happens in the log. Activated revisions are
// recorded when requests run under them.
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
