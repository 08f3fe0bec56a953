package dispatch

import (
	"maps"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

const (
	// maxPeerReports limits the number of hosts whose last evidence is tracked.
	maxPeerReports = 256
	// peerEvictionAge is the time without evidence after which a host may be
	// evicted from a full table. Delayed evidence is far younger than that, and
	// a load that is accepted out of order still decays within a report's
	// lifetime.
	peerEvictionAge = time.Minute
)

// peerReport identifies the newest evidence from a host.
type peerReport struct {
	incarnation ident.Incarnation
	sequence    uint64
	receivedAt  time.Time
}

func (p peerReport) olderThan(e health.Evidence) bool {
	if p.incarnation != e.Incarnation {
		return p.incarnation < e.Incarnation
	}
	return p.sequence < e.Sequence
}

// LoadReport handles a load report of a target. This host's attempts in flight
// are a lower bound of the load, and a report can add at most the declared slots.
func (d *Dispatcher) LoadReport(now time.Time, r LoadReport) []Action {
	t := d.targets[r.Target]
	if t == nil {
		return nil
	}
	if r.Slots > 0 {
		t.otherLoad.SetTargetReport(now, float64(min(r.InFlight-t.inFlight, t.Slots)))
	}
	if r.Draining {
		d.startDraining(now, t, r.FromResponse)
	} else {
		d.endDraining(now, t)
	}
	d.refreshTarget(now, t)
	d.syncRotations(now)
	return d.finishEvent(now)
}

func (d *Dispatcher) startDraining(now time.Time, t *target, fromResponse bool) {
	if t.removed {
		return
	}
	t.announcedByResponse = fromResponse || (t.announcedByResponse && t.draining(now))
	t.drainHoldUntil = now.Add(drainHoldTime)
	t.drainReported = true
	d.recordChanges(d.health.SetDraining(now, t.ID, true))
	d.refreshTarget(now, t)
}

// endDraining handles a report that a target is not draining. Reports may be
// stale, so one that contradicts an announcement in a response is ignored during
// the hold time.
func (d *Dispatcher) endDraining(now time.Time, t *target) {
	if !t.drainReported || (t.announcedByResponse && t.draining(now)) {
		return
	}
	t.drainReported, t.announcedByResponse = false, false
	t.drainHoldUntil = time.Time{}
	d.recordChanges(d.health.SetDraining(now, t.ID, false))
}

// Evidence returns the evidence for the other serving hosts.
func (d *Dispatcher) Evidence(now time.Time) health.Evidence {
	e := d.health.Evidence(now)
	for i := range e.Targets {
		if t := d.targets[e.Targets[i].Target]; t != nil {
			e.Targets[i].InFlight = uint32(t.inFlight)
		}
	}
	return e
}

// Merge applies the evidence of another serving host.
func (d *Dispatcher) Merge(now time.Time, e health.Evidence) []Action {
	if e.Host != d.self.Host && d.acceptPeerReport(now, e) {
		d.mergeLoad(now, e)
	}
	d.recordChanges(d.health.Merge(now, e))
	d.syncRotations(now)
	d.refreshTrials(now)
	d.sendDueProbes(now)
	return d.finishEvent(now)
}

func (d *Dispatcher) acceptPeerReport(now time.Time, e health.Evidence) bool {
	last, known := d.peerReports[e.Host]
	if known && !last.olderThan(e) {
		return false
	}
	if !known && len(d.peerReports) >= maxPeerReports && !d.evictPeers(now) {
		return false
	}
	d.peerReports[e.Host] = peerReport{e.Incarnation, e.Sequence, now}
	return true
}

// evictPeers removes hosts that stopped reporting and returns whether there were
// any.
func (d *Dispatcher) evictPeers(now time.Time) bool {
	before := len(d.peerReports)
	maps.DeleteFunc(d.peerReports, func(_ ident.HostID, p peerReport) bool {
		return now.Sub(p.receivedAt) >= peerEvictionAge
	})
	return len(d.peerReports) < before
}

func (d *Dispatcher) mergeLoad(now time.Time, e health.Evidence) {
	for _, te := range e.Targets {
		t := d.targets[te.Target]
		if t == nil {
			continue
		}
		t.otherLoad.SetPeerReport(now, e.Host, min(float64(te.InFlight), float64(t.Slots)))
		d.refreshTarget(now, t)
	}
}
