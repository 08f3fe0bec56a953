package capacity

import (
	"fmt"
	"math"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
)

// role is a group of requirements: of a function of a host, or of a component that
// all hosts share.
type role struct {
	name         string
	requirements []requirement
}

func constant(value float64) func(*model) float64 {
	return func(*model) float64 { return value }
}

var roles = []role{
	{"A host as proxy", []requirement{
		{"services that a host serves", "services * 4 * regions / hosts", "", (*model).servicesPerHost, nil},
		{"connections at a target, serving sets", "serving hosts * slots", "", func(m *model) float64 { return m.servingHostsPerService() * float64(m.SlotsPerTarget) }, constant(targetConnections)},
		{"connections at a target, every host to every target", "hosts * 1", "", func(m *model) float64 { return float64(m.Hosts) }, constant(targetConnections)},
		// The limit of the next two rows: probes take at most 0.1 s of each second of a
		// target's time, at 25 ms per probe.
		{"probes that a target gets from the serving hosts of each region together", "regions * 0.5/s", "/s", func(m *model) float64 { return float64(m.Regions) * probesPerSecond }, func(*model) float64 { return 0.1 / 0.025 }},
		{"probes that a target would get from every host (ruled out)", "hosts * 0.5/s", "/s", func(m *model) float64 { return float64(m.Hosts) * probesPerSecond }, func(*model) float64 { return 0.1 / 0.025 }},
		{"probes that a host sends", "targets of its services * 0.5/s / 4 serving hosts", "/s", func(m *model) float64 { return m.servedTargets() * probesPerSecond / servingHosts }, nil},
		{"load reports that a host reads", "targets of its services in its region * 1/s", "/s", func(m *model) float64 { return m.servedTargets() / float64(m.Regions) }, nil},
		{"dispatch state, all services", "services * `state.service` + targets * `state.target`", "bytes", (*model).dispatchBytes, constant(memoryBudget)},
		{"dispatch state, served services only", "the same * serving hosts / hosts", "bytes", func(m *model) float64 { return m.dispatchBytes() * m.servingHostsPerService() / float64(m.Hosts) }, constant(memoryBudget)},
		{"timers of all targets", "targets * `tick.target`", "%", (*model).dispatchCPU, constant(cpuBudget)},
		{"decisions about requests (not control plane)", "requests/s of a host * (`selection` + `outcome`)", "%", func(m *model) float64 {
			return percent(m.requestsPerHost() * (m.slope("selection") + m.slope("outcome")))
		}, nil},
	}},
	{"A host as member", []requirement{
		{"state", "hosts * `state.member` + services * regions * `state.set`", "bytes", (*model).memberBytes, constant(memoryBudget)},
		{"messages sent and received", "2 probes + 2 replies", "/s", func(*model) float64 { return 4 }, nil},
		{"updates to send", "restarts/s * 3 * retransmits", "/s", (*model).updatesToSend, (*model).updateCapacity},
		{"traffic", "4 * (`datagram` + 28 + updates * `datagram.update`)", "bytes/s", (*model).membershipBytes, constant(trafficLimit)},
		{"processor", "`member.tick` + 4 * `datagram.codec` + 2 * `member.receive.busy` + 2 * `member.list` + ranks + index updates", "%", (*model).memberCPU, constant(cpuBudget)},
		{"one host joins or leaves, in the index", "`set.update`", "ns", (*model).setUpdateTime, nil},
	}},
	{"A host as configuration follower", []requirement{
		{"document and route table", "routes * (`sections.route` + `document.route` + `table.route`) + targets * `sections.target`", "bytes", (*model).documentBytes, constant(memoryBudget)},
		{"teams, if an entry costs what a route section costs", "teams * `sections.route`", "bytes", func(m *model) float64 { return float64(m.Teams) * m.slope("sections.route") }, constant(memoryBudget)},
		{"live heap, teams left out", "all states of this page + window of records", "bytes", (*model).heapBytes, constant(memoryBudget)},
		{"heap at a collection, GOGC=100", "2 * live heap + 48 MiB", "bytes", func(m *model) float64 { return gcHeapFactor*m.heapBytes() + heapBallastBytes }, constant(memoryBudget)},
		{"heap at a collection, served services only", "2 * (live heap - unused dispatch state) + 48 MiB", "bytes", func(m *model) float64 {
			return gcHeapFactor*(m.heapBytes()-m.dispatchBytes()*(1-m.servingHostsPerService()/float64(m.Hosts))) + heapBallastBytes
		}, constant(memoryBudget)},
		{"the same with teams", "2 * (the above live heap + teams) + 48 MiB", "bytes", func(m *model) float64 {
			served := m.heapBytes() - m.dispatchBytes()*(1-m.servingHostsPerService()/float64(m.Hosts))
			return gcHeapFactor*(served+float64(m.Teams)*m.slope("sections.route")) + heapBallastBytes
		}, constant(memoryBudget)},
		{"processor for a change of a route or target until it is in force", "`apply.delta` + `apply.assemble` + `apply.check` + `apply.compile` + targets * `configure.target`", "ns", func(m *model) float64 { return m.applyTime() + m.activateTime() }, nil},
		{"the same for any other change", "`apply.validate` in place of `apply.check`", "ns", func(m *model) float64 {
			return m.applyTime() + m.activateTime() + m.documentScale()*(m.slope("apply.validate")-m.slope("apply.check"))
		}, nil},
		{"processor, all changes concern routes and targets", "changes/s * the first", "%", (*model).configCPU, constant(cpuBudget)},
		{"time until in force everywhere", "6 rounds * (30 ms + apply) + activation", "ns", func(m *model) float64 { return pushRounds*(interRegionDelay+m.applyTime()) + m.activateTime() }, constant(activationBudget)},
		{"traffic of changes", "8 pushes * changes/s * (`push` + headers)", "bytes/s", (*model).pushBytes, constant(trafficLimit)},
		{"traffic of checkpoints, mean", "8 pushes * 3 a day * `snapshot`", "bytes/s", (*model).checkpointBytes, constant(trafficLimit)},
		{"traffic of snapshots for starting hosts, mean", "2 * 3 * restarts/s / hosts * `snapshot`", "bytes/s", (*model).startSnapshotBytes, constant(trafficLimit)},
		{"bytes that a starting host takes", "3 * `snapshot`", "bytes", func(m *model) float64 { return snapshotPeers * m.snapshotBytes() }, nil},
	}},
	{"A host as log reader, and the log service", []requirement{
		{"readers", "2 * zones", "", func(m *model) float64 { return math.Min(readersPerZone*float64(m.Zones), float64(m.Hosts)) }, nil},
		{"appends of changes, mean", "changes / day", "/s", func(m *model) float64 { return m.perSecond(m.ChangesPerDay) }, constant(300)},
		// 256 KiB is revision.MaxLogRecordBytes.
		{"records of one checkpoint", "`checkpoint.records`", "", func(m *model) float64 { return math.Max(1, math.Ceil(m.snapshotBytes()/(256<<10))) }, constant(300)},
		{"reads, long polls of 20 s", "readers * (1/20s + changes/s)", "/s", func(m *model) float64 {
			return readersPerZone * float64(m.Zones) * (0.05 + m.perSecond(m.ChangesPerDay))
		}, nil},
		{"reads a minute into an outage of the log, backoff 10 s", "zones * (2 + (60 s - 15 s) / 2 s) / 10s", "/s", func(m *model) float64 {
			readers := readersPerZone + (outageSeconds-logSilenceTimeout)/standbyDelay
			return math.Min(float64(m.Hosts), float64(m.Zones)*readers) / 10
		}, constant(300)},
	}},
	{"A host as evidence partner", []requirement{
		{"pairs with hosts of the same region", "services of a host * 3", "", (*model).evidencePairs, nil},
		{"exchanges within the region", "pairs * (1/2 + 1.5 * 2%)", "/s", (*model).exchangesPerSecond, nil},
		// 256 is the limit of idle connections of the peer adapter.
		{"peer connections", "pairs, at most 256 kept", "", (*model).evidencePairs, constant(256)},
		{"targets with attempts in flight on a report", "requests/s * 50 ms / services / serving hosts", "", (*model).activeTargets, nil},
		{"traffic, if every pair exchanged each second", "pairs * (`exchange` + `exchange.service` + targets * `exchange.target` + headers)", "bytes/s", func(m *model) float64 { return m.evidencePairs() * m.exchangeBytes() }, constant(trafficLimit)},
		{"traffic", "exchanges * (`exchange` + `exchange.service` + targets * `exchange.target` + headers) + changes of other regions", "bytes/s", (*model).evidenceBytes, constant(trafficLimit)},
		{"processor", "exchanges * `exchange.time` / 2", "%", (*model).evidenceCPU, constant(cpuBudget)},
	}},
	{"A host as ticket issuer", []requirement{
		{"tickets held", "requests/s of a host * 20% * 600 s", "", (*model).ticketsHeld, constant(float64(ticket.DefaultConfig().MaxTickets))},
		{"tickets held, if every request has one", "requests/s of a host * 600 s", "", func(m *model) float64 { return m.ticketsHeld() / ticketShare }, constant(float64(ticket.DefaultConfig().MaxTickets))},
		{"state, responses left out", "tickets held * `ticket.state`", "bytes", func(m *model) float64 { return m.ticketsHeld() * m.slope("ticket.state") }, constant(memoryBudget)},
		{"stored responses, at most", "`MaxBytes`", "bytes", func(*model) float64 { return float64(ticket.DefaultConfig().MaxBytes) }, constant(memoryBudget)},
		{"processor", "tickets/s * `ticket.time`", "%", func(m *model) float64 { return percent(m.requestsPerHost() * ticketShare * m.slope("ticket.time")) }, constant(cpuBudget)},
	}},
	{"One host, all roles", []requirement{
		{"traffic sent and received", "membership + evidence + changes + checkpoints + snapshots", "bytes/s", (*model).controlBytes, constant(trafficLimit)},
		{"processor of the control plane", "membership + configuration + timers + evidence", "%", (*model).controlCPU, constant(cpuBudget)},
	}},
	{"The link between regions, each way", []requirement{
		{"membership", "hosts * 2/s * 1/2 * 1/2 * datagram", "bytes/s", (*model).linkMembership, constant(linkBudget)},
		{"evidence, if every pair exchanged each second", "services * 16 * exchange / 2", "bytes/s", func(m *model) float64 { return m.remotePairs() * m.exchangeBytes() / 2 }, constant(linkBudget)},
		{"evidence, 2% of the pairs have changes each way", "services * 16 * 4% * exchange / 2", "bytes/s", (*model).linkEvidence, constant(linkBudget)},
		{"changes, read by the readers of the region without the log", "2 * zones / 2 * changes/s * record", "bytes/s", (*model).linkChanges, constant(linkBudget)},
		{"sum of membership, evidence with 2% changes, and changes", "", "bytes/s", func(m *model) float64 { return m.linkMembership() + m.linkEvidence() + m.linkChanges() }, constant(linkBudget)},
		{"one checkpoint", "2 * zones / 2 * `snapshot`", "bytes", (*model).linkCheckpoint, nil},
		{"time of the whole link for one checkpoint", "the above / 3.75 MB/s", "ns", func(m *model) float64 { return m.linkCheckpoint() / linkBudget * 1e9 }, nil},
	}},
	{"Network partitions and recovery", []requirement{
		{"a rack fails: until its last host is suspected everywhere", "40 hosts / updates received in a second + 4 s", "ns", func(m *model) float64 {
			return m.disseminationTime(math.Min(hostsPerRack, float64(m.Hosts)/float64(m.Zones)))
		}, nil},
		{"hosts of a zone", "hosts / zones", "", func(m *model) float64 { return float64(m.Hosts) / float64(m.Zones) }, nil},
		{"a zone fails: until its last host is suspected everywhere", "hosts of the zone / updates received in a second + 4 s", "ns", func(m *model) float64 { return m.disseminationTime(float64(m.Hosts) / float64(m.Zones)) }, nil},
		{"a zone fails: index updates on each host", "hosts of the zone * `set.update`", "ns", func(m *model) float64 { return float64(m.Hosts) / float64(m.Zones) * m.setUpdateTime() }, nil},
		{"a region is partitioned: until its last host is suspected on the other side", "half of the hosts / updates received in a second + 4 s", "ns", func(m *model) float64 { return m.disseminationTime(float64(m.Hosts) / 2) }, nil},
		{"recovery: until some host of the other side has probed each failed host", "5 s * ln(hosts / 2)", "ns", (*model).reprobeTime, nil},
		{"recovery: until every host lists the other side again", "the above + half of the hosts / updates received in a second", "ns", func(m *model) float64 { return m.reprobeTime() + float64(m.Hosts)/2/m.updateCapacity()*1e9 }, nil},
		{"recovery: records of an hour for all hosts of a region, over the link", "hosts / 2 * changes in an hour * record", "bytes", func(m *model) float64 { return float64(m.Hosts) / 2 * m.ChangesPerDay / 24 * m.slope("record.change") }, nil},
		{"the same with a checkpoint in that hour", "+ hosts / 2 * `snapshot`", "bytes", func(m *model) float64 {
			return float64(m.Hosts) / 2 * (m.ChangesPerDay/24*m.slope("record.change") + m.snapshotBytes())
		}, nil},
		{"a host starts: until it has heard of every host", "`member.join`, scaled by hosts", "s", func(m *model) float64 { return m.slope("member.join") * float64(m.Hosts) / float64(TargetSize().Hosts) }, nil},
		{"hosts with an incomplete list at any time", "restarts/s * the above", "", func(m *model) float64 {
			return m.perSecond(m.RestartsPerDay) * m.slope("member.join") * float64(m.Hosts) / float64(TargetSize().Hosts)
		}, nil},
	}},
}

// linkMembership returns the bytes per second in one direction. Each host sends 2
// datagrams per second, half of them to the other region; half of those go each way.
func (m *model) linkMembership() float64 { return float64(m.Hosts) * 2 / 4 * m.datagramBytes() }

func (m *model) linkEvidence() float64 {
	return m.remotePairs() * 2 * changedReportShare * m.remoteExchangeBytes() / 2
}

// linkReaders returns the number of log readers in the region without the log
// service.
func (m *model) linkReaders() float64 { return readersPerZone * float64(m.Zones) / 2 }

func (m *model) linkChanges() float64 {
	return m.linkReaders() * m.perSecond(m.ChangesPerDay) * m.slope("record.change")
}

func (m *model) linkCheckpoint() float64 { return m.linkReaders() * m.snapshotBytes() }

// reprobeTime returns the nanoseconds until each failed host has been probed once, if
// every host probes a random failed host every 5 s.
func (m *model) reprobeTime() float64 { return 5e9 * math.Log(float64(m.Hosts)/2) }

// disseminationTime returns the nanoseconds until a host has received a number of
// updates on the messages that are sent to it.
func (m *model) disseminationTime(updates float64) float64 {
	return (updates/m.updateCapacity() + 4) * 1e9
}

// RoleTables returns the requirements of every role at both sizes as Markdown.
func RoleTables(s *Slopes) string {
	current, target := &model{CurrentSize(), s}, &model{TargetSize(), s}
	text := ""
	for _, r := range roles {
		rows := make([][]string, 0, len(r.requirements))
		for _, need := range r.requirements {
			rows = append(rows, need.cells(current, target))
		}
		text += "### " + r.name + "\n\n" + markdownTable([]string{"Need", "Formula", "Today", "Target size", "Limit", "Target size reached"}, rows) + "\n"
	}
	return text
}

func (r requirement) cells(current, target *model) []string {
	cells := []string{r.description, r.formula, formatValue(r.value(current), r.unit), formatValue(r.value(target), r.unit)}
	if r.limit == nil {
		return append(cells, "", "")
	}
	limit, value := r.limit(target), r.value(target)
	verdict := "yes"
	if value > limit {
		verdict = fmt.Sprintf("**no**, %s times", formatNumber(value/limit))
	}
	return append(cells, formatValue(limit, r.unit), verdict)
}
