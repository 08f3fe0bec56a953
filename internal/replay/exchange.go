package replay

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// probeTimeout ends a probe that gets no response.
const probeTimeout = time.Second

// exchangeEvent sends the evidence of a host to the other hosts.
type exchangeEvent struct{ h *host }

func (e exchangeEvent) happen(p *player) {
	if !e.h.takes() {
		return
	}
	report := e.h.decider.Evidence(p.clock())
	report.Host = e.h.decl.ID
	// The driver knows the incarnation; a decider has no source for it.
	report.Incarnation = e.h.incarnation
	for _, to := range p.hosts {
		if to == e.h || !to.takes() {
			continue
		}
		extra, cut := p.cutBetween(e.h.index, to.index)
		if !cut {
			delay := p.delay(e.h.decl.Location, to.decl.Location) + p.trace.Evidence.Delay + extra
			p.queue.push(p.now+delay, &mergeEvent{to: to, report: report})
		}
	}
	p.queue.push(p.now+p.trace.Evidence.Interval, e)
}

// cutBetween returns the extra delay of a report and whether it is lost.
func (p *player) cutBetween(from, to int) (time.Duration, bool) {
	var extra time.Duration
	for _, c := range p.cuts {
		if p.now >= c.Until || !c.covers(from, to) {
			continue
		}
		if c.Delay == 0 {
			return 0, true
		}
		extra = max(extra, c.Delay)
	}
	return extra, false
}

func (c *EvidenceCut) covers(from, to int) bool {
	if slices.Contains(c.From, from) && slices.Contains(c.To, to) {
		return true
	}
	return !c.OneWay && slices.Contains(c.From, to) && slices.Contains(c.To, from)
}

type mergeEvent struct {
	to     *host
	report health.Evidence
}

func (e *mergeEvent) happen(p *player) {
	if !e.to.dead {
		p.drive(e.to, e.to.decider.Merge(p.clock(), e.report))
	}
}

// loadEvent reads the load reports of all targets by one host.
type loadEvent struct{ h *host }

func (e loadEvent) happen(p *player) {
	if !e.h.takes() {
		return
	}
	for _, i := range e.h.order {
		t := p.targets[i]
		if t.behaviour.NoLoadReport || p.meets(t, e.h, isUnreachable) != nil {
			continue
		}
		p.queue.push(p.now+t.behaviour.LoadReportAge, &loadResult{h: e.h, report: t.load()})
	}
	p.queue.push(p.now+p.trace.Load.Interval, e)
}

func isUnreachable(k FaultKind) bool {
	return k == FaultDown || k == FaultBlackout || k == FaultOneWay || k == FaultDial
}

func (t *target) load() dispatch.LoadReport {
	r := dispatch.LoadReport{Target: t.decl.ID, InFlight: t.busy + len(t.waiting), Slots: t.decl.Slots, Draining: t.draining}
	if t.behaviour.ReportedInFlight >= 0 {
		r.InFlight = t.behaviour.ReportedInFlight
	}
	return r
}

type loadResult struct {
	h      *host
	report dispatch.LoadReport
}

func (e *loadResult) happen(p *player) {
	if !e.h.dead {
		p.drive(e.h, e.h.decider.LoadReport(p.clock(), e.report))
	}
}

// probe starts a probe of a target.
func (p *player) probe(h *host, id ident.TargetID) {
	i, known := p.index[id]
	if !known {
		p.fail("probe of unknown target %q", id)
		return
	}
	ok := p.probePasses(p.targets[i], h)
	took := p.trace.Network.ProbeTime
	if !ok && p.meets(p.targets[i], h, isSilent) != nil {
		took = probeTimeout
	}
	p.queue.push(p.now+took, &probeResult{h: h, id: id, ok: ok, took: took})
}

func isSilent(k FaultKind) bool {
	return k == FaultTimeout || k == FaultBlackout || k == FaultOneWay
}

// probePasses uses the probe mode of an active fault, then that of the target.
func (p *player) probePasses(t *target, h *host) bool {
	mode := t.behaviour.ProbeMode
	for _, f := range t.faults {
		if f.ProbeModeSet && f.active(p.now) && f.marks(h.index) {
			mode = f.ProbeMode
		}
	}
	if mode == ProbesFollowFaults {
		return p.meets(t, h, isFailure) == nil
	}
	return mode == ProbesPass
}

type probeResult struct {
	h    *host
	id   ident.TargetID
	ok   bool
	took time.Duration
}

func (e *probeResult) happen(p *player) {
	if !e.h.dead {
		p.drive(e.h, e.h.decider.ProbeResult(p.clock(), e.id, e.ok, e.took))
	}
}
