package roster

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// Config holds the settings of a roster. DefaultConfig returns the defaults.
type Config struct {
	// Interval is the time between two reports and between two beacons.
	Interval time.Duration
	// FailureTimeout is the time without a report after which a host is considered down,
	// and the main part of the time without a beacon after which the next host takes
	// over as coordinator.
	FailureTimeout time.Duration
	// TakeoverStep is the time between takeovers: a host takes over FailureTimeout plus
	// TakeoverStep after the last beacon, plus TakeoverStep for each host that precedes
	// it in coordination order, up to maxTakeoverSteps.
	TakeoverStep time.Duration
	// ReportFanout is the number of hosts to which reports are sent, so that the next
	// coordinator already knows which hosts are alive when it takes over.
	ReportFanout int
	// RatePerCore is the request rate that an active host is expected to serve per
	// core, in requests per second.
	RatePerCore float64
	// MinPerZone is the minimum number of active hosts in a zone.
	MinPerZone int
	// LoadDecay is the factor by which a zone's peak load decays per interval.
	LoadDecay float64
	// RemoteBeaconEvery is the interval, in beacons, at which a beacon is also sent to
	// other regions: every RemoteBeaconEvery-th one is.
	RemoteBeaconEvery int
	// RemoteFailureTimeout is the time without a beacon of another region after which its
	// active hosts are considered unknown.
	RemoteFailureTimeout time.Duration
	// StartWait is how long a starting host waits for a beacon before it coordinates as
	// the first of the hosts that it knows. SeedWait replaces it if the host knows only
	// seeds.
	StartWait time.Duration
	SeedWait  time.Duration
	// SeedReportInterval is the time between the first two reports to the seeds. It
	// doubles up to MaxSeedReportInterval until this host follows another one.
	SeedReportInterval    time.Duration
	MaxSeedReportInterval time.Duration
	// RelayThreshold is the number of receivers up to which beacons are sent directly
	// instead of through relays.
	RelayThreshold int
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Interval:             300 * time.Millisecond,
		FailureTimeout:       time.Second,
		TakeoverStep:         150 * time.Millisecond,
		ReportFanout:         2,
		RatePerCore:          200,
		MinPerZone:           1,
		LoadDecay:            0.995,
		RemoteBeaconEvery:    4,
		RemoteFailureTimeout: 5 * time.Second,
		StartWait:            250 * time.Millisecond,
		SeedWait:             1500 * time.Millisecond,
		// A starting host learns of the coordinator within a few round trips.
		SeedReportInterval:    100 * time.Millisecond,
		MaxSeedReportInterval: 1600 * time.Millisecond,
		RelayThreshold:        16,
	}
}

// State summarizes a host's copy of the registry for comparison with other hosts.
type State struct {
	ConfigVersion uint64
	// TargetsChanged is the position in the store of the last change of a target.
	TargetsChanged registry.Position
	HostsHash      uint64
	// Age is the time since the store last confirmed that the copy is current.
	Age time.Duration
}

// hostState is the state of a known host, which can be this host itself.
type hostState struct {
	registry.Host
	// lastHeard is the time of the last report or coordinator beacon, zero if there was
	// none.
	lastHeard time.Time
	leaving   bool
	// starting is set while the host reports that it cannot serve callers yet.
	starting bool
	rate     float64
	byteRate float64
	// follows is the coordinator that the host follows, as of its last report.
	follows ident.HostID
	// learnedAt is the time at which this process of the host became known.
	learnedAt time.Time
	// hash identifies the host in lists of successors.
	hash uint32
}

// Roster is one host's view of the hosts of its region. It is not safe for concurrent
// use.
type Roster struct {
	cfg     Config
	self    registry.Host
	leaving bool
	rate    float64
	// byteRate is the number of bytes per second that this host exchanges with targets.
	byteRate float64

	// hosts holds all known hosts by ID, including this one.
	hosts map[ident.HostID]*hostState
	// order holds the hosts of this region in coordination order.
	order []*hostState
	// active holds the active hosts of the region as announced by the coordinator.
	active []ident.HostID
	// activeCapacity holds the requests per second that each active host carries as announced
	// by the coordinator, 0 in zones whose callers are spread evenly. It is nil if none is known.
	activeCapacity map[ident.HostID]uint32
	// remoteHosts holds the active hosts of the other regions. regions holds the latest
	// beacon of each of them and is used while this host coordinates.
	remoteHosts []ident.HostID
	regions     map[ident.Region]remoteRegion
	// remoteCoordinators holds the coordinators of the other regions.
	remoteCoordinators []ident.HostID
	// regionSize is the number of hosts of the region as of regionSizeAt, see
	// FollowerShare.
	regionSize   int
	regionSizeAt time.Time
	// coordinatorShare is the share of the coordinator that this host follows, as of its
	// latest beacon.
	coordinatorShare float64
	// nonOwners holds the active hosts that own no teams.
	nonOwners []ident.HostID
	// successors holds the first live hosts of the region in coordination order as announced
	// by the coordinator, see updateSuccessors. lastSuccessor is the last one of a full list.
	successors    []uint32
	lastSuccessor *hostState
	// ownersOf holds the hosts of each region that can own teams, nil after a change. It is
	// replaced, not changed, because views refer to it.
	ownersOf map[ident.Region][]ident.HostID
	// beaconsSent is the number of beacons that this host has sent.
	beaconsSent uint64
	// seeds holds the peer addresses of hosts that may know other hosts.
	seeds              []string
	startedAt          time.Time
	lastSeedReport     time.Time
	seedReportInterval time.Duration
	// lastWelcome is the time of the latest welcome that this host acted on.
	lastWelcome time.Time
	// coordinator is the host that this one follows, empty before the first beacon.
	// beaconSequence is the number of its latest beacon, and coordinatorIncarnation its
	// incarnation. previousCoordinator is the host that coordinated before this one
	// took over at tookOverAt.
	coordinator            ident.HostID
	beaconSequence         uint64
	coordinatorIncarnation ident.Incarnation
	previousCoordinator    ident.HostID
	tookOverAt             time.Time
	// followingSince is the time at which this host began to follow the current process
	// of the coordinator. coordinatorIsolated is set if that process has since announced that
	// it receives no messages, although this host has reported to it.
	followingSince      time.Time
	coordinatorIsolated bool
	// lastTick is the time of the latest call of Tick, initially the start time.
	lastTick time.Time
	// lastMessageAt is the time of the latest message from any other host, initially the
	// start time.
	lastMessageAt time.Time
	// peakLoad holds the decaying peak load of each zone.
	peakLoad map[ident.Zone]float64
	// traffic holds what this host measures of each zone while it coordinates.
	traffic      map[ident.Zone]*zoneTraffic
	lastBeaconAt time.Time
	nextReport   time.Time
	nextBeacon   time.Time
}

// New returns a roster that knows only this host and the addresses of seeds, which may
// be unreachable.
func New(now time.Time, cfg Config, self registry.Host, seeds []string) *Roster {
	r := &Roster{
		cfg: cfg, self: self, hosts: map[ident.HostID]*hostState{}, peakLoad: map[ident.Zone]float64{}, traffic: map[ident.Zone]*zoneTraffic{}, regions: map[ident.Region]remoteRegion{},
		startedAt: now, lastTick: now, seedReportInterval: cfg.SeedReportInterval, tookOverAt: now, lastMessageAt: now, lastBeaconAt: now, nextReport: now, nextBeacon: now,
	}
	for _, seed := range seeds {
		if seed != self.PeerAddress {
			r.seeds = append(r.seeds, seed)
		}
	}
	r.Learn([]registry.Host{self})
	r.SetReady(false)
	return r
}

// SetRate sets the request rate of this host, in requests per second.
func (r *Roster) SetRate(rate float64) { r.rate = rate }

// SetByteRate sets the number of bytes per second that this host exchanges with targets.
func (r *Roster) SetByteRate(rate float64) { r.byteRate = rate }

// SetReady sets whether this host can serve callers.
func (r *Roster) SetReady(ready bool) { r.hosts[r.self.ID].starting = !ready }

// Announce sends the next beacon immediately if this host coordinates.
func (r *Roster) Announce(now time.Time) []Action {
	r.nextBeacon = now
	return r.Tick(now)
}

// Leave announces that this host accepts no new callers.
func (r *Roster) Leave(now time.Time) []Action {
	var actions []Action
	if r.IsCoordinator(now) {
		r.leaving = true
		actions = append(actions, r.sendBeacon(now))
	}
	r.leaving = true
	r.hosts[r.self.ID].leaving = true
	r.nextReport = now
	return append(actions, r.Tick(now)...)
}

// Tick runs the timers that are due.
func (r *Roster) Tick(now time.Time) []Action {
	r.lastTick = now
	var actions []Action
	if !now.Before(r.nextReport) {
		r.nextReport = now.Add(r.cfg.Interval)
		actions = append(actions, r.report()...)
	}
	if r.followsNoHost() && now.Sub(r.lastSeedReport) >= r.seedReportInterval {
		actions = append(actions, r.reportToSeeds(now)...)
	}
	if !now.Before(r.nextBeacon) {
		if r.IsCoordinator(now) {
			r.nextBeacon = now.Add(r.cfg.Interval)
			actions = append(actions, r.sendBeacon(now))
			actions = append(actions, r.sendRemoteBeacon(now)...)
		}
	}
	return actions
}

// alive reports whether a host is considered alive.
func (r *Roster) alive(now time.Time, p *hostState) bool {
	if p.ID == r.self.ID {
		return true
	}
	if now.Sub(p.lastHeard) < r.cfg.FailureTimeout {
		return true
	}
	// After a takeover the hosts have not reported to the new coordinator yet, so all but
	// the previous coordinator, and those that it had not heard, are considered alive for
	// FailureTimeout. This does not apply to the first coordinator since its start, which has
	// no evidence of any live host.
	return r.previousCoordinator != "" && p.ID != r.previousCoordinator && now.Sub(r.tookOverAt) < r.cfg.FailureTimeout && !r.knownSilent(p)
}
