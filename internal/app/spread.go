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
)

// Parameters of the spread of log records among hosts.
const (
	// readersPerZone is the number of hosts in an availability zone that read
	// the log themselves.
	readersPerZone = 2
	// fanOut is the number of random hosts that get new records pushed. Six
	// rounds of four reach 3,200 hosts.
	fanOut = 4
	// pullLimit is the number of records that are asked for at once.
	pullLimit = 256
	// pullTimeout is the age of a running pull from which another one may start:
	// a host that does not answer holds a pull for 3 s, or a snapshot for 30 s.
	pullTimeout = time.Second
	// maxPulls bounds the pulls that run at once.
	maxPulls = 4
	// snapshotPeers is the number of hosts that a starting host asks.
	snapshotPeers = 3
	// silenceLimit is the age of the newest contact with the log service, heard
	// of through any chain of hosts, from which a host reads the log although it
	// is not one of the readers. Membership messages carry the age, and among
	// 3,200 hosts it takes about 12 of them to reach everybody.
	silenceLimit = 15 * time.Second
	// standbyDelay is the time after silenceLimit that each further host of a
	// zone waits before it reads the log as well.
	standbyDelay = 2 * time.Second
	// digestInterval is the time between two updates of the digest on messages.
	digestInterval = time.Second
	// readerInterval is the time between two decisions who reads the log.
	readerInterval = time.Second
)

// spread passes log records between hosts, so that few read the log.
type spread struct {
	follower *configlog.Follower
	peers    port.Peers
	fleet    *fleet
	host     ident.HostID
	log      logrus.FieldLogger

	mu sync.Mutex
	// contactAt is the time of the newest contact with the log service that
	// this host knows of.
	contactAt time.Time
	// pulls holds the peer addresses of the pulls that are running, pulledAt is
	// the start of the last one. One is enough, since it goes on until nothing is
	// missing, unless its host does not answer.
	pulls    map[string]bool
	pulledAt time.Time
}

// run pushes applied records to other hosts until ctx ends.
func (s *spread) run(ctx context.Context) {
	applied, cancel := s.follower.SubscribeApplied()
	defer cancel()
	ticker := time.NewTicker(digestInterval)
	defer ticker.Stop()
	pushed := s.follower.Status().AsOf
	for {
		status := s.follower.Status()
		s.announce(status)
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

// announce sets what membership messages say about this host's configuration.
func (s *spread) announce(status configlog.Status) {
	if status.LogReached && status.LogErr == nil {
		s.contact(0)
	}
	configurationRevision.Set(float64(status.Revision))
	configurationAsOf.Set(float64(status.AsOf))
	digest := member.Digest{AsOf: status.AsOf, Revision: status.Revision}
	s.mu.Lock()
	contactAt := s.contactAt
	s.mu.Unlock()
	s.fleet.update(func(_ time.Time, l *member.List) []member.Action {
		l.SetDigest(digest, contactAt)
		return nil
	})
}

func (s *spread) push(ctx context.Context, after int64) {
	records, err := s.follower.RecordsAfter(after, pullLimit)
	if err != nil || len(records) == 0 {
		return
	}
	for _, h := range s.nearHosts(fanOut) {
		go func() {
			if _, err := s.peers.Push(ctx, h.PeerAddress, records); err != nil {
				s.log.WithError(err).WithField("peer", h.ID).Debug("records were not pushed")
			}
		}()
	}
}

// nearHosts returns up to count random live hosts, those of this host's region
// if it has any. Each region has hosts that read the log, so records need not
// cross the link between regions again.
func (s *spread) nearHosts(count int) []port.Host {
	region := s.fleet.self().Location.Region
	hosts := s.fleet.Live()
	near := slices.DeleteFunc(slices.Clone(hosts), func(h port.Host) bool { return h.Location.Region != region })
	if len(near) > 0 {
		hosts = near
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(count, len(hosts))]
}

// receive takes pushed records. A host that lacks earlier ones pulls them.
func (s *spread) receive(from port.Caller, records []revision.Record) int64 {
	var missing *configlog.MissingRecordsError
	if err := s.follower.ApplyFromPeer(records); errors.As(err, &missing) {
		if n, ok := s.fleet.node(from.Host); ok {
			go s.pull(portHost(&n))
		}
	}
	return s.follower.Status().AsOf
}

// heard pulls from a host that has applied more of the log than this one.
func (s *spread) heard(h port.Host, d member.Digest) {
	s.contact(d.LogAge)
	if d.AsOf > s.follower.Status().AsOf {
		go s.pull(h)
	}
}

// contact notes that the log service answered somebody some time ago.
func (s *spread) contact(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := time.Now().Add(-age); at.After(s.contactAt) {
		s.contactAt = at
	}
}

// logAge returns the time since the newest known contact with the log service.
func (s *spread) logAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.contactAt)
}

func (s *spread) pull(h port.Host) {
	s.mu.Lock()
	busy := len(s.pulls) > 0 && time.Since(s.pulledAt) < pullTimeout
	if busy || s.pulls[h.PeerAddress] || len(s.pulls) == maxPulls {
		s.mu.Unlock()
		return
	}
	if s.pulls == nil {
		s.pulls = map[string]bool{}
	}
	s.pulls[h.PeerAddress] = true
	s.pulledAt = time.Now()
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.pulls, h.PeerAddress)
		s.mu.Unlock()
	}()
	if err := s.pullAll(context.Background(), h); err != nil {
		s.log.WithError(err).WithField("peer", h.ID).Debug("records were not pulled")
	}
}

// pullAll takes records until none is missing, or a snapshot when the records
// are no longer kept.
func (s *spread) pullAll(ctx context.Context, h port.Host) error {
	for {
		after := s.follower.Status().AsOf
		records, snapshotNeeded, err := s.peers.Records(ctx, h.PeerAddress, after, pullLimit)
		switch {
		case err != nil:
			return err
		case snapshotNeeded:
			return s.adoptFrom(ctx, h)
		case len(records) == 0:
			return nil
		}
		if err := s.follower.ApplyFromPeer(records); err != nil {
			return err
		}
	}
}

func (s *spread) adoptFrom(ctx context.Context, h port.Host) error {
	snap, err := s.snapshotOf(ctx, h)
	if err != nil {
		return err
	}
	_, err = s.follower.AdoptSnapshot(snap)
	return err
}

func (s *spread) snapshotOf(ctx context.Context, h port.Host) (revision.Snapshot, error) {
	data, err := s.peers.Snapshot(ctx, h.PeerAddress)
	if err != nil {
		return revision.Snapshot{}, err
	}
	return logcodec.DecodeSnapshot(data)
}

// join takes the newest of the snapshots of some live hosts, once any is known.
func (s *spread) join(ctx context.Context) {
	var hosts []port.Host
	for len(hosts) == 0 && ctx.Err() == nil {
		hosts = s.nearHosts(snapshotPeers)
		if s.follower.Status().Revision > 0 {
			return
		}
		sleep(ctx, tickFloor)
	}
	for _, h := range hosts {
		if err := s.adoptFrom(ctx, h); err != nil {
			s.log.WithError(err).WithField("peer", h.ID).Info("no snapshot from this host")
		}
	}
}

// chooseReaders switches reading the log on and off.
func (s *spread) chooseReaders(ctx context.Context) {
	for ctx.Err() == nil {
		s.follower.SetReading(s.shouldRead())
		sleep(ctx, readerInterval)
	}
}

// shouldRead reports whether this host reads the log: the first hosts of its
// zone in rendezvous order do, and the next ones one after the other while no
// contact with the log service is heard of, so that an outage does not make
// every host call it.
func (s *spread) shouldRead() bool {
	self := s.fleet.self()
	var zone []serving.Host
	for _, h := range ingress.ServingHosts(s.fleet.Serving()) {
		if h.Location.Zone == self.Location.Zone {
			zone = append(zone, h)
		}
	}
	standby := rank("log-reader", s.host, zone) - readersPerZone
	return standby < 0 || s.logAge() >= silenceLimit+time.Duration(standby)*standbyDelay
}
