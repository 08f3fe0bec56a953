package capacity

import (
	"math"
	"math/bits"

	"github.com/sapphirehaven/sapphirehaven/internal/core/member"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
)

// Budgets from section 1.7 of the design page.
const (
	cpuBudget        = 3.0      // percent of a core
	memoryBudget     = 256e6    // bytes
	trafficLimit     = 4000     // bytes/s
	activationBudget = 7e9      // ns
	linkBudget       = 30e6 / 8 // bytes/s
)

// Protocol constants and assumptions that the formulas use. docs/CAPACITY.md lists
// their sources.
const (
	secondsPerDay      = 86_400.0
	udpHeader          = 28.0 // bytes: IPv4 and UDP
	tcpHeader          = 52.0 // bytes: IPv4 and TCP with timestamps
	packetsPerCall     = 3.0  // request, reply, acknowledgement
	pushFanOut         = 4.0  // hosts to which a host pushes new records
	snapshotPeers      = 3.0  // peers from which a starting host fetches a snapshot
	updatesPerRestart  = 3.0  // leaving, left, alive
	readersPerZone     = 2.0
	checkpointsPerDay  = 3.0 // one per third of the 24h retention
	probesPerSecond    = 0.5 // probes of a target by the serving hosts of a region: probe_interval 2s
	outageSeconds      = 60.0
	logSilenceTimeout  = 15.0     // s
	standbyDelay       = 2.0      // s
	heapBallastBytes   = 48 << 20 // bytes that delay garbage collection but are not resident
	attemptSeconds     = 0.05
	ticketShare        = 0.2  // share of requests with a ticket; assumed
	changedReportShare = 0.02 // share of reports with changes; assumed
	idleExchangeRate   = 0.5  // exchanges per second of a pair without changes
	hostsPerRack       = 40.0 // assumed
	recordWindowBytes  = 8 << 20
	gcHeapFactor       = 2.0  // heap at the next collection relative to the live heap, GOGC=100
	interRegionDelay   = 30e6 // ns
	pushRounds         = 6.0
)

// requirement is a row of the table of a role.
type requirement struct {
	description, formula, unit string
	value                      func(m *model) float64
	// limit returns the highest value that is supported; nil without a limit.
	limit func(m *model) float64
}

// model computes the values that the requirements use, for one fleet size.
type model struct {
	Size
	slopes *Slopes
}

func (m *model) slope(id string) float64 { return m.slopes.Get(id) }

// servedTargets returns the number of targets of the services that a host serves.
func (m *model) servedTargets() float64 {
	return m.servicesPerHost() * float64(m.Targets) / float64(m.Services)
}

func (m *model) perSecond(perDay float64) float64 { return perDay / secondsPerDay }

// servingHostsPerService returns the number of serving hosts of one service in all
// regions.
func (m *model) servingHostsPerService() float64 {
	return math.Min(servingHosts*float64(m.Regions), float64(m.Hosts))
}

func (m *model) servicesPerHost() float64 {
	return float64(m.Services) * m.servingHostsPerService() / float64(m.Hosts)
}
func (m *model) requestsPerHost() float64 { return m.RequestsPerSecond / float64(m.Hosts) }

// evidencePairs returns the number of (service, host) pairs in its region with which
// a host exchanges evidence.
func (m *model) evidencePairs() float64 { return m.servicesPerHost() * (servingHosts - 1) }

// activeTargets returns the number of targets with attempts in flight in one report.
func (m *model) activeTargets() float64 {
	busy := m.RequestsPerSecond * attemptSeconds / float64(m.Services) / m.servingHostsPerService()
	return math.Min(busy, float64(m.Targets)/float64(m.Services))
}

// exchangesPerSecond returns the number of exchanges per second of a host within its
// region. A pair without changes has one exchange every 2 s; a host with changes
// starts one each second.
func (m *model) exchangesPerSecond() float64 {
	return m.evidencePairs() * (idleExchangeRate + 1.5*changedReportShare)
}

func (m *model) exchangeBytes() float64 {
	return m.slope("exchange") + m.slope("exchange.service") + m.activeTargets()*m.slope("exchange.target") + packetsPerCall*tcpHeader
}

// remoteExchangeBytes returns the bytes of an exchange between regions, whose report
// contains one target.
func (m *model) remoteExchangeBytes() float64 {
	return m.slope("exchange") + m.slope("exchange.service") + m.slope("exchange.target") + packetsPerCall*tcpHeader
}

func (m *model) remotePairs() float64 { return float64(m.Services) * servingHosts * servingHosts }

// transmissionsPerUpdate returns how often a host sends a membership update.
func (m *model) transmissionsPerUpdate() float64 {
	return float64(member.DefaultConfig().RetransmitFactor * bits.Len(uint(m.Hosts)))
}

func (m *model) updatesToSend() float64 {
	return m.perSecond(m.RestartsPerDay) * updatesPerRestart * m.transmissionsPerUpdate()
}

// updateCapacity returns the number of updates that fit into the two messages that a
// host sends per second.
func (m *model) updateCapacity() float64 {
	return 2 * float64(member.DefaultConfig().UpdatesPerMessage)
}

func (m *model) datagramBytes() float64 {
	updates := math.Min(m.updatesToSend(), m.updateCapacity()) / 2
	return m.slope("datagram") + udpHeader + updates*m.slope("datagram.update")
}

func (m *model) membershipBytes() float64 { return 4 * m.datagramBytes() }
func (m *model) evidenceBytes() float64 {
	remote := 2 * m.remotePairs() / float64(m.Hosts) * changedReportShare * m.remoteExchangeBytes()
	return m.exchangesPerSecond()*m.exchangeBytes() + remote
}

func (m *model) pushBytes() float64 {
	return 2 * pushFanOut * m.perSecond(m.ChangesPerDay) * (m.slope("push") + packetsPerCall*tcpHeader)
}

// snapshotBytes returns the size of a snapshot: the measured size per section times
// the number of sections.
func (m *model) snapshotBytes() float64 {
	return m.slope("snapshot.section") * float64(m.Routes+m.Targets+m.Services+m.Regions+1)
}

func (m *model) startSnapshotBytes() float64 {
	return 2 * snapshotPeers * m.perSecond(m.RestartsPerDay) / float64(m.Hosts) * m.snapshotBytes()
}

func (m *model) checkpointBytes() float64 {
	return 2 * pushFanOut * m.perSecond(checkpointsPerDay) * m.snapshotBytes()
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
	return m.documentBytes() + m.dispatchBytes() + m.memberBytes() + m.ticketsHeld()*m.slope("ticket.state") + recordWindowBytes
}

// documentScale returns the size of the document relative to the target size, to
// scale costs that were measured there.
func (m *model) documentScale() float64 {
	full := TargetSize()
	return float64(m.Routes+m.Targets) / float64(full.Routes+full.Targets)
}

func (m *model) applyTime() float64 {
	return m.documentScale() * (m.slope("apply.delta") + m.slope("apply.assemble") + m.slope("apply.check"))
}

func (m *model) activateTime() float64 {
	return m.documentScale()*m.slope("apply.compile") + float64(m.Targets)*m.slope("configure.target")
}

// percent converts nanoseconds per second into percent of a core.
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
func (m *model) evidenceCPU() float64 {
	return percent(m.exchangesPerSecond() * m.slope("exchange.time") / 2)
}
func (m *model) controlCPU() float64 {
	return m.memberCPU() + m.configCPU() + m.dispatchCPU() + m.evidenceCPU()
}
func (m *model) controlBytes() float64 {
	return m.membershipBytes() + m.evidenceBytes() + m.pushBytes() + m.startSnapshotBytes() + m.checkpointBytes()
}
