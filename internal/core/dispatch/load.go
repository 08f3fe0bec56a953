package dispatch

import (
	"maps"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

const (
	// maxPeerReports bounds the hosts whose last evidence is remembered.
	maxPeerReports = 256
	// peerForgotten is the time after which a host without evidence may be
	// forgotten to make room. Delayed evidence is far younger, and a load that
	// comes later still decays within a report's lifetime.
	peerForgotten = time.Minute
)

// peerReport identifies the newest evidence from a host.
type peerReport struct {
	incarnation ident.Incarnation
	sequence    uint64
	at          time.Time
}

func (p peerReport) before(e health.Evidence) bool {
	if p.incarnation != e.Incarnation {
		return p.incarnation < e.Incarnation
	}
	return p.sequence < e.Sequence
}

// LoadReport reports a target's load. Own attempts in flight are a lower bound
// of the load, and the declared slots an upper bound of what a report can add.
func (d *Dispatcher) LoadReport(now time.Time, r LoadReport) []Action {
	t := d.targets[r.Target]
	if t == nil {
		return nil
	}
	if r.Slots > 0 {
		t.reported.FromTarget(now, float64(min(r.InFlight-t.inFlight, t.Slots)))
	}
	if r.Draining {
		d.announceDraining(now, t, r.FromResponse)
	} else {
		d.endDraining(now, t)
	}
	d.refresh(now, t)
	d.syncAll(now)
	return d.settle(now)
}

func (d *Dispatcher) announceDraining(now time.Time, t *target, byAttempt bool) {
	if t.removed {
		return
	}
	t.announced = byAttempt || (t.announced && t.draining(now))
	t.drainUntil = now.Add(drainHold)
	t.drained = true
	d.record(d.health.SetDraining(now, t.ID, true))
	d.refresh(now, t)
}

// endDraining takes a report that a target does not drain. Reports may be
// stale, so an announcement seen by an attempt outweighs them for a time.
func (d *Dispatcher) endDraining(now time.Time, t *target) {
	if !t.drained || (t.announced && t.draining(now)) {
		return
	}
	t.drained, t.announced = false, false
	t.drainUntil = time.Time{}
	d.record(d.health.SetDraining(now, t.ID, false))
}

// Evidence returns the report for the other serving hosts.
func (d *Dispatcher) Evidence(now time.Time) health.Evidence {
	e := d.health.Evidence(now)
	for i := range e.Targets {
		if t := d.targets[e.Targets[i].Target]; t != nil {
			e.Targets[i].InFlight = uint32(t.inFlight)
		}
	}
	return e
}

// Merge takes the report of another serving host.
func (d *Dispatcher) Merge(now time.Time, e health.Evidence) []Action {
	if e.Host != d.self.Host && d.newest(now, e) {
		d.mergeLoad(now, e)
	}
	d.record(d.health.Merge(now, e))
	d.syncAll(now)
	d.refreshTrials(now)
	d.verify(now)
	return d.settle(now)
}

func (d *Dispatcher) newest(now time.Time, e health.Evidence) bool {
	last, known := d.peers[e.Host]
	if known && !last.before(e) {
		return false
	}
	if !known && len(d.peers) >= maxPeerReports && !d.forgetPeers(now) {
		return false
	}
	d.peers[e.Host] = peerReport{e.Incarnation, e.Sequence, now}
	return true
}

// forgetPeers drops hosts that stopped reporting and reports whether it did.
func (d *Dispatcher) forgetPeers(now time.Time) bool {
	before := len(d.peers)
	maps.DeleteFunc(d.peers, func(_ ident.HostID, p peerReport) bool {
		return now.Sub(p.at) >= peerForgotten
	})
	return len(d.peers) < before
}

func (d *Dispatcher) mergeLoad(now time.Time, e health.Evidence) {
	for _, te := range e.Targets {
		t := d.targets[te.Target]
		if t == nil {
			continue
		}
		t.reported.FromPeer(now, e.Host, min(float64(te.InFlight), float64(t.Slots)))
		d.refresh(now, t)
	}
}
