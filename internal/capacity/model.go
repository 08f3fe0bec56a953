package capacity

import (
	"math"
	"math/bits"

	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
)

// Budgets of section 1.7 of the design page.
const (
	coreBudget   = 3.0   // percent of a core
	memoryBudget = 256e6 // bytes
	trafficLimit = 4000  // bytes/s
	effectBudget = 7e9   // ns
	linkBudget   = 30e6 / 8
)

// Constants of the protocols that the formulas use. Their sources are named in
// docs/CAPACITY.md.
const (
	day               = 86_400.0
	udpHeader         = 28.0 // bytes: IPv4 and UDP
	tcpHeader         = 52.0 // bytes: IPv4 and TCP with timestamps
	packetsPerCall    = 3.0  // request, reply, acknowledgement
	fanOut            = 4.0  // hosts that a host pushes new records to
	snapshotPeers     = 3.0  // snapshots that a starting host takes
	updatesPerRestart = 3.0  // leaving, left, alive again
	readersPerZone    = 2.0
	checkpointsPerDay = 3.0 // retention 24h, one for each third
	probesPerSecond   = 0.5 // of each target, by the serving hosts of a region: probe_interval 2s
	outage            = 60.0
	silenceLimit      = 15.0     // s
	standbyDelay      = 2.0      // s
	heapFloor         = 48 << 20 // bytes that start a collection later, but are not resident
	serviceTime       = 0.05
	ticketShare       = 0.2  // of requests; assumed
	newsShare         = 0.02 // of reports have news; assumed
	quietCalls        = 0.5  // exchanges of a pair in a second without news
	rackHosts         = 40.0 // assumed
	windowBytes       = 8 << 20
	garbageFactor     = 2.0 // heap at the next collection, GOGC=100
	oneWayBetween     = 30e6
	pushRounds        = 6.0
)

// row is one need of a role.
type row struct {
	need, formula, unit string
	value               func(m *model) float64
	// limit is the most that the mechanism carries, 0 without a limit.
	limit func(m *model) float64
}

// model holds the numbers that several rows use.
type model struct {
	Size
	slopes *Slopes
}

func (m *model) slope(id string) float64 { return m.slopes.Get(id) }

// servedTargets returns the targets of the services that a host serves.
func (m *model) servedTargets() float64 {
	return m.servicesPerHost() * float64(m.Targets) / float64(m.Services)
}

func (m *model) perSecond(d float64) float64 { return d / day }

// sets is the number of serving hosts of one service.
func (m *model) sets() float64 {
	return math.Min(servingHosts*float64(m.Regions), float64(m.Hosts))
}

func (m *model) servicesPerHost() float64 { return float64(m.Services) * m.sets() / float64(m.Hosts) }
func (m *model) requestsPerHost() float64 { return m.RequestsPerSecond / float64(m.Hosts) }

// partners are the (service, host) pairs of a region that a host exchanges
// evidence with.
func (m *model) partners() float64 { return m.servicesPerHost() * (servingHosts - 1) }

// busyTargets is the number of targets with attempts in flight on one report.
func (m *model) busyTargets() float64 {
	busy := m.RequestsPerSecond * serviceTime / float64(m.Services) / m.sets()
	return math.Min(busy, float64(m.Targets)/float64(m.Services))
}

// calls is the number of exchanges in a second that a host takes part in, within
// its region. A pair without news has one every 2 s; a host with news calls each
// second.
func (m *model) calls() float64 { return m.partners() * (quietCalls + 1.5*newsShare) }

func (m *model) exchangeBytes() float64 {
	return m.slope("exchange") + m.slope("exchange.service") + m.busyTargets()*m.slope("exchange.target") + packetsPerCall*tcpHeader
}

// exchangeBytes between regions are those of a report of one target.
func (m *model) remoteExchangeBytes() float64 {
	return m.slope("exchange") + m.slope("exchange.service") + m.slope("exchange.target") + packetsPerCall*tcpHeader
}

func (m *model) remotePairs() float64 { return float64(m.Services) * servingHosts * servingHosts }

// retransmits is how often a host passes an update on.
func (m *model) retransmits() float64 {
	return float64(member.DefaultConfig().RetransmitFactor * bits.Len(uint(m.Hosts)))
}

func (m *model) wantedUpdates() float64 {
	return m.perSecond(m.RestartsPerDay) * updatesPerRestart * m.retransmits()
}

// carriedUpdates fit on the two messages that a host sends in a second.
func (m *model) carriedUpdates() float64 {
	return 2 * float64(member.DefaultConfig().UpdatesPerMessage)
}

func (m *model) datagramBytes() float64 {
	updates := math.Min(m.wantedUpdates(), m.carriedUpdates()) / 2
	return m.slope("datagram") + udpHeader + updates*m.slope("datagram.update")
}

func (m *model) membershipBytes() float64 { return 4 * m.datagramBytes() }
func (m *model) evidenceBytes() float64 {
	remote := 2 * m.remotePairs() / float64(m.Hosts) * newsShare * m.remoteExchangeBytes()
	return m.calls()*m.exchangeBytes() + remote
}

func (m *model) pushBytes() float64 {
	return 2 * fanOut * m.perSecond(m.ChangesPerDay) * (m.slope("push") + packetsPerCall*tcpHeader)
}

// snapshotBytes scales the measured snapshot by the number of sections.
func (m *model) snapshotBytes() float64 {
	return m.slope("snapshot.section") * float64(m.Routes+m.Targets+m.Services+m.Regions+1)
}

func (m *model) joinBytes() float64 {
	return 2 * snapshotPeers * m.perSecond(m.RestartsPerDay) / float64(m.Hosts) * m.snapshotBytes()
}

func (m *model) checkpointBytes() float64 {
	return 2 * fanOut * m.perSecond(checkpointsPerDay) * m.snapshotBytes()
}

func (m *model) documentBytes() float64 {
	return float64(m.Routes)*(m.slope("sections.route")+m.slope("document.route")+m.slope("table.route")) + float64(m.Targets)*m.slope("sections.target")
}

func (m *model) dispatchBytes() float64 {
	return float64(m.Services)*m.slope("state.service") + float64(m.Targets)*m.slope("state.target")
}

func (m *model) memberBytes() float64 {
	return float64(m.Hosts)*m.slope("state.member") + float64(m.Services*m.Regions)*m.slope("state.set")
}

func (m *model) ticketsHeld() float64 {
	return m.requestsPerHost() * ticketShare * ticket.DefaultConfig().Lifetime.Seconds()
}

func (m *model) heapBytes() float64 {
	return m.documentBytes() + m.dispatchBytes() + m.memberBytes() + m.ticketsHeld()*m.slope("ticket.state") + windowBytes
}

// sections scales a cost that was measured at the target size.
func (m *model) sections() float64 {
	full := TargetSize()
	return float64(m.Routes+m.Targets) / float64(full.Routes+full.Targets)
}

func (m *model) applyTime() float64 {
	return m.sections() * (m.slope("apply.delta") + m.slope("apply.assemble") + m.slope("apply.check"))
}

func (m *model) activateTime() float64 {
	return m.sections()*m.slope("apply.compile") + float64(m.Targets)*m.slope("configure.target")
}

// percent turns nanoseconds in a second into a share of a core.
func percent(ns float64) float64 { return ns / 1e9 * 100 }

func (m *model) memberCPU() float64 {
	lists := 2 * m.slope("member.list") * float64(m.Hosts) / float64(TargetSize().Hosts)
	ranks := m.slope("rank.host") * (float64(m.Hosts) + float64(m.Hosts)/float64(m.Zones))
	updates := m.perSecond(m.RestartsPerDay) * updatesPerRestart * m.setUpdateTime()
	return percent(m.slope("member.tick") + 4*m.slope("datagram.codec") + 2*m.slope("member.receive.busy") + lists + ranks + updates)
}

func (m *model) setUpdateTime() float64 {
	return m.slope("set.update") * float64(m.Services) / float64(TargetSize().Services)
}

func (m *model) configCPU() float64 {
	return percent(m.perSecond(m.ChangesPerDay) * (m.applyTime() + m.activateTime()))
}

func (m *model) dispatchCPU() float64 { return percent(float64(m.Targets) * m.slope("tick.target")) }
func (m *model) evidenceCPU() float64 { return percent(m.calls() * m.slope("exchange.time") / 2) }
func (m *model) controlCPU() float64 {
	return m.memberCPU() + m.configCPU() + m.dispatchCPU() + m.evidenceCPU()
}
func (m *model) controlBytes() float64 {
	return m.membershipBytes() + m.evidenceBytes() + m.pushBytes() + m.joinBytes() + m.checkpointBytes()
}
