package roster

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// Report is the periodic status message of a host.
type Report struct {
	Host registry.Host
	// Leaving is set if the host accepts no new callers.
	Leaving bool
	// Ready is set if the host can serve callers.
	Ready bool
	// Rate is the smoothed request rate in requests per second.
	Rate float64
	// ByteRate is the smoothed number of bytes per second exchanged with targets.
	ByteRate float64
	// Coordinator is the host that the sender follows, empty if there is none.
	Coordinator ident.HostID
}

// Beacon is the periodic announcement of a coordinator.
type Beacon struct {
	From registry.Host
	// Sequence numbers the beacons of one process.
	Sequence uint64
	// Leaving is set if the coordinator is shutting down.
	Leaving bool
	// Isolated is set if the coordinator has received no message for FailureTimeout, so
	// that it may not know which hosts are alive or what the store holds.
	Isolated bool
	Active   []ident.HostID
	// ActiveCapacity holds the requests per second that each of the active hosts carries, see
	// Roster.ForCallers. It is empty if callers are spread evenly.
	ActiveCapacity []uint32
	// Remote holds the active hosts of the other regions.
	Remote []ident.HostID
	// RemoteCoordinators holds the coordinators of the other regions.
	RemoteCoordinators []ident.HostID
	// RegionSize is the number of hosts of the region, see Roster.FollowerShare.
	RegionSize int
	// FollowerShare is the share of the coordinator, see Roster.FollowerShare.
	FollowerShare float64
	// NonOwners holds the active hosts, also those of other regions, that coordinate for
	// themselves. Their reports arrive, but messages to them may be lost, so they own no
	// teams.
	NonOwners []ident.HostID
	// Successors identifies the first live hosts of the region in coordination order, see
	// Roster.updateSuccessors.
	Successors []uint32
	// State is the state of the sender's copy of the registry. The driver fills it in.
	State State
	// Limits holds the limits of targets that the sender knows. The driver fills it in.
	Limits []ratelimit.Entry
	// Forward holds the peer addresses of the hosts to which the receiver forwards the
	// beacon.
	Forward []string
}

// Welcome tells a starting host which hosts it can follow.
type Welcome struct {
	// Coordinator is the coordinator of the receiver's region, empty if it is unknown.
	Coordinator ident.HostID
	// Hosts holds the first hosts of that region in coordination order, and the
	// coordinator.
	Hosts []registry.Host
}

// Action is an output of the roster that the driver has to carry out.
type Action interface{ action() }

// SendReport requests that a report be sent to a peer address.
type SendReport struct {
	To     string
	Report Report
}

// SendBeacon requests that a beacon be sent to hosts. The driver fills in the state of
// the registry copy.
type SendBeacon struct {
	Beacon Beacon
	To     []Delivery
}

// Delivery is one receiver of a beacon.
type Delivery struct {
	Host registry.Host
	// Forward holds the peer addresses to which the receiver forwards the beacon.
	Forward []string
}

// SendWelcome requests that a welcome be sent to a peer address.
type SendWelcome struct {
	To      string
	Welcome Welcome
}

func (SendReport) action()  {}
func (SendBeacon) action()  {}
func (SendWelcome) action() {}

// report sends a report to the coordinator and to the first other hosts in coordination
// order, those that are known to be alive before the others. There are ReportFanout hosts in
// total. The next coordinator thus already knows which hosts are alive when it takes over.
func (r *Roster) report() []Action {
	report := r.ownReport()
	var actions []Action
	if p := r.hosts[r.coordinator]; p != nil && p.ID != r.self.ID {
		actions = append(actions, SendReport{To: p.PeerAddress, Report: report})
	}
	for _, successors := range []bool{true, false} {
		for _, p := range r.order {
			if len(actions) >= r.cfg.ReportFanout {
				return actions
			}
			if p.ID != r.self.ID && p.ID != r.coordinator && r.isSuccessor(p) == successors {
				actions = append(actions, SendReport{To: p.PeerAddress, Report: report})
			}
		}
	}
	return actions
}

func (r *Roster) ownReport() Report {
	return Report{Host: r.self, Leaving: r.leaving, Ready: !r.hosts[r.self.ID].starting, Rate: r.rate, ByteRate: r.byteRate, Coordinator: r.coordinator}
}

// reportToSeeds sends a report to the seeds, which may be in any region.
func (r *Roster) reportToSeeds(now time.Time) []Action {
	if !r.lastSeedReport.IsZero() {
		r.seedReportInterval = min(2*r.seedReportInterval, r.cfg.MaxSeedReportInterval)
	}
	r.lastSeedReport = now
	var actions []Action
	for _, seed := range r.seeds {
		actions = append(actions, SendReport{To: seed, Report: r.ownReport()})
	}
	return actions
}

// ReceiveReport handles the report of another host. If this host coordinates the sender's
// region, it sends a beacon to a sender that does not follow it, and beacons to all its
// hosts at once if the sender starts or stops leaving. Otherwise it answers with a
// welcome if the sender has no coordinator, or if the sender considers itself the
// coordinator and this host knows another live one of that region.
func (r *Roster) ReceiveReport(now time.Time, report Report) []Action {
	id := report.Host.ID
	if id == r.self.ID {
		return nil
	}
	r.lastMessageAt = now
	p := r.hosts[id]
	if p == nil || p.Host != report.Host {
		r.Learn([]registry.Host{report.Host})
		p = r.hosts[id]
	}
	leavingChanged := p.leaving != report.Leaving
	p.lastHeard, p.leaving, p.starting, p.rate = now, report.Leaving, !report.Ready, report.Rate
	p.byteRate, p.follows = report.ByteRate, report.Coordinator
	if p.Location.Region == r.self.Location.Region && r.IsCoordinator(now) {
		switch {
		case leavingChanged:
			r.nextBeacon = now
			return r.Tick(now)
		case report.Coordinator != r.self.ID && !report.Leaving && r.coordinator == r.self.ID:
			return []Action{SendBeacon{Beacon: r.currentBeacon(now), To: []Delivery{{Host: p.Host}}}}
		}
		return nil
	}
	if report.Coordinator != "" && report.Coordinator != id {
		return nil
	}
	w := r.newWelcome(now, report.Host.Location.Region)
	if report.Coordinator == id && (w.Coordinator == "" || w.Coordinator == id) {
		return nil
	}
	return []Action{SendWelcome{To: report.Host.PeerAddress, Welcome: w}}
}

// welcomeHosts is the number of hosts in coordination order that a welcome contains.
const welcomeHosts = 4

// newWelcome returns the welcome for a host of a region.
func (r *Roster) newWelcome(now time.Time, region ident.Region) Welcome {
	w := Welcome{Hosts: r.firstHosts(region, welcomeHosts)}
	coordinator := r.hosts[r.coordinator]
	fresh := now.Sub(r.lastBeaconAt) < r.cfg.FailureTimeout
	if region != r.self.Location.Region {
		known := r.regions[region]
		coordinator, fresh = r.hosts[known.coordinator], now.Sub(known.heardAt) < r.cfg.RemoteFailureTimeout
	}
	if coordinator != nil && fresh {
		w.Coordinator = coordinator.ID
		w.Hosts = append(w.Hosts, coordinator.Host)
	}
	return w
}

// ReceiveWelcome handles a welcome: it adds the hosts and contacts the coordinator that
// the welcome names.
func (r *Roster) ReceiveWelcome(now time.Time, w Welcome) []Action {
	r.lastMessageAt = now
	r.Learn(w.Hosts)
	coordinator := r.hosts[w.Coordinator]
	if coordinator == nil || coordinator.ID == r.self.ID || coordinator.ID == r.coordinator {
		return nil
	}
	// Without this limit, hosts that each stepped down in favor of the other would keep
	// redirecting this one between them.
	if now.Sub(r.lastWelcome) < r.cfg.SeedReportInterval {
		return nil
	}
	r.lastWelcome = now
	if r.coordinator == r.self.ID && !r.leaving && compareHosts(&r.self, &coordinator.Host) < 0 {
		return []Action{SendBeacon{Beacon: r.currentBeacon(now), To: []Delivery{{Host: coordinator.Host}}}}
	}
	// A report without a coordinator makes the coordinator answer with its beacon.
	report := r.ownReport()
	report.Coordinator = ""
	return []Action{SendReport{To: coordinator.PeerAddress, Report: report}}
}

// ReceiveBeacon handles a beacon. It reports whether the beacon is from the coordinator
// that this host follows, so that its state is used and it is forwarded.
func (r *Roster) ReceiveBeacon(now time.Time, b Beacon) (bool, []Action) {
	id := b.From.ID
	if id == r.self.ID {
		return false, nil
	}
	r.lastMessageAt = now
	if p := r.hosts[id]; p == nil || p.Host != b.From {
		r.Learn([]registry.Host{b.From})
	}
	from := r.hosts[id]
	if region := b.From.Location.Region; region != r.self.Location.Region {
		return false, r.receiveRemoteBeacon(now, region, b)
	}
	if r.coordinator == r.self.ID && !r.leaving && compareHosts(&r.self, &from.Host) < 0 {
		return false, []Action{SendBeacon{Beacon: r.currentBeacon(now), To: []Delivery{{Host: from.Host}}}}
	}
	current := r.hosts[r.coordinator]
	fresh := current != nil && !current.leaving && !r.coordinatorIsolated && now.Sub(r.lastBeaconAt) < r.cfg.FailureTimeout
	if id != r.coordinator && fresh && (b.Isolated || compareHosts(&current.Host, &from.Host) < 0) {
		w := Welcome{Coordinator: current.ID, Hosts: []registry.Host{current.Host}}
		return false, []Action{SendWelcome{To: from.PeerAddress, Welcome: w}}
	}
	if b.Isolated && r.hasCoordinator() && id != r.coordinator {
		// With several isolated coordinators, hosts would follow each in turn, and none that
		// hears them would take over.
		return false, nil
	}
	sameProcess := id == r.coordinator && b.From.Incarnation == r.coordinatorIncarnation
	if sameProcess && b.Sequence <= r.beaconSequence {
		return false, nil
	}
	if sameProcess && b.Isolated && now.Sub(r.followingSince) >= r.cfg.FailureTimeout {
		// The coordinator has not received the reports of this host. The beacon is
		// forwarded, so that all hosts accept the next coordinator at once.
		r.coordinatorIsolated, r.beaconSequence = true, b.Sequence
		return true, nil
	}
	var actions []Action
	if r.coordinator == r.self.ID {
		actions = r.redirectFollowers(from.Host)
	}
	if !sameProcess {
		r.followingSince = now
	}
	r.coordinatorIsolated = false
	r.coordinator, r.beaconSequence, r.coordinatorIncarnation, r.lastBeaconAt = id, b.Sequence, b.From.Incarnation, now
	from.lastHeard, from.leaving = now, b.Leaving
	r.active, r.remoteHosts, r.remoteCoordinators = b.Active, b.Remote, b.RemoteCoordinators
	r.setCapacities(b.ActiveCapacity)
	r.regionSize, r.regionSizeAt, r.coordinatorShare = b.RegionSize, now, b.FollowerShare
	r.nonOwners, r.ownersOf = b.NonOwners, nil
	r.setSuccessors(b.Successors)
	return true, actions
}

// redirectFollowers sends the hosts that may follow this one a welcome that names the
// new coordinator.
func (r *Roster) redirectFollowers(to registry.Host) []Action {
	var actions []Action
	w := Welcome{Coordinator: to.ID, Hosts: []registry.Host{to}}
	for _, p := range r.order {
		if p.ID != r.self.ID && p.ID != to.ID {
			actions = append(actions, SendWelcome{To: p.PeerAddress, Welcome: w})
		}
	}
	return actions
}

// sendBeacon selects the active hosts and announces them to all hosts of the region.
func (r *Roster) sendBeacon(now time.Time) Action {
	if r.coordinator != r.self.ID {
		r.previousCoordinator, r.tookOverAt = r.coordinator, now
	}
	r.coordinatorIsolated = false
	r.coordinator, r.lastBeaconAt = r.self.ID, now
	active := r.selectActive(now)
	capacities := r.capacities(now, active)
	r.active, r.remoteHosts, r.remoteCoordinators = active, r.remoteActive(now), r.liveRemoteCoordinators(now)
	r.setCapacities(capacities)
	r.updateRegionSize(now)
	r.nonOwners, r.ownersOf = r.findNonOwners(now), nil
	r.updateSuccessors(now)
	r.beaconsSent++
	return SendBeacon{Beacon: r.currentBeacon(now), To: r.deliveries(now)}
}

// currentBeacon returns the most recently sent beacon.
func (r *Roster) currentBeacon(now time.Time) Beacon {
	isolated := now.Sub(r.lastMessageAt) >= r.cfg.FailureTimeout
	return Beacon{
		From: r.self, Sequence: r.beaconsSent, Leaving: r.leaving, Isolated: isolated,
		Active: r.active, ActiveCapacity: r.announcedCapacities(), Remote: r.remoteHosts, RemoteCoordinators: r.remoteCoordinators,
		RegionSize: r.regionSize, FollowerShare: r.FollowerShare(now), NonOwners: r.nonOwners, Successors: r.successors,
	}
}
