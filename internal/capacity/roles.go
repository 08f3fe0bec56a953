package capacity

import (
	"fmt"
	"math"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ticket"
)

// role is one job of a host, or a part that all hosts share.
type role struct {
	name string
	rows []row
}

func fixed(limit float64) func(*model) float64 {
	return func(*model) float64 { return limit }
}

var roles = []role{
	{"A host as proxy", []row{
		{"services that a host serves", "services * 4 * regions / hosts", "", (*model).servicesPerHost, nil},
		{"connections at a target, serving sets", "serving hosts * slots", "", func(m *model) float64 { return m.sets() * float64(m.SlotsPerTarget) }, fixed(targetConnections)},
		{"connections at a target, every host to every target", "hosts * 1", "", func(m *model) float64 { return float64(m.Hosts) }, fixed(targetConnections)},
		{"probes that a target gets from the serving hosts of each region together", "regions * 0.5/s", "/s", func(m *model) float64 { return float64(m.Regions) * probesPerSecond }, func(*model) float64 { return 0.1 / 0.025 }},
		{"probes that a target would get from every host (ruled out)", "hosts * 0.5/s", "/s", func(m *model) float64 { return float64(m.Hosts) * probesPerSecond }, func(*model) float64 { return 0.1 / 0.025 }},
		{"probes that a host sends", "targets of its services * 0.5/s / 4 serving hosts", "/s", func(m *model) float64 { return m.servedTargets() * probesPerSecond / servingHosts }, nil},
		{"load reports that a host reads", "targets of its services in its region * 1/s", "/s", func(m *model) float64 { return m.servedTargets() / float64(m.Regions) }, nil},
		{"dispatch state, all services", "services * `state.service` + targets * `state.target`", "bytes", (*model).dispatchBytes, fixed(memoryBudget)},
		{"dispatch state, served services only", "the same * serving hosts / hosts", "bytes", func(m *model) float64 { return m.dispatchBytes() * m.sets() / float64(m.Hosts) }, fixed(memoryBudget)},
		{"timers of all targets", "targets * `tick.target`", "%", (*model).dispatchCPU, fixed(coreBudget)},
		{"decisions about requests (not control plane)", "requests/s of a host * (`selection` + `outcome`)", "%", func(m *model) float64 {
			return percent(m.requestsPerHost() * (m.slope("selection") + m.slope("outcome")))
		}, nil},
	}},
	{"A host as member", []row{
		{"state", "hosts * `state.member` + services * regions * `state.set`", "bytes", (*model).memberBytes, fixed(memoryBudget)},
		{"messages sent and received", "2 probes + 2 replies", "/s", func(*model) float64 { return 4 }, nil},
		{"updates to send", "restarts/s * 3 * retransmits", "/s", (*model).wantedUpdates, (*model).carriedUpdates},
		{"traffic", "4 * (`datagram` + 28 + updates * `datagram.update`)", "bytes/s", (*model).membershipBytes, fixed(trafficLimit)},
		{"processor", "`member.tick` + 4 * `datagram.codec` + 2 * `member.receive.busy` + 2 * `member.list` + ranks + index updates", "%", (*model).memberCPU, fixed(coreBudget)},
		{"one host joins or leaves, in the index", "`set.update`", "ns", (*model).setUpdateTime, nil},
	}},
	{"A host as configuration follower", []row{
		{"document and route table", "routes * (`sections.route` + `document.route` + `table.route`) + targets * `sections.target`", "bytes", (*model).documentBytes, fixed(memoryBudget)},
		{"teams, if an entry costs what a route section costs", "teams * `sections.route`", "bytes", func(m *model) float64 { return float64(m.Teams) * m.slope("sections.route") }, fixed(memoryBudget)},
		{"live heap, teams left out", "all states of this page + window of records", "bytes", (*model).heapBytes, fixed(memoryBudget)},
		{"heap at a collection, GOGC=100", "2 * live heap + 48 MiB", "bytes", func(m *model) float64 { return garbageFactor*m.heapBytes() + heapFloor }, fixed(memoryBudget)},
		{"heap at a collection, served services only", "2 * (live heap - unused dispatch state) + 48 MiB", "bytes", func(m *model) float64 {
			return garbageFactor*(m.heapBytes()-m.dispatchBytes()*(1-m.sets()/float64(m.Hosts))) + heapFloor
		}, fixed(memoryBudget)},
		{"the same with teams", "2 * (the above live heap + teams) + 48 MiB", "bytes", func(m *model) float64 {
			served := m.heapBytes() - m.dispatchBytes()*(1-m.sets()/float64(m.Hosts))
			return garbageFactor*(served+float64(m.Teams)*m.slope("sections.route")) + heapFloor
		}, fixed(memoryBudget)},
		{"processor for a change of a route or target until it is in force", "`apply.delta` + `apply.assemble` + `apply.check` + `apply.compile` + targets * `configure.target`", "ns", func(m *model) float64 { return m.applyTime() + m.activateTime() }, nil},
		{"the same for any other change", "`apply.validate` in place of `apply.check`", "ns", func(m *model) float64 {
			return m.applyTime() + m.activateTime() + m.sections()*(m.slope("apply.validate")-m.slope("apply.check"))
		}, nil},
		{"processor, all changes concern routes and targets", "changes/s * the first", "%", (*model).configCPU, fixed(coreBudget)},
		{"time until in force everywhere", "6 rounds * (30 ms + apply) + activation", "ns", func(m *model) float64 { return pushRounds*(oneWayBetween+m.applyTime()) + m.activateTime() }, fixed(effectBudget)},
		{"traffic of changes", "8 pushes * changes/s * (`push` + headers)", "bytes/s", (*model).pushBytes, fixed(trafficLimit)},
		{"traffic of checkpoints, mean", "8 pushes * 3 a day * `snapshot`", "bytes/s", (*model).checkpointBytes, fixed(trafficLimit)},
		{"traffic of snapshots for starting hosts, mean", "2 * 3 * restarts/s / hosts * `snapshot`", "bytes/s", (*model).joinBytes, fixed(trafficLimit)},
		{"bytes that a starting host takes", "3 * `snapshot`", "bytes", func(m *model) float64 { return snapshotPeers * m.snapshotBytes() }, nil},
	}},
	{"A host as log reader, and the log service", []row{
		{"readers", "2 * zones", "", func(m *model) float64 { return math.Min(readersPerZone*float64(m.Zones), float64(m.Hosts)) }, nil},
		{"appends of changes, mean", "changes / day", "/s", func(m *model) float64 { return m.perSecond(m.ChangesPerDay) }, fixed(300)},
		{"records of one checkpoint", "`checkpoint.records`", "", func(m *model) float64 { return math.Max(1, math.Ceil(m.snapshotBytes()/(256<<10))) }, fixed(300)},
		{"reads, long polls of 20 s", "readers * (1/20s + changes/s)", "/s", func(m *model) float64 {
			return readersPerZone * float64(m.Zones) * (0.05 + m.perSecond(m.ChangesPerDay))
		}, nil},
		{"reads a minute into an outage of the log, backoff 10 s", "zones * (2 + (60 s - 15 s) / 2 s) / 10s", "/s", func(m *model) float64 {
			readers := readersPerZone + (outage-silenceLimit)/standbyDelay
			return math.Min(float64(m.Hosts), float64(m.Zones)*readers) / 10
		}, fixed(300)},
	}},
	{"A host as evidence partner", []row{
		{"pairs with hosts of the same region", "services of a host * 3", "", (*model).partners, nil},
		{"exchanges within the region", "pairs * (1/2 + 1.5 * 2%)", "/s", (*model).calls, nil},
		{"peer connections", "pairs, at most 256 kept", "", (*model).partners, fixed(256)},
		{"targets with attempts in flight on a report", "requests/s * 50 ms / services / serving hosts", "", (*model).busyTargets, nil},
		{"traffic, before: every pair each second", "pairs * (`exchange` + `exchange.service` + targets * `exchange.target` + headers)", "bytes/s", func(m *model) float64 { return m.partners() * m.exchangeBytes() }, fixed(trafficLimit)},
		{"traffic, now", "exchanges * (`exchange` + `exchange.service` + targets * `exchange.target` + headers) + news of other regions", "bytes/s", (*model).evidenceBytes, fixed(trafficLimit)},
		{"processor", "exchanges * `exchange.time` / 2", "%", (*model).evidenceCPU, fixed(coreBudget)},
	}},
	{"A host as ticket issuer", []row{
		{"tickets held", "requests/s of a host * 20% * 600 s", "", (*model).ticketsHeld, fixed(float64(ticket.DefaultConfig().MaxTickets))},
		{"tickets held, if every request has one", "requests/s of a host * 600 s", "", func(m *model) float64 { return m.ticketsHeld() / ticketShare }, fixed(float64(ticket.DefaultConfig().MaxTickets))},
		{"state, responses left out", "tickets held * `ticket.state`", "bytes", func(m *model) float64 { return m.ticketsHeld() * m.slope("ticket.state") }, fixed(memoryBudget)},
		{"stored responses, at most", "`MaxBytes`", "bytes", func(*model) float64 { return float64(ticket.DefaultConfig().MaxBytes) }, fixed(memoryBudget)},
		{"processor", "tickets/s * `ticket.time`", "%", func(m *model) float64 { return percent(m.requestsPerHost() * ticketShare * m.slope("ticket.time")) }, fixed(coreBudget)},
	}},
	{"One host, all roles", []row{
		{"traffic sent and received", "membership + evidence + changes + checkpoints + snapshots", "bytes/s", (*model).controlBytes, fixed(trafficLimit)},
		{"processor of the control plane", "membership + configuration + timers + evidence", "%", (*model).controlCPU, fixed(coreBudget)},
	}},
	{"The link between regions, each way", []row{
		{"membership", "hosts * 2/s * 1/2 * 1/2 * datagram", "bytes/s", (*model).linkMembership, fixed(linkBudget)},
		{"evidence, before: every pair each second", "services * 16 * exchange / 2", "bytes/s", func(m *model) float64 { return m.remotePairs() * m.exchangeBytes() / 2 }, fixed(linkBudget)},
		{"evidence, now: 2% of the pairs have news each way", "services * 16 * 4% * exchange / 2", "bytes/s", (*model).linkEvidence, fixed(linkBudget)},
		{"changes, read by the readers of the region without the log", "2 * zones / 2 * changes/s * record", "bytes/s", (*model).linkChanges, fixed(linkBudget)},
		{"sum of these, now", "", "bytes/s", func(m *model) float64 { return m.linkMembership() + m.linkEvidence() + m.linkChanges() }, fixed(linkBudget)},
		{"one checkpoint", "2 * zones / 2 * `snapshot`", "bytes", (*model).linkCheckpoint, nil},
		{"time of the whole link for one checkpoint", "the above / 3.75 MB/s", "ns", func(m *model) float64 { return m.linkCheckpoint() / linkBudget * 1e9 }, nil},
	}},
	{"Cuts and their end", []row{
		{"a rack fails: until its last host is suspected everywhere", "40 hosts / updates received in a second + 4 s", "ns", func(m *model) float64 { return m.spreadTime(math.Min(rackHosts, float64(m.Hosts)/float64(m.Zones))) }, nil},
		{"hosts of a zone", "hosts / zones", "", func(m *model) float64 { return float64(m.Hosts) / float64(m.Zones) }, nil},
		{"a zone fails: until its last host is suspected everywhere", "hosts of the zone / updates received in a second + 4 s", "ns", func(m *model) float64 { return m.spreadTime(float64(m.Hosts) / float64(m.Zones)) }, nil},
		{"a zone fails: index updates on each host", "hosts of the zone * `set.update`", "ns", func(m *model) float64 { return float64(m.Hosts) / float64(m.Zones) * m.setUpdateTime() }, nil},
		{"a region is cut: until its last host is suspected on the other side", "half of the hosts / updates received in a second + 4 s", "ns", func(m *model) float64 { return m.spreadTime(float64(m.Hosts) / 2) }, nil},
		{"healed: until some host of the other side has probed each failed host", "5 s * ln(hosts / 2)", "ns", (*model).reprobeTime, nil},
		{"healed: until every host lists the other side again", "the above + half of the hosts / updates received in a second", "ns", func(m *model) float64 { return m.reprobeTime() + float64(m.Hosts)/2/m.carriedUpdates()*1e9 }, nil},
		{"healed: records of an hour for all hosts of a region, over the link", "hosts / 2 * changes in an hour * record", "bytes", func(m *model) float64 { return float64(m.Hosts) / 2 * m.ChangesPerDay / 24 * m.slope("record.change") }, nil},
		{"the same with a checkpoint in that hour", "+ hosts / 2 * `snapshot`", "bytes", func(m *model) float64 {
			return float64(m.Hosts) / 2 * (m.ChangesPerDay/24*m.slope("record.change") + m.snapshotBytes())
		}, nil},
		{"a host starts: until it has heard of every host", "`member.join`, scaled by hosts", "s", func(m *model) float64 { return m.slope("member.join") * float64(m.Hosts) / float64(TargetSize().Hosts) }, nil},
		{"hosts with an incomplete list at any time", "restarts/s * the above", "", func(m *model) float64 {
			return m.perSecond(m.RestartsPerDay) * m.slope("member.join") * float64(m.Hosts) / float64(TargetSize().Hosts)
		}, nil},
	}},
}

func (m *model) linkMembership() float64 { return float64(m.Hosts) * 2 / 4 * m.datagramBytes() }
func (m *model) linkEvidence() float64 {
	return m.remotePairs() * 2 * newsShare * m.remoteExchangeBytes() / 2
}

// linkReaders returns the log readers of the region without the log service.
func (m *model) linkReaders() float64 { return readersPerZone * float64(m.Zones) / 2 }

func (m *model) linkChanges() float64 {
	return m.linkReaders() * m.perSecond(m.ChangesPerDay) * m.slope("record.change")
}

func (m *model) linkCheckpoint() float64 { return m.linkReaders() * m.snapshotBytes() }

// reprobeTime is the time until each failed host was probed once, when each host
// probes a random one every 5 s, in nanoseconds.
func (m *model) reprobeTime() float64 { return 5e9 * math.Log(float64(m.Hosts)/2) }

// spreadTime is the time until a number of updates has reached a host by the
// updates on the messages it receives, in nanoseconds.
func (m *model) spreadTime(updates float64) float64 { return (updates/m.carriedUpdates() + 4) * 1e9 }

// Roles returns the needs of every role at both sizes as Markdown.
func RoleTables(s *Slopes) string {
	today, target := &model{CurrentSize(), s}, &model{TargetSize(), s}
	text := ""
	for _, r := range roles {
		rows := make([][]string, 0, len(r.rows))
		for _, need := range r.rows {
			rows = append(rows, need.cells(today, target))
		}
		text += "### " + r.name + "\n\n" + table([]string{"Need", "Formula", "Today", "Target size", "Limit", "Target size reached"}, rows) + "\n"
	}
	return text
}

func (r row) cells(today, target *model) []string {
	cells := []string{r.need, r.formula, format(r.value(today), r.unit), format(r.value(target), r.unit)}
	if r.limit == nil {
		return append(cells, "", "")
	}
	limit, value := r.limit(target), r.value(target)
	verdict := "yes"
	if value > limit {
		verdict = fmt.Sprintf("**no**, %s times", number(value/limit))
	}
	return append(cells, format(limit, r.unit), verdict)
}
