package replay

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// probeTimeout is the time after which a probe without a response fails.
const probeTimeout = time.Second

// evidenceEvent sends the evidence of a host to the other hosts.
type evidenceEvent struct{ host *host }

func (e evidenceEvent) apply(sim *simulation) {
	if !e.host.acceptsRequests() {
		return
	}
	report := e.host.decider.Evidence(sim.clock())
	report.Host = e.host.declared.ID
	// The simulation assigns the incarnation; the decider does not know it.
	report.Incarnation = e.host.incarnation
	for _, to := range sim.hosts {
		if to == e.host || !to.acceptsRequests() {
			continue
		}
		extraDelay, dropped := sim.evidenceDelay(e.host.index, to.index)
		if !dropped {
			delay := sim.delay(e.host.declared.Location, to.declared.Location) + sim.trace.Evidence.Delay + extraDelay
			sim.queue.push(sim.now+delay, &mergeEvent{to: to, report: report})
		}
	}
	sim.queue.push(sim.now+sim.trace.Evidence.Interval, e)
}

// evidenceDelay returns the extra delay of a report between two hosts, and true if
// the report is dropped.
func (sim *simulation) evidenceDelay(from, to int) (time.Duration, bool) {
	var extraDelay time.Duration
	for _, c := range sim.cuts {
		if sim.now >= c.Until || !c.affects(from, to) {
			continue
		}
		if c.Delay == 0 {
			return 0, true
		}
		extraDelay = max(extraDelay, c.Delay)
	}
	return extraDelay, false
}

func (c *EvidenceCut) affects(from, to int) bool {
	if slices.Contains(c.From, from) && slices.Contains(c.To, to) {
		return true
	}
	return !c.OneWay && slices.Contains(c.From, to) && slices.Contains(c.To, from)
}

type mergeEvent struct {
	to     *host
	report health.Evidence
}

func (e *mergeEvent) apply(sim *simulation) {
	if !e.to.killed {
		sim.applyActions(e.to, e.to.decider.Merge(sim.clock(), e.report))
	}
}

// loadPollEvent requests the load reports of all targets for one host.
type loadPollEvent struct{ host *host }

func (e loadPollEvent) apply(sim *simulation) {
	if !e.host.acceptsRequests() {
		return
	}
	for _, i := range e.host.configuredTargets {
		t := sim.targets[i]
		if t.behaviour.NoLoadReport || sim.matchingFault(t, e.host, isUnreachable) != nil {
			continue
		}
		sim.queue.push(sim.now+t.behaviour.LoadReportAge, &loadReportEvent{host: e.host, report: t.loadReport()})
	}
	sim.queue.push(sim.now+sim.trace.Load.Interval, e)
}

func isUnreachable(k FaultKind) bool {
	return k == FaultDown || k == FaultBlackout || k == FaultOneWay || k == FaultDial
}

func (t *target) loadReport() dispatch.LoadReport {
	r := dispatch.LoadReport{Target: t.declared.ID, InFlight: t.busySlots + len(t.queue), Slots: t.declared.Slots, Draining: t.draining}
	if t.behaviour.ReportedInFlight >= 0 {
		r.InFlight = t.behaviour.ReportedInFlight
	}
	return r
}

type loadReportEvent struct {
	host   *host
	report dispatch.LoadReport
}

func (e *loadReportEvent) apply(sim *simulation) {
	if !e.host.killed {
		sim.applyActions(e.host, e.host.decider.LoadReport(sim.clock(), e.report))
	}
}

// startProbe decides the result of a probe and schedules its delivery.
func (sim *simulation) startProbe(h *host, id ident.TargetID) {
	index, known := sim.targetIndex[id]
	if !known {
		sim.fail("probe of unknown target %q", id)
		return
	}
	succeeded := sim.probeSucceeds(sim.targets[index], h)
	duration := sim.trace.Network.ProbeTime
	if !succeeded && sim.matchingFault(sim.targets[index], h, withoutResponse) != nil {
		duration = probeTimeout
	}
	sim.queue.push(sim.now+duration, &probeResultEvent{host: h, target: id, ok: succeeded, duration: duration})
}

func withoutResponse(k FaultKind) bool {
	return k == FaultTimeout || k == FaultBlackout || k == FaultOneWay
}

// probeSucceeds reports whether a probe passes. The probe mode of an active fault
// takes precedence over that of the target.
func (sim *simulation) probeSucceeds(t *target, h *host) bool {
	mode := t.behaviour.ProbeMode
	for _, f := range t.faults {
		if f.ProbeModeSet && f.activeAt(sim.now) && f.affectsHost(h.index) {
			mode = f.ProbeMode
		}
	}
	if mode == ProbesFollowFaults {
		return sim.matchingFault(t, h, isFailure) == nil
	}
	return mode == ProbesPass
}

type probeResultEvent struct {
	host     *host
	target   ident.TargetID
	ok       bool
	duration time.Duration
}

func (e *probeResultEvent) apply(sim *simulation) {
	if !e.host.killed {
		sim.applyActions(e.host, e.host.decider.ProbeResult(sim.clock(), e.target, e.ok, e.duration))
	}
}
