package balance

import (
	"math"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// ReportLifetime is the time over which a report of load decays linearly to
// zero, so that a stale or wrong report cannot keep work from a target.
const ReportLifetime = 3 * time.Second

// maxPeers bounds the hosts whose reports are kept for one target. Serving
// sets have 4 hosts in each region by default.
const maxPeers = 64

// Reported is the load that others put on a target, as the target's load
// endpoint reports it and as other hosts report their own attempts.
type OtherLoad struct {
	// Lifetime is the time over which a report decays, ReportLifetime if 0.
	Lifetime time.Duration

	target sample
	peers  []peerSample
}

type sample struct {
	requests float64
	at       time.Time
}

type peerSample struct {
	host ident.HostID
	sample
}

// FromTarget takes the number of requests at the target that are not this
// host's own.
func (r *OtherLoad) FromTarget(now time.Time, requests float64) {
	r.target = sample{max(0, requests), now}
}

// FromPeer takes another host's number of attempts at the target.
func (r *OtherLoad) FromPeer(now time.Time, host ident.HostID, requests float64) {
	r.dropExpired(now)
	for i := range r.peers {
		if r.peers[i].host == host {
			r.peers[i].sample = sample{requests, now}
			return
		}
	}
	if len(r.peers) < maxPeers {
		r.peers = append(r.peers, peerSample{host, sample{requests, now}})
	}
}

func (r *OtherLoad) dropExpired(now time.Time) {
	kept := r.peers[:0]
	for _, p := range r.peers {
		if now.Sub(p.at) < r.lifetime() {
			kept = append(kept, p)
		}
	}
	r.peers = kept
}

// ByTarget returns the decayed load of others in the target's own report, for
// selection. Reports of hosts are left out there: all hosts get nearly the same
// ones, select the same targets and fill them, see
// docs/decisions/006-selection.md.
func (r *OtherLoad) TargetLoad(now time.Time) float64 { return r.target.decayed(now, r.lifetime()) }

// At returns the decayed load of others for limits: from the target's report or,
// without a recent one, from the reports of hosts.
func (r *OtherLoad) Load(now time.Time) float64 {
	if now.Sub(r.target.at) < r.lifetime() {
		return r.target.decayed(now, r.lifetime())
	}
	peers := 0.0
	for _, p := range r.peers {
		peers += p.decayed(now, r.lifetime())
	}
	return peers
}

func (r *OtherLoad) lifetime() time.Duration {
	if r.Lifetime > 0 {
		return r.Lifetime
	}
	return ReportLifetime
}

func (s sample) decayed(now time.Time, lifetime time.Duration) float64 {
	age := now.Sub(s.at)
	if s.requests <= 0 || age >= lifetime {
		return 0
	}
	return s.requests * (1 - max(0, age.Seconds())/lifetime.Seconds())
}

// decaySteps is the number of steps in which limits follow the decay.
const decaySteps = 6

// NextChange returns the next time at which a limit that depends on At should
// be computed again, and false when nothing is left to decay.
func (r *OtherLoad) NextChange(now time.Time) (time.Time, bool) {
	if r.Load(now) <= 0 {
		return time.Time{}, false
	}
	return now.Add(r.lifetime() / decaySteps), true
}

// Whole returns At rounded up to whole requests.
func (r *OtherLoad) CeilLoad(now time.Time) int { return int(math.Ceil(min(r.Load(now), 1e6))) }
