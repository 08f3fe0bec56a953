package roster

import (
	"hash/fnv"
	"slices"
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
	ReportTo int
	// RatePerCore is the number of requests per second that one core of an active
	// host should serve.
	RatePerCore float64
	// MinPerZone is the least number of active hosts in a zone.
	MinPerZone int
	// LoadDecay is what is left of a zone's peak load after one interval.
	LoadDecay float64
	// RemoteEvery is the number of beacons of which one goes to other regions.
	RemoteEvery int
	// RemoteLimit is the time without a beacon of another region from which its
	// active hosts are not known any more.
	RemoteLimit time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Interval:     300 * time.Millisecond,
		SilenceLimit: time.Second,
		TakeoverStep: 300 * time.Millisecond,
		ReportTo:     2,
		RatePerCore:  200,
		MinPerZone:   1,
		LoadDecay:    0.995,
		RemoteEvery:  4,
		RemoteLimit:  5 * time.Second,
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

// Report is what a host says of itself.
type Report struct {
	Host registry.Host
	// Leaving tells that the host takes no new callers.
	Leaving bool
	// Rate is the smoothed number of requests per second.
	Rate float64
}

// Beacon is what a coordinator says.
type Beacon struct {
	From   registry.Host
	Active []ident.HostID
	// Remote holds the active hosts of the other regions.
	Remote []ident.HostID
	State  State
}

// Action is one thing that the driver has to do.
type Action interface{ action() }

// SendReport asks the driver to send a report to a host.
type SendReport struct {
	To     registry.Host
	Report Report
}

// SendBeacon asks the driver to send a beacon to hosts. The driver adds the
// state of the registry.
type SendBeacon struct {
	To     []registry.Host
	Active []ident.HostID
	Remote []ident.HostID
}

func (SendReport) action() {}
func (SendBeacon) action() {}

// peer is what this host knows of another one.
type peer struct {
	registry.Host
	// heard is the time of the last report, zero if there was none.
	heard   time.Time
	leaving bool
	rate    float64
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
	beacons int
	// coordinator sent the latest beacon from the first host in the order. silent
	// is the one before this host took over.
	coordinator ident.HostID
	silent      ident.HostID
	tookOver    time.Time
	// peaks holds the decaying peak of each zone's load.
	peaks      map[ident.Zone]float64
	beaconAt   time.Time
	nextReport time.Time
	nextBeacon time.Time
}

// New returns a roster that knows only this host.
func New(now time.Time, cfg Config, self registry.Host) *Roster {
	r := &Roster{
		cfg: cfg, self: self, hosts: map[ident.HostID]*peer{}, peaks: map[ident.Zone]float64{}, regions: map[ident.Region]remoteRegion{},
		tookOver: now, beaconAt: now, nextReport: now, nextBeacon: now,
	}
	r.Learn([]registry.Host{self})
	return r
}

// Learn takes hosts from the registry.
func (r *Roster) Learn(hosts []registry.Host) {
	for _, h := range hosts {
		if p := r.hosts[h.ID]; p != nil {
			p.Host = h
			continue
		}
		r.hosts[h.ID] = &peer{Host: h}
	}
	r.sort()
}

// sort computes the order: most processor first, then by a hash of the name,
// which spreads the work over zones.
func (r *Roster) sort() {
	r.order = r.order[:0]
	for _, p := range r.hosts {
		if p.Location.Region == r.self.Location.Region {
			r.order = append(r.order, p)
		}
	}
	slices.SortFunc(r.order, func(a, b *peer) int { return before(&a.Host, &b.Host) })
}

func before(a, b *registry.Host) int {
	if a.Millicores != b.Millicores {
		return b.Millicores - a.Millicores
	}
	if x, y := hash(a.ID), hash(b.ID); x != y {
		if x < y {
			return -1
		}
		return 1
	}
	return 0
}

func hash(id ident.HostID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// SetRate sets the number of requests per second of this host.
func (r *Roster) SetRate(rate float64) { r.rate = rate }

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
		r.coordinator = ""
	}
	r.leaving = true
	r.nextReport = now
	return append(actions, r.Tick(now)...)
}

// ReceiveReport takes the report of another host.
func (r *Roster) ReceiveReport(now time.Time, report Report) []Action {
	id := report.Host.ID
	if id == r.self.ID {
		return nil
	}
	p := r.hosts[id]
	if p == nil || p.Host != report.Host {
		r.Learn([]registry.Host{report.Host})
		p = r.hosts[id]
	}
	change := p.leaving != report.Leaving
	p.heard, p.leaving, p.rate = now, report.Leaving, report.Rate
	if change && r.Coordinates(now) {
		r.nextBeacon = now
		return r.Tick(now)
	}
	return nil
}

// ReceiveBeacon takes a beacon. It reports whether its sender coordinates.
func (r *Roster) ReceiveBeacon(now time.Time, b Beacon) bool {
	id := b.From.ID
	if id == r.self.ID {
		return false
	}
	if p := r.hosts[id]; p == nil || p.Host != b.From {
		r.Learn([]registry.Host{b.From})
	}
	from := r.hosts[id]
	if region := b.From.Location.Region; region != r.self.Location.Region {
		r.regions[region] = remoteRegion{coordinator: id, active: b.Active, at: now}
		return false
	}
	current := r.hosts[r.coordinator]
	if current != nil && id != r.coordinator && before(&current.Host, &from.Host) < 0 && now.Sub(r.beaconAt) < r.cfg.SilenceLimit {
		return false
	}
	if r.coordinator == r.self.ID && before(&r.self, &from.Host) < 0 {
		return false
	}
	r.coordinator, r.beaconAt = id, now
	from.heard = now
	r.active, r.remote = b.Active, b.Remote
	return true
}

// Coordinates reports whether this host coordinates its region.
func (r *Roster) Coordinates(now time.Time) bool {
	if r.leaving {
		return false
	}
	if r.coordinator == r.self.ID {
		return true
	}
	rank := 0
	for _, p := range r.order {
		if p.ID == r.self.ID {
			break
		}
		if !p.leaving {
			rank++
		}
	}
	if rank == 0 {
		return true
	}
	return now.Sub(r.beaconAt) >= r.cfg.SilenceLimit+time.Duration(min(rank, maxTakeoverSteps))*r.cfg.TakeoverStep
}

// maxTakeoverSteps bounds the wait of a host far down the order when many hosts
// before it are gone for good.
const maxTakeoverSteps = 5

// Tick advances the timers.
func (r *Roster) Tick(now time.Time) []Action {
	var actions []Action
	if !now.Before(r.nextReport) {
		r.nextReport = now.Add(r.cfg.Interval)
		actions = append(actions, r.report()...)
	}
	if !now.Before(r.nextBeacon) {
		r.nextBeacon = now.Add(r.cfg.Interval)
		if r.Coordinates(now) {
			actions = append(actions, r.beacon(now))
			actions = append(actions, r.remoteBeacon()...)
		}
	}
	return actions
}

// report sends a report to the first hosts of the order and to the coordinator.
func (r *Roster) report() []Action {
	report := Report{Host: r.self, Leaving: r.leaving, Rate: r.rate}
	var actions []Action
	sent := 0
	for _, p := range r.order {
		if p.ID == r.self.ID || (sent >= r.cfg.ReportTo && p.ID != r.coordinator) {
			continue
		}
		sent++
		actions = append(actions, SendReport{To: p.Host, Report: report})
	}
	return actions
}

func (r *Roster) beacon(now time.Time) Action {
	if r.coordinator != r.self.ID {
		r.silent, r.tookOver = r.coordinator, now
	}
	r.coordinator, r.beaconAt = r.self.ID, now
	r.active, r.remote = r.choose(now), r.remoteActive(now)
	b := SendBeacon{Active: r.active, Remote: r.remote}
	for _, p := range r.order {
		if p.ID != r.self.ID {
			b.To = append(b.To, p.Host)
		}
	}
	return b
}

// alive reports whether a host counts as alive for the coordinator.
func (r *Roster) alive(now time.Time, p *peer) bool {
	if p.ID == r.self.ID {
		return true
	}
	if now.Sub(p.heard) < r.cfg.SilenceLimit {
		return true
	}
	// Hosts have not reported to a new coordinator yet.
	return p.ID != r.silent && now.Sub(r.tookOver) < r.cfg.SilenceLimit
}
