package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
)

const (
	// askTimeout is the time after which a request for permits counts as lost. A round trip
	// takes 60 ms between regions.
	askTimeout = 150 * time.Millisecond
	// teamSilenceTimeout is the time without a response after which requests do not wait.
	// An owner that fails is replaced within it.
	teamSilenceTimeout = 3 * time.Second
	// UnknownRetryAfter is the time after which a request that got no response of an owner
	// may be retried. A failed owner is replaced within about that time.
	UnknownRetryAfter = time.Second
	// maxQuotaRetryAfter bounds the time after which a request may be retried.
	maxQuotaRetryAfter = 10 * time.Second
	// maxHold is the longest time for which a host takes a quota for used up without asking
	// again. Permits that others give back can come earlier than the owner expected.
	maxHold = 250 * time.Millisecond
	// holdPart is the part of the mean time between two permits of a host, as a divisor, for
	// which it does not ask again while the quota is used up. All hosts together then ask
	// for no more than twice what there is.
	holdPart = 2
	// returnTime is the rest of the lifetime of a permit at which it is given back unused.
	// It covers the time to the next message.
	returnTime = 120 * time.Millisecond
	// ownerOverrideTime is the time for which the owner that another host has named is
	// asked. The beacons name it within that time.
	ownerOverrideTime = 3 * time.Second
	// usedUpMemory is the time for which a host remembers that a quota was used up. After that
	// time without a response, new requests do not wait for the owner.
	usedUpMemory = teamSilenceTimeout
	// usedUpMargin times the requests that got a permit when the quota was used up may wait on
	// a host while no owner answers: more than 1, because the callers of failed hosts move to the
	// others.
	usedUpMargin = 1.25
	// minUsedUpWaiters is the number of requests that may wait in any case: that many arrive
	// together by chance.
	minUsedUpWaiters = 2
	// maxDeferred bounds the refused requests of a team that count as wanted, and by that the
	// memory for them (24 bytes each).
	maxDeferred = 1024
	// holderLifetime is the time after the last request for which a host remembers a team.
	holderLifetime = 10 * time.Second
)

// Decision is the result of a request for a permit.
type Decision struct {
	// Granted is set if the request may be sent.
	Granted bool
	// Exceeded is set if the quota is used up.
	Exceeded bool
	// RetryAfter is the time after which a request is expected to get a permit, if this one
	// did not.
	RetryAfter time.Duration
}

// Waiter is a request that waits for a permit.
type Waiter struct {
	holder    *teamHolder
	arrivedAt time.Time
	deadline  time.Time
	// decide receives the decision.
	decide func(Decision)
}

// ask is a request for permits that the owner has not answered.
type ask struct {
	sequence uint64
	permits  int
	at       time.Time
}

// teamHolder is the state of one team's quota on one host.
type teamHolder struct {
	policy *Policy
	entry  Entry
	home   ident.Region
	stock
	// demand counts the requests that used a permit, and arrivals all.
	demand   demand
	arrivals demand
	waiters  []*Waiter
	// deferred holds the times at which requests were told to come back that were refused
	// without a decision of the owner. Until then they count as wanted.
	deferred []time.Time
	asks     []ask
	// returned is the number of permits to give back to the owner.
	returned int
	// heldUntil is the time until which the owner has no permits, and exhausted is set if
	// that is because the quota is used up.
	heldUntil time.Time
	exhausted bool
	// unsettled is set if the owner cannot tell whether the quota is used up.
	unsettled bool
	// usedUpAt is the latest time at which an owner had no permits because the quota was used
	// up, and servedPerSecond the rate of this host's requests that got a permit until then.
	usedUpAt        time.Time
	servedPerSecond float64
	// promisedUntil is the latest time at which a rejected request was told to retry.
	promisedUntil time.Time
	// hosts is the number of hosts that share the quota.
	hosts int
	// candidates are the owner and its successor, as of the list of hosts listVersion.
	candidates  [2]ident.HostID
	listVersion uint64
	// override is the owner that another host has named, until overrideUntil.
	override      ident.HostID
	overrideUntil time.Time
	// unanswered is the number of asks since the last response, the first at unansweredAt.
	unanswered   int
	unansweredAt time.Time
	answeredBy   ident.HostID
	answeredAt   time.Time
	usedAt       time.Time
	// urgent is set while the team is in the list of those that ask at once.
	urgent bool
	// probe is set if a request was rejected because the owner is silent. The next message
	// asks for a permit without a request that waits.
	probe bool
}

// setQuota applies the quota of the current configuration. A lower one shrinks the stock.
func (h *teamHolder) setQuota(q team.Quota) {
	old := h.entry.Limit.Rate
	if old == q.RatePerSecond && h.entry.Burst == q.Burst {
		return
	}
	h.entry.Limit = Limit{Limited: true, Rate: q.RatePerSecond}
	h.entry.Burst = q.Burst
	if q.RatePerSecond < old {
		keep := int(float64(len(h.expiry)) * q.RatePerSecond / old)
		h.expiry = h.expiry[len(h.expiry)-keep:]
	}
}

// take uses a permit in stock.
func (h *teamHolder) take(now time.Time) bool {
	if !h.stock.take(now) {
		return false
	}
	h.demand.add(now)
	return true
}

// outstanding returns the number of permits that were asked for.
func (h *teamHolder) outstanding(now time.Time) int {
	h.asks = slices.DeleteFunc(h.asks, func(a ask) bool { return now.Sub(a.at) >= askTimeout })
	n := 0
	for _, a := range h.asks {
		n += a.permits
	}
	return n
}

// prefetch returns the number of permits that this host keeps in stock: as many as its
// recent requests used in StockTime, and only whole ones.
func (h *teamHolder) prefetch(now time.Time) int {
	return int(h.demand.perSecond(now) * h.policy.StockTime.Seconds())
}

// want returns what to ask the owner for, and whether there is anything.
func (h *teamHolder) want(now time.Time) (Want, bool) {
	w := Want{Entry: h.entry, Region: h.home}
	h.discardExpired(now)
	waiting := len(h.waiters)
	if waiting == 0 {
		h.giveBack(now)
	}
	w.Returned = h.returned
	if age := now.Sub(h.usedUpAt); age < usedUpMemory {
		w.UsedUpAge = age
	}
	if now.Before(h.heldUntil) {
		return w, w.Returned > 0
	}
	if h.probe && waiting == 0 {
		waiting = 1
	}
	have := len(h.expiry) + h.outstanding(now)
	w.Spare = max(0, max(h.prefetch(now), h.heldArrivals(now), h.stillDeferred(now))-max(0, have-waiting))
	w.Permits = max(0, waiting-have) + w.Spare
	return w, w.Permits > 0 || w.Returned > 0
}

// heldArrivals returns the number of requests that are expected until this host asks again,
// while the quota is used up.
func (h *teamHolder) heldArrivals(now time.Time) int {
	if !h.exhausted || h.hosts == 0 {
		return 0
	}
	return int(h.arrivals.perSecond(now) * h.hold().Seconds())
}

// hold returns the time for which this host does not ask again while the quota is used up.
func (h *teamHolder) hold() time.Duration {
	seconds := float64(h.hosts) / h.entry.Limit.Rate / holdPart
	return time.Duration(min(seconds, maxHold.Seconds()) * float64(time.Second))
}

// giveBack takes the permits from the stock that expire soon.
func (h *teamHolder) giveBack(now time.Time) {
	limit := now.Add(returnTime)
	for len(h.expiry) > 0 && !h.expiry[0].After(limit) {
		h.expiry = h.expiry[1:]
		h.returned++
	}
}

// asked notes a request for permits.
func (h *teamHolder) asked(now time.Time, sequence uint64, w *Want) {
	h.returned -= w.Returned
	if w.Permits == 0 {
		return
	}
	h.probe = false
	h.asks = append(h.asks, ask{sequence, w.Permits, now})
	if h.unanswered == 0 {
		h.unansweredAt = now
	}
	h.unanswered++
}

// silent reports whether the owner has not answered for so long that no answer is expected.
func (h *teamHolder) silent(now time.Time) bool {
	return h.unanswered > 1 && now.Sub(h.unansweredAt) >= teamSilenceTimeout
}

// owner returns the host to ask. While it does not answer, its successor is asked in turn:
// a host of another region learns late that the owner has failed.
func (h *teamHolder) owner(now time.Time) ident.HostID {
	if h.override != "" && now.Before(h.overrideUntil) && (h.unanswered == 0 || now.Sub(h.unansweredAt) < askTimeout) {
		return h.override
	}
	if h.unanswered%2 == 1 && now.Sub(h.unansweredAt) >= askTimeout && h.candidates[1] != "" {
		return h.candidates[1]
	}
	return h.candidates[0]
}

// answer applies the response of an owner to a request that was sent at sentAt.
func (h *teamHolder) answer(now, sentAt time.Time, from ident.HostID, sequence uint64, g *Granted) {
	h.asks = slices.DeleteFunc(h.asks, func(a ask) bool { return a.sequence == sequence })
	if g.Owner != "" {
		h.override, h.overrideUntil = g.Owner, now.Add(ownerOverrideTime)
		return
	}
	h.unanswered = 0
	h.hosts = g.Hosts
	h.answeredBy, h.answeredAt = from, now
	if expiry := sentAt.Add(h.policy.MinLifetime); expiry.After(now) {
		h.put(expiry, g.Permits)
	}
	h.serve(now)
	h.heldUntil, h.exhausted, h.unsettled = time.Time{}, g.Exhausted, g.Next > 0 && !g.Exhausted
	switch {
	case g.Exhausted:
		// The owner found that while the request was under way, so at sentAt or later.
		h.usedUpAt, h.servedPerSecond = sentAt, h.demand.perSecond(now)
		h.heldUntil = now.Add(max(min(g.Next, maxHold), h.hold()))
		h.reject(now, g)
	case g.Next > 0:
		h.heldUntil = now.Add(min(g.Next, maxHold))
		h.reject(now, g)
	}
}

// serve gives the permits in stock to the requests that wait, in the order of their arrival.
func (h *teamHolder) serve(now time.Time) {
	for len(h.waiters) > 0 && h.take(now) {
		w := h.waiters[0]
		h.waiters = h.waiters[1:]
		w.decide(Decision{Granted: true})
	}
}

// reject ends the wait of the requests that get no permit in time.
func (h *teamHolder) reject(now time.Time, g *Granted) {
	next := now.Add(g.Next)
	if g.Exhausted {
		h.deferred = nil
	}
	var left []*Waiter
	for i, w := range h.waiters {
		// The earliest time at which the request can get a permit, if no other host asks.
		at := next.Add(time.Duration(float64(i) / h.entry.Limit.Rate * float64(time.Second)))
		switch {
		case g.Exhausted:
			w.decide(h.exceeded(now, later(next, h.heldUntil)))
		case at.After(w.deadline):
			h.deferUntil(at)
			w.decide(Decision{RetryAfter: min(at.Sub(now), maxQuotaRetryAfter)})
		default:
			left = append(left, w)
		}
	}
	h.waiters = left
}

// stillUsedUp reports whether requests count as beyond the quota while no owner says whether
// they are: the quota was used up a short time ago, and far more requests wait here than got a
// permit then in such a time. The demand of a team does not fall just when its owner fails.
func (h *teamHolder) stillUsedUp(now time.Time) bool {
	if now.Sub(h.usedUpAt) >= usedUpMemory || len(h.waiters) < minUsedUpWaiters || !h.undecided(now) {
		return false
	}
	part := max(h.servedPerSecond, h.entry.Limit.Rate/float64(max(1, h.hosts)))
	return float64(len(h.waiters)) >= minUsedUpWaiters+usedUpMargin*part*now.Sub(h.waiters[0].arrivedAt).Seconds()
}

// deferUntil notes that a request was refused without a decision of the owner.
func (h *teamHolder) deferUntil(at time.Time) {
	if len(h.deferred) < maxDeferred {
		h.deferred = append(h.deferred, at)
	}
}

// stillDeferred returns the number of refused requests that have not been told to come back yet.
func (h *teamHolder) stillDeferred(now time.Time) int {
	h.deferred = slices.DeleteFunc(h.deferred, func(at time.Time) bool { return !at.After(now) })
	return len(h.deferred)
}

// undecided reports whether no owner says whether the quota is used up: none answers, or it
// cannot tell yet.
func (h *teamHolder) undecided(now time.Time) bool {
	return h.unsettled || (h.unanswered > 0 && now.Sub(h.unansweredAt) >= askTimeout)
}

// exceeded returns the decision for a request beyond the quota. Each is told to retry
// when this host's part of the quota allows one more than those before it.
func (h *teamHolder) exceeded(now, next time.Time) Decision {
	at := later(next, h.promisedUntil)
	part := float64(max(1, h.hosts)) / h.entry.Limit.Rate
	limit := now.Add(maxQuotaRetryAfter)
	h.promisedUntil = at.Add(time.Duration(min(part, maxQuotaRetryAfter.Seconds()) * float64(time.Second)))
	if h.promisedUntil.After(limit) {
		h.promisedUntil = limit
	}
	return Decision{Exceeded: true, RetryAfter: max(time.Millisecond, min(at.Sub(now), maxQuotaRetryAfter))}
}

// phaseOf returns a number below 1 that differs between hosts.
func phaseOf(weight uint64) float64 { return float64(weight>>11) / math.Exp2(53) }
