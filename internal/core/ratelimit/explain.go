package ratelimit

import (
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
)

// Clone returns a copy that shares no state with the holder.
func (h *Holder) Clone() Holder {
	out := *h
	out.expiry = slices.Clone(h.expiry)
	return out
}

// clone returns a copy whose waiting requests are told nothing.
func (h *teamHolder) clone() *teamHolder {
	out := *h
	out.expiry, out.asks, out.deferred = slices.Clone(h.expiry), slices.Clone(h.asks), slices.Clone(h.deferred)
	out.waiters = make([]*Waiter, 0, len(h.waiters))
	for _, w := range h.waiters {
		copied := *w
		copied.holder, copied.decide = &out, func(Decision) {}
		out.waiters = append(out.waiters, &copied)
	}
	return &out
}

// Prediction is what would happen now to a request of a team that asks for a permit.
type Prediction struct {
	// Status is the state of the team. Its Owner is set if the team had no recent requests, too.
	Status TeamStatus
	// Recent is set if the team had recent requests on this host.
	Recent bool
	// Waits is set if the request would wait for a response of the owner. Otherwise Decision is
	// the decision.
	Waits    bool
	Decision Decision
	// DeniedFor is the rest of the time for which the owner said that it has no permits.
	DeniedFor time.Duration
}

// Predict returns what Take and Wait would decide now about a request of a team. It runs them on a
// copy of the state of the team and changes nothing.
func (t *Teams) Predict(now time.Time, name ident.TeamName, q team.Quota) Prediction {
	c := &Teams{cfg: t.cfg, policy: t.policy, view: t.view, listVersion: t.listVersion, holders: map[ident.TeamName]*teamHolder{}}
	known := t.holders[name]
	if known != nil {
		c.holders[name] = known.clone()
	}
	p := Prediction{Recent: known != nil}
	h := c.holder(now, name)
	h.setQuota(q)
	p.Status, _ = c.Status(now, name)
	p.DeniedFor = max(0, h.heldUntil.Sub(now))
	if c.Take(now, name, q) {
		p.Decision.Granted = true
		return p
	}
	p.Waits = c.Wait(now, name, q, now, func(d Decision) { p.Decision = d }) != nil
	return p
}

// DeniedFor returns the rest of the time for which the owner of a team said that it has no permits, 0 if
// this host may ask for one.
func (t *Teams) DeniedFor(now time.Time, name ident.TeamName) time.Duration {
	if h := t.holders[name]; h != nil {
		return max(0, h.heldUntil.Sub(now))
	}
	return 0
}
