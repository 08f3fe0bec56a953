package balance

import (
	"math"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// ReportLifetime is the time over which a load report decays linearly to zero, so
// that a stale or wrong report cannot keep requests away from a target.
const ReportLifetime = 3 * time.Second

// maxPeers bounds the number of hosts whose reports are kept for one target. By
// default there are 4 serving hosts in each region.
const maxPeers = 64

// OtherLoad is the load that other hosts put on a target, as reported by the
// target's load endpoint and by the other hosts.
type OtherLoad struct {
	// Lifetime is the time over which a report decays; 0 means ReportLifetime.
	Lifetime time.Duration

	targetReport loadReport
	peerReports  []peerLoadReport
}

type loadReport struct {
	requests float64
	at       time.Time
}

type peerLoadReport struct {
	host ident.HostID
	loadReport
}

// FromTarget sets the number of requests at the target, excluding this host's own,
// as reported by the target.
func (r *OtherLoad) SetTargetReport(now time.Time, requests float64) {
	r.targetReport = loadReport{max(0, requests), now}
}

// FromPeer sets the number of another host's attempts at the target.
func (r *OtherLoad) SetPeerReport(now time.Time, host ident.HostID, requests float64) {
	r.dropExpired(now)
	for i := range r.peerReports {
		if r.peerReports[i].host == host {
			r.peerReports[i].loadReport = loadReport{requests, now}
			return
		}
	}
	if len(r.peerReports) < maxPeers {
		r.peerReports = append(r.peerReports, peerLoadReport{host, loadReport{requests, now}})
	}
}

func (r *OtherLoad) dropExpired(now time.Time) {
	kept := r.peerReports[:0]
	for _, p := range r.peerReports {
		if now.Sub(p.at) < r.lifetime() {
			kept = append(kept, p)
		}
	}
	r.peerReports = kept
}

// TargetLoad returns the decayed load of others from the target's own report, for
// selection. Reports of hosts are not used there: all hosts receive nearly the same
// ones, would select the same targets and overload them, see
// docs/decisions/006-selection.md.
func (r *OtherLoad) TargetLoad(now time.Time) float64 {
	return r.targetReport.decayed(now, r.lifetime())
}

// Load returns the decayed load of others, for limits: from the target's report or,
// without a recent one, from the reports of hosts.
func (r *OtherLoad) Load(now time.Time) float64 {
	if now.Sub(r.targetReport.at) < r.lifetime() {
		return r.targetReport.decayed(now, r.lifetime())
	}
	total := 0.0
	for _, p := range r.peerReports {
		total += p.decayed(now, r.lifetime())
	}
	return total
}

func (r *OtherLoad) lifetime() time.Duration {
	if r.Lifetime > 0 {
		return r.Lifetime
	}
	return ReportLifetime
}

func (s loadReport) decayed(now time.Time, lifetime time.Duration) float64 {
	age := now.Sub(s.at)
	if s.requests <= 0 || age >= lifetime {
		return 0
	}
	return s.requests * (1 - max(0, age.Seconds())/lifetime.Seconds())
}

// decayUpdates is the number of limit updates over the lifetime of a report.
const decayUpdates = 6

// NextChange returns the next time at which a limit that depends on Load should be
// recomputed, and false if there is no load left to decay.
func (r *OtherLoad) NextChange(now time.Time) (time.Time, bool) {
	if r.Load(now) <= 0 {
		return time.Time{}, false
	}
	return now.Add(r.lifetime() / decayUpdates), true
}

// CeilLoad returns Load rounded up to whole requests.
func (r *OtherLoad) CeilLoad(now time.Time) int { return int(math.Ceil(min(r.Load(now), 1e6))) }
