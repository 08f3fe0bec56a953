package ratelimit

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the half-life of the demand for a target.
	demandHalfLife = 500 * time.Millisecond
	// minDemand is the decayed demand below which no permits are requested.
	minDemand = 0.2
	// stockTime is the time for which a host keeps permits in stock. It covers the
	// interval between two requests for permits and the delay of the response.
	stockTime = 300 * time.Millisecond
	// maxStockTime bounds the stock in terms of the target's rate, so that a host with
	// high demand does not keep permits that others could use.
	maxStockTime = 500 * time.Millisecond
	// minPermitLifetime is the shortest time for which permits are valid.
	minPermitLifetime = time.Second
	// responseTimeout is the time without a response of the allocator after which it is
	// considered silent, and silenceTimeout the one after which no permits are expected.
	// Another coordinator takes over within recoveryTime.
	responseTimeout = time.Second
	silenceTimeout  = 5 * time.Second
	recoveryTime    = 1500 * time.Millisecond
	// assumedHosts is the number of hosts that are assumed to share a rate until the
	// allocator has responded.
	assumedHosts = 8
)

// Holder is the state of one target's limit on one host. The zero value is a target
// without a limit.
type Holder struct {
	limit Limit
	stock
	// demand counts the requests that used or lacked a permit.
	demand demand
	// hosts is the number of hosts that share the rate, 0 before the first response.
	hosts int
	// askedAt is the time of the first request to the allocator since its last response,
	// zero if it has responded to all.
	askedAt time.Time
}

// Limit returns what is known of the target's limit.
func (h *Holder) Limit() Limit { return h.limit }

// Limited reports whether requests need a permit.
func (h *Holder) Limited() bool { return h.limit.Limited }

// Merge applies a limit that this or another host heard of, and reports whether the rate
// to apply changed.
func (h *Holder) Merge(l Limit) bool {
	before := h.limit
	h.limit = before.Merge(l)
	if h.limit.sameAs(before) {
		return false
	}
	if !h.limit.Limited {
		h.expiry, h.hosts, h.askedAt = nil, 0, time.Time{}
	}
	return true
}

// Allows reports whether a request may be sent now.
func (h *Holder) Allows(now time.Time) bool {
	if !h.limit.Limited {
		return true
	}
	h.discardExpired(now)
	return len(h.expiry) > 0
}

// Use takes a permit for a request that is sent. It has no effect without a limit.
func (h *Holder) Use(now time.Time) {
	if !h.limit.Limited {
		return
	}
	h.AddDemand(now)
	h.take(now)
}

// AddDemand counts a request that would be sent to the target if there were a permit.
func (h *Holder) AddDemand(now time.Time) { h.demand.add(now) }

// Missing returns the number of permits that the host can use beyond those in stock.
func (h *Holder) Missing(now time.Time) int {
	if !h.limit.Limited {
		return 0
	}
	if h.demand.at(now) < minDemand {
		return 0
	}
	stock := max(1, math.Ceil(h.demand.perSecond(now)*targetPolicy.StockTime.Seconds()))
	stock = min(stock, max(1, math.Ceil(h.limit.EffectiveRate()*maxStockTime.Seconds())))
	h.discardExpired(now)
	return max(0, int(stock)-len(h.expiry))
}

// Add adds the permits of a response to a request that was sent at the given time, and
// notes how many hosts share the rate. Permits expire some time after the request, so that
// those of a response that was delayed are not used.
func (h *Holder) Add(now, sentAt time.Time, permits, hosts int) {
	expiry := sentAt.Add(targetPolicy.lifetime(h.limit.EffectiveRate()))
	if !expiry.After(now) {
		return
	}
	h.hosts, h.askedAt = hosts, time.Time{}
	if !h.limit.Limited {
		return
	}
	h.put(expiry, min(permits, int(h.limit.EffectiveRate())+1))
}

// Permits returns the number of permits in stock.
func (h *Holder) Permits(now time.Time) int {
	h.discardExpired(now)
	return len(h.expiry)
}

// Asked notes that the host has sent a request for permits.
func (h *Holder) Asked(now time.Time) {
	if h.askedAt.IsZero() {
		h.askedAt = now
	}
}

// silence is the time for which the allocator has not responded.
func (h *Holder) silence(now time.Time) time.Duration {
	if h.askedAt.IsZero() {
		return 0
	}
	return now.Sub(h.askedAt)
}

// ExpectedRate returns the number of requests per second that this host can expect to
// send to the target, its part of the rate, and the time after which it can.
func (h *Holder) ExpectedRate(now time.Time) (perSecond float64, after time.Duration) {
	hosts := h.hosts
	if hosts == 0 {
		hosts = assumedHosts
	}
	switch silence := h.silence(now); {
	case silence > silenceTimeout:
		return 0, recoveryTime
	case silence > responseTimeout:
		after = recoveryTime
	}
	return h.limit.EffectiveRate() / float64(hosts), after
}
