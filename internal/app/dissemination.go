package app

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/configlog"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/core/serving"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/recovery"
)

// Parameters of the dissemination of log records among hosts.
const (
	// readersPerZone is the number of hosts per availability zone that read the log directly.
	readersPerZone = 2
	// pushFanout is the number of random hosts that a host pushes new records to. With a fanout of
	// 4, six rounds reach 3,200 hosts.
	pushFanout = 4
	// pullBatchSize is the maximum number of records per request to a peer.
	pullBatchSize = 256
	// concurrentPullDelay is the time after the start of a pull from which another one may start
	// concurrently. An unresponsive host blocks a pull of records for 3 s and of a snapshot for 30 s.
	concurrentPullDelay = time.Second
	// maxConcurrentPulls limits the number of concurrent pulls.
	maxConcurrentPulls = 4
	// bootstrapPeers is the number of hosts that a starting host requests a snapshot from.
	bootstrapPeers = 3
	// logContactTimeout is the time since the last contact of any host with the log service after
	// which hosts that are not readers start to read the log. Membership messages carry this time
	// from host to host; among 3,200 hosts it takes about 12 messages to reach all of them.
	logContactTimeout = 15 * time.Second
	// standbyDelay is the additional delay after logContactTimeout for each further host of a zone.
	standbyDelay = 2 * time.Second
	// digestInterval is the time between two updates of the digest in membership messages.
	digestInterval = time.Second
	// readerInterval is the time between two decisions whether this host reads the log.
	readerInterval = time.Second
)

// disseminator pushes and pulls log records between hosts, so that only a few hosts read the log.
type disseminator struct {
	follower   *configlog.Follower
	peers      port.Peers
	membership *membership
	host       ident.HostID
	log        logrus.FieldLogger

	mu sync.Mutex
	// lastLogContact is the time of the last known contact of any host with the log service.
	lastLogContact time.Time
	// runningPulls holds the peer addresses of running pulls, and lastPullStart the start of the
	// last one. One pull at a time is enough, since it continues until no record is missing, unless
	// its host is unresponsive.
	runningPulls  map[string]bool
	lastPullStart time.Time
}

// run pushes newly applied records to other hosts and updates the digest until ctx ends.
func (s *disseminator) run(ctx context.Context) {
	applied, cancel := s.follower.SubscribeApplied()
	defer cancel()
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	pushed := s.follower.Status().AsOf
	for {
		status := s.follower.Status()
		s.publishDigest(status)
		if status.AsOf > pushed {
			s.push(ctx, pushed)
			pushed = status.AsOf
		}
		select {
		case <-applied:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// publishDigest sets the configuration digest in membership messages and the metrics.
func (s *disseminator) publishDigest(status configlog.Status) {
	if status.LogReached && status.LogErr == nil {
		s.recordLogContact(0)
	}
	configurationRevision.Set(float64(status.Revision))
	configurationAsOf.Set(float64(status.AsOf))
	digest := member.Digest{AsOf: status.AsOf, Revision: status.Revision}
	s.mu.Lock()
	lastLogContact := s.lastLogContact
	s.mu.Unlock()
	s.membership.update(func(_ time.Time, l *member.List) []member.Action {
		l.SetDigest(digest, lastLogContact)
		return nil
	})
}

// push sends the records after an offset to pushFanout random hosts.
func (s *disseminator) push(ctx context.Context, after int64) {
	records, err := s.follower.RecordsAfter(after, pullBatchSize)
	if err != nil || len(records) == 0 {
		return
	}
	for _, h := range s.randomHosts(pushFanout) {
		go func() {
			if _, err := s.peers.Push(ctx, h.PeerAddress, records); err != nil {
				s.log.WithError(err).WithField("peer", h.ID).Debug("pushing log records failed")
			}
		}()
	}
}

// randomHosts returns up to count random live hosts, of this host's region if it has any others. Each
// region has hosts that read the log, so records need not be sent between regions.
func (s *disseminator) randomHosts(count int) []port.Host {
	region := s.membership.self().Location.Region
	hosts := s.membership.Live()
	sameRegion := slices.DeleteFunc(slices.Clone(hosts), func(h port.Host) bool { return h.Location.Region != region })
	if len(sameRegion) > 0 {
		hosts = sameRegion
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(count, len(hosts))]
}

// applyPushed applies pushed records and returns the offset applied. If earlier records are missing,
// it starts a pull from the sender.
func (s *disseminator) applyPushed(from port.Sender, records []revision.Record) int64 {
	var missing *configlog.MissingRecordsError
	if err := s.follower.ApplyFromPeer(records); errors.As(err, &missing) {
		if n, ok := s.membership.node(from.Host); ok {
			s.startPull(portHost(&n))
		}
	}
	return s.follower.Status().AsOf
}

// handleDigest starts a pull from a host that has applied more of the log than this one.
func (s *disseminator) handleDigest(h port.Host, d member.Digest) {
	s.recordLogContact(d.LogAge)
	if d.AsOf > s.follower.Status().AsOf {
		s.startPull(h)
	}
}

// startPull pulls from a host on another goroutine. A panic ends only the pull.
func (s *disseminator) startPull(h port.Host) {
	go recovery.Call(s.log, "pull of log records", func() { s.pull(h) })
}

// recordLogContact records that the log service responded to a host the given time ago.
func (s *disseminator) recordLogContact(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := time.Now().Add(-age); at.After(s.lastLogContact) {
		s.lastLogContact = at
	}
}

// sinceLogContact returns the time since the last known contact with the log service.
func (s *disseminator) sinceLogContact() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.lastLogContact)
}

// pull pulls the missing records from a host, unless a recent pull, a pull from the same host or
// maxConcurrentPulls pulls are running.
func (s *disseminator) pull(h port.Host) {
	s.mu.Lock()
	busy := len(s.runningPulls) > 0 && time.Since(s.lastPullStart) < concurrentPullDelay
	if busy || s.runningPulls[h.PeerAddress] || len(s.runningPulls) == maxConcurrentPulls {
		s.mu.Unlock()
		return
	}
	if s.runningPulls == nil {
		s.runningPulls = map[string]bool{}
	}
	s.runningPulls[h.PeerAddress] = true
	s.lastPullStart = time.Now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.runningPulls, h.PeerAddress)
		s.mu.Unlock()
	}()
	if err := s.pullAll(context.Background(), h); err != nil {
		s.log.WithError(err).WithField("peer", h.ID).Debug("pulling log records failed")
	}
}

// pullAll requests and applies records until none is missing, or adopts a snapshot if the host no
// longer keeps the records.
func (s *disseminator) pullAll(ctx context.Context, h port.Host) error {
	for {
		after := s.follower.Status().AsOf
		records, snapshotNeeded, err := s.peers.Records(ctx, h.PeerAddress, after, pullBatchSize)
		switch {
		case err != nil:
			return err
		case snapshotNeeded:
			return s.adoptSnapshotFrom(ctx, h)
		case len(records) == 0:
			return nil
		}
		if err := s.follower.ApplyFromPeer(records); err != nil {
			return err
		}
	}
}

func (s *disseminator) adoptSnapshotFrom(ctx context.Context, h port.Host) error {
	snap, err := s.fetchSnapshot(ctx, h)
	if err != nil {
		return err
	}
	_, err = s.follower.AdoptSnapshot(snap)
	return err
}

func (s *disseminator) fetchSnapshot(ctx context.Context, h port.Host) (revision.Snapshot, error) {
	data, err := s.peers.Snapshot(ctx, h.PeerAddress)
	if err != nil {
		return revision.Snapshot{}, err
	}
	return logcodec.DecodeSnapshot(data)
}

// bootstrap adopts the newest of the snapshots of up to bootstrapPeers live hosts as soon as any is
// known, unless a configuration is already active.
func (s *disseminator) bootstrap(ctx context.Context) {
	var hosts []port.Host
	for len(hosts) == 0 && ctx.Err() == nil {
		hosts = s.randomHosts(bootstrapPeers)
		if s.follower.Status().Revision > 0 {
			return
		}
		sleep(ctx, minTickInterval)
	}
	for _, h := range hosts {
		if err := s.adoptSnapshotFrom(ctx, h); err != nil {
			s.log.WithError(err).WithField("peer", h.ID).Info("adopting a snapshot from the host failed")
		}
	}
}

// updateReading starts and stops reading the log until ctx ends.
func (s *disseminator) updateReading(ctx context.Context) {
	for ctx.Err() == nil {
		s.follower.SetReading(s.shouldRead())
		sleep(ctx, readerInterval)
	}
}

// shouldRead reports whether this host reads the log. The first readersPerZone hosts of each zone in
// rendezvous order do. While no host reports contact with the log service, the following hosts start
// one after the other, so that an outage does not make all hosts call the service.
func (s *disseminator) shouldRead() bool {
	self := s.membership.self()
	var zone []serving.Host
	for _, h := range ingress.ToServingHosts(s.membership.Serving()) {
		if h.Location.Zone == self.Location.Zone {
			zone = append(zone, h)
		}
	}
	standby := rankOf("log-reader", s.host, zone) - readersPerZone
	return standby < 0 || s.sinceLogContact() >= logContactTimeout+time.Duration(standby)*standbyDelay
}
