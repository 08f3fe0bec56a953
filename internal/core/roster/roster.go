package roster

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// Config holds the settings of a roster. Start from DefaultConfig.
type Config struct {
	// Interval is the time between two reports, and between two beacons.
	Interval time.Duration
	// SilenceLimit is the time without a report from which a host counts as down,
	// and without a beacon from which the next host coordinates.
	SilenceLimit time.Duration
	// TakeoverStep is added to SilenceLimit for each further host in the order, up
	// to maxTakeoverSteps.
	TakeoverStep time.Duration
	// ReportTo is the number of hosts that get reports, so that the next
	// coordinator knows who lives when it takes over.
	ReportFanout int
	// RatePerCore is the number of requests per second that one core of an active
	// host should serve.
	RatePerCore float64
	// MinPerZone is the least number of active hosts in a zone.
	MinPerZone int
	// LoadDecay is what is left of a zone's peak load after one interval.
	LoadDecay float64
	// RemoteEvery is the number of beacons of which one goes to other regions.
	RemoteBeaconEvery int
	// RemoteLimit is the time without a beacon of another region from which its
	// active hosts are not known any more.
	RemoteSilenceLimit time.Duration
	// StartWait is how long a host that has just started waits for a beacon before
	// it coordinates as the first of the hosts that it knows, and AloneWait how long
	// it does so if it knows none.
	StartWait time.Duration
	SeedWait time.Duration
	// IntroduceInterval is the time between the first two reports to the seeds. It
	// doubles up to MaxIntroduceInterval until this host follows another one.
	SeedReportInterval    time.Duration
	MaxSeedReportInterval time.Duration
	// DirectLimit is the number of hosts up to which beacons go to all of them
	// without relays.
	RelayThreshold int
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Interval:     300 * time.Millisecond,
		SilenceLimit: time.Second,
		TakeoverStep: 150 * time.Millisecond,
		ReportFanout:     2,
		RatePerCore:  200,
		MinPerZone:   1,
		LoadDecay:    0.995,
		RemoteBeaconEvery:  4,
		RemoteSilenceLimit:  5 * time.Second,
		StartWait:    250 * time.Millisecond,
		SeedWait:    1500 * time.Millisecond,
		// A host that starts hears of the coordinator within a few round trips.
		SeedReportInterval:    100 * time.Millisecond,
		MaxSeedReportInterval: 1600 * time.Millisecond,
		RelayThreshold:          16,
	}
}

// State is what a host knows of the registry, for the comparison with others.
type State struct {
	ConfigVersion  uint64
	TargetsChanged int64
	HostsHash      uint64
	// Age is the time since the store confirmed that there is nothing newer.
	Age time.Duration
}

// peer is what this host knows of another one.
type peer struct {
	registry.Host
	// heard is the time of the last report, zero if there was none.
	heard   time.Time
	leaving bool
	// starting tells that the host said that it cannot serve callers yet.
	starting bool
	rate     float64
}

// Roster is what one host knows about the hosts of its region. It is not safe
// for concurrent use.
type Roster struct {
	cfg     Config
	self    registry.Host
	leaving bool
	rate    float64

	// hosts holds all known hosts by ID, this one included.
	hosts map[ident.HostID]*peer
	// order holds the hosts of this region in the order of coordination.
	order []*peer
	// active holds the hosts that callers are sent to, as the coordinator says.
	active []ident.HostID
	// remote holds the active hosts of the other regions, and regions what their
	// coordinators said, if this host coordinates.
	remote  []ident.HostID
	regions map[ident.Region]remoteRegion
	// beacons counts the beacons that this host sent.
	beacons uint64
	// seeds are the peer addresses of hosts that may know others.
	seeds      []string
	startedAt  time.Time
	introduced time.Time
	introduce  time.Duration
	// welcomed is the time of the latest welcome that this host acted on.
	welcomed time.Time
	// coordinator is the host that this one follows, empty before its first beacon.
	// sequence is the number of its latest one. silent is the one before this host
	// took over; followed is the coordinator's incarnation.
	coordinator ident.HostID
	sequence    uint64
	followed    ident.Incarnation
	silent      ident.HostID
	tookOver    time.Time
	// peaks holds the decaying peak of each zone's load.
	peaks      map[ident.Zone]float64
	beaconAt   time.Time
	nextReport time.Time
	nextBeacon time.Time
}

// New returns a roster that knows only this host and the addresses of seeds, which
// may be down.
func New(now time.Time, cfg Config, self registry.Host, seeds []string) *Roster {
	r := &Roster{
		cfg: cfg, self: self, hosts: map[ident.HostID]*peer{}, peaks: map[ident.Zone]float64{}, regions: map[ident.Region]remoteRegion{},
		startedAt: now, introduce: cfg.SeedReportInterval, tookOver: now, beaconAt: now, nextReport: now, nextBeacon: now,
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

// SetRate sets the number of requests per second of this host.
func (r *Roster) SetRate(rate float64) { r.rate = rate }

// SetReady tells whether this host can serve callers.
func (r *Roster) SetReady(ready bool) { r.hosts[r.self.ID].starting = !ready }

// Announce makes this host send its next beacon at once, if it coordinates.
func (r *Roster) Announce(now time.Time) []Action {
	r.nextBeacon = now
	return r.Tick(now)
}

// Leave makes this host tell the others that it takes no new callers.
func (r *Roster) Leave(now time.Time) []Action {
	var actions []Action
	if r.Coordinates(now) {
		r.leaving = true
		actions = append(actions, r.beacon(now))
	}
	r.leaving = true
	r.hosts[r.self.ID].leaving = true
	r.nextReport = now
	return append(actions, r.Tick(now)...)
}

// Tick advances the timers.
func (r *Roster) Tick(now time.Time) []Action {
	var actions []Action
	if !now.Before(r.nextReport) {
		r.nextReport = now.Add(r.cfg.Interval)
		actions = append(actions, r.report()...)
	}
	if r.isolated() && now.Sub(r.introduced) >= r.introduce {
		actions = append(actions, r.introduceSelf(now)...)
	}
	if !now.Before(r.nextBeacon) {
		if r.Coordinates(now) {
			r.nextBeacon = now.Add(r.cfg.Interval)
			actions = append(actions, r.beacon(now))
			actions = append(actions, r.remoteBeacon()...)
		}
	}
	return actions
}

// alive reports whether a host counts as alive for the coordinator.
func (r *Roster) alive(now time.Time, p *peer) bool {
	if p.ID == r.self.ID {
		return true
	}
	if now.Sub(p.heard) < r.cfg.SilenceLimit {
		return true
	}
	// Hosts have not reported to a coordinator that took over yet. One that is the
	// first since its start knows of no host that lived.
	return r.silent != "" && p.ID != r.silent && now.Sub(r.tookOver) < r.cfg.SilenceLimit
}
