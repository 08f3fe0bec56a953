package roster

import (
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/registry"
)

// Report is what a host says of itself.
type Report struct {
	Host registry.Host
	// Leaving tells that the host takes no new callers.
	Leaving bool
	// Ready tells that the host can serve callers.
	Ready bool
	// Rate is the smoothed number of requests per second.
	Rate float64
	// Coordinator is the host that the sender follows, empty if there is none.
	Coordinator ident.HostID
}

// Beacon is what a coordinator says.
type Beacon struct {
	From registry.Host
	// Sequence counts the beacons of one process.
	Sequence uint64
	// Leaving tells that the coordinator stops.
	Leaving bool
	Active  []ident.HostID
	// Remote holds the active hosts of the other regions.
	Remote []ident.HostID
	// State is that of the sender's copy of the registry; the driver adds it.
	State State
	// Forward holds the peer addresses of the hosts to which the receiver passes the
	// beacon on.
	Forward []string
}

// Welcome tells a host that has just started which hosts it may follow.
type Welcome struct {
	// Coordinator is the host that coordinates the receiver's region, empty if it is
	// unknown.
	Coordinator ident.HostID
	// Hosts holds the first hosts of that region in the order of coordination, and
	// the coordinator.
	Hosts []registry.Host
}

// Action is one thing that the driver has to do.
type Action interface{ action() }

// SendReport asks the driver to send a report to a peer address.
type SendReport struct {
	To     string
	Report Report
}

// SendBeacon asks the driver to send a beacon to hosts. The driver adds the
// state of the registry.
type SendBeacon struct {
	Beacon Beacon
	To     []Delivery
}

// Delivery is one receiver of a beacon.
type Delivery struct {
	Host registry.Host
	// Forward holds the peer addresses to which the receiver passes it on.
	Forward []string
}

// SendWelcome asks the driver to send a welcome to a peer address.
type SendWelcome struct {
	To      string
	Welcome Welcome
}

func (SendReport) action()  {}
func (SendBeacon) action()  {}
func (SendWelcome) action() {}

// report sends a report to the coordinator and to the first hosts of the order beside
// it, ReportTo in all, so that the next coordinator knows who lives when it takes over.
func (r *Roster) report() []Action {
	report := r.ownReport()
	var actions []Action
	if p := r.hosts[r.coordinator]; p != nil && p.ID != r.self.ID {
		actions = append(actions, SendReport{To: p.PeerAddress, Report: report})
	}
	for _, p := range r.order {
		if len(actions) >= r.cfg.ReportFanout {
			break
		}
		if p.ID != r.self.ID && p.ID != r.coordinator {
			actions = append(actions, SendReport{To: p.PeerAddress, Report: report})
		}
	}
	return actions
}

func (r *Roster) ownReport() Report {
	return Report{Host: r.self, Leaving: r.leaving, Ready: !r.hosts[r.self.ID].starting, Rate: r.rate, Coordinator: r.coordinator}
}

// introduceSelf reports to the seeds, which may be in any region.
func (r *Roster) introduceSelf(now time.Time) []Action {
	if !r.introduced.IsZero() {
		r.introduce = min(2*r.introduce, r.cfg.MaxSeedReportInterval)
	}
	r.introduced = now
	var actions []Action
	for _, seed := range r.seeds {
		actions = append(actions, SendReport{To: seed, Report: r.ownReport()})
	}
	return actions
}

// ReceiveReport takes the report of another host. One that follows no coordinator is
// told of the hosts that it may follow, and one that coordinates of another coordinator
// of its region.
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
	p.heard, p.leaving, p.starting, p.rate = now, report.Leaving, !report.Ready, report.Rate
	if p.Location.Region == r.self.Location.Region && r.Coordinates(now) {
		switch {
		case change:
			r.nextBeacon = now
			return r.Tick(now)
		case report.Coordinator != r.self.ID && !report.Leaving && r.coordinator == r.self.ID:
			return []Action{SendBeacon{Beacon: r.currentBeacon(), To: []Delivery{{Host: p.Host}}}}
		}
		return nil
	}
	if report.Coordinator != "" && report.Coordinator != id {
		return nil
	}
	w := r.welcome(now, report.Host.Location.Region)
	if report.Coordinator == id && (w.Coordinator == "" || w.Coordinator == id) {
		return nil
	}
	return []Action{SendWelcome{To: report.Host.PeerAddress, Welcome: w}}
}

// welcomeHosts is the number of hosts in the order of coordination that a welcome
// names.
const welcomeHosts = 4

// welcome returns what a host of a region needs to know in order to follow.
func (r *Roster) welcome(now time.Time, region ident.Region) Welcome {
	w := Welcome{Hosts: r.first(region, welcomeHosts)}
	coordinator := r.hosts[r.coordinator]
	fresh := now.Sub(r.beaconAt) < r.cfg.SilenceLimit
	if region != r.self.Location.Region {
		known := r.regions[region]
		coordinator, fresh = r.hosts[known.coordinator], now.Sub(known.at) < r.cfg.RemoteSilenceLimit
	}
	if coordinator != nil && fresh {
		w.Coordinator = coordinator.ID
		w.Hosts = append(w.Hosts, coordinator.Host)
	}
	return w
}

// ReceiveWelcome takes what another host knows of the region.
func (r *Roster) ReceiveWelcome(now time.Time, w Welcome) []Action {
	r.Learn(w.Hosts)
	coordinator := r.hosts[w.Coordinator]
	if coordinator == nil || coordinator.ID == r.self.ID || coordinator.ID == r.coordinator {
		return nil
	}
	// Hosts that stepped down for each other would send this one to and fro.
	if now.Sub(r.welcomed) < r.cfg.SeedReportInterval {
		return nil
	}
	r.welcomed = now
	if r.coordinator == r.self.ID && !r.leaving && before(&r.self, &coordinator.Host) < 0 {
		return []Action{SendBeacon{Beacon: r.currentBeacon(), To: []Delivery{{Host: coordinator.Host}}}}
	}
	// It answers with its beacon.
	report := r.ownReport()
	report.Coordinator = ""
	return []Action{SendReport{To: coordinator.PeerAddress, Report: report}}
}

// ReceiveBeacon takes a beacon. It reports whether this host follows its sender.
func (r *Roster) ReceiveBeacon(now time.Time, b Beacon) (bool, []Action) {
	id := b.From.ID
	if id == r.self.ID {
		return false, nil
	}
	if p := r.hosts[id]; p == nil || p.Host != b.From {
		r.Learn([]registry.Host{b.From})
	}
	from := r.hosts[id]
	if region := b.From.Location.Region; region != r.self.Location.Region {
		r.regions[region] = remoteRegion{coordinator: id, active: b.Active, at: now}
		return false, nil
	}
	if r.coordinator == r.self.ID && !r.leaving && before(&r.self, &from.Host) < 0 {
		return false, []Action{SendBeacon{Beacon: r.currentBeacon(), To: []Delivery{{Host: from.Host}}}}
	}
	current := r.hosts[r.coordinator]
	fresh := current != nil && !current.leaving && now.Sub(r.beaconAt) < r.cfg.SilenceLimit
	if id != r.coordinator && fresh && before(&current.Host, &from.Host) < 0 {
		w := Welcome{Coordinator: current.ID, Hosts: []registry.Host{current.Host}}
		return false, []Action{SendWelcome{To: from.PeerAddress, Welcome: w}}
	}
	if id == r.coordinator && b.Sequence <= r.sequence && b.From.Incarnation == r.followed {
		return false, nil
	}
	var actions []Action
	if r.coordinator == r.self.ID {
		actions = r.handOver(from.Host)
	}
	r.coordinator, r.sequence, r.followed, r.beaconAt = id, b.Sequence, b.From.Incarnation, now
	from.heard, from.leaving = now, b.Leaving
	r.active, r.remote = b.Active, b.Remote
	return true, actions
}

// handOver tells the hosts that followed this one whom to follow now.
func (r *Roster) handOver(to registry.Host) []Action {
	var actions []Action
	w := Welcome{Coordinator: to.ID, Hosts: []registry.Host{to}}
	for _, p := range r.order {
		if p.ID != r.self.ID && p.ID != to.ID {
			actions = append(actions, SendWelcome{To: p.PeerAddress, Welcome: w})
		}
	}
	return actions
}

// beacon chooses the active hosts and tells all hosts of the region.
func (r *Roster) beacon(now time.Time) Action {
	if r.coordinator != r.self.ID {
		r.silent, r.tookOver = r.coordinator, now
	}
	r.coordinator, r.beaconAt = r.self.ID, now
	r.active, r.remote = r.choose(now), r.remoteActive(now)
	r.beacons++
	return SendBeacon{Beacon: r.currentBeacon(), To: r.deliveries(now)}
}

// currentBeacon returns the beacon that was sent last.
func (r *Roster) currentBeacon() Beacon {
	return Beacon{From: r.self, Sequence: r.beacons, Leaving: r.leaving, Active: r.active, Remote: r.remote}
}
