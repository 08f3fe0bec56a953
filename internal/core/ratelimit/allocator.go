package ratelimit

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

const (
	// burstTime is the time over which unused permits of a target accumulate.
	burstTime = 250 * time.Millisecond
	// wantLifetime is the time after which a want that was not repeated is dropped.
	wantLifetime = 300 * time.Millisecond
	// hostLifetime is the time after its last want for which a host counts as one of
	// those that share a rate.
	hostLifetime = time.Second
	// allocationLifetime is the time after the last want for which the allocator keeps
	// the state of a target.
	allocationLifetime = time.Minute
)

// Allocator hands out the permits for the targets of a region, or for teams. It starts
// without any permits: those that an earlier allocator handed out may still be in use.
type Allocator struct {
	policy  *Policy
	targets map[Key]*allocation
	// lastGrant orders the hosts by their latest permit for any target, by the value of
	// grants at that time. With an order for each target, hosts got permits for several
	// targets at once and then none for seconds.
	lastGrant map[ident.HostID]uint64
	// grants counts the permits handed out.
	grants uint64
}

// allocation is the state of one target or team.
type allocation struct {
	policy *Policy
	entry  Entry
	// since is the time from which on nobody else hands out permits.
	since time.Time
	// settledAt is the time from which on a lack of permits shows that the rate is used up.
	settledAt time.Time
	// entitled is the number of permits that there would be now if no owner had failed, had a
	// debt or a low share: requests beyond it exceed the quota. It is kept up until settledAt.
	entitled float64
	// phase is the part of a permit, below 1, that is handed out in advance. If hosts that
	// are cut off from each other each hand out a small part of a rate, different phases
	// prevent that they hand out a permit all at the same time.
	phase float64
	// wanted is set if a host has asked again within wantedTime.
	wanted bool
	// permits is the number of permits that can be handed out, as of accruedAt.
	permits   float64
	accruedAt time.Time
	wants     map[ident.HostID]*pendingWant
	usedAt    time.Time
	// hostCount is the number of hosts that share the rate as of countedAt.
	hostCount int
	countedAt time.Time
}

// pendingWant is what a host wants and has not got yet.
type pendingWant struct {
	permits  int
	sequence uint64
	// at is the time of the latest want for at least one permit, zero if there was none.
	at time.Time
}

// NewAllocator returns an allocator for targets that state a rate.
func NewAllocator() *Allocator { return newAllocator(&targetPolicy) }

func newAllocator(policy *Policy) *Allocator {
	return &Allocator{policy: policy, targets: map[Key]*allocation{}, lastGrant: map[ident.HostID]uint64{}}
}

// Want applies the wants of a host, which replace its earlier ones. share is the part of
// the rate that this allocator may hand out, 0 to 1. It returns a response for each
// target, with the permits that can be handed out at once.
func (a *Allocator) Want(now time.Time, share float64, from ident.HostID, sequence uint64, wants []Want) []Granted {
	var out []Granted
	for _, w := range wants {
		t := a.merge(now, w.Entry)
		if t == nil {
			continue
		}
		if g, ok := a.answer(now, share, t, from, sequence, &w); ok {
			out = append(out, g)
		}
	}
	return out
}

// answer applies the want of a host for one target or team.
func (a *Allocator) answer(now time.Time, share float64, t *allocation, from ident.HostID, sequence uint64, w *Want) (Granted, bool) {
	t.wanted = now.Sub(t.usedAt) <= wantedTime
	t.usedAt = now
	t.accrue(now, share)
	p := t.wants[from]
	if p == nil {
		p = &pendingWant{}
		t.wants[from] = p
	}
	if !a.policy.Queue {
		if sequence <= p.sequence {
			// A duplicate, or a message that a later one has overtaken.
			return Granted{}, false
		}
		t.takeBack(share, w.Returned)
		t.learnUsedUp(now, w)
	}
	p.permits, p.sequence = w.Permits, sequence
	if w.Permits > 0 {
		p.at = now
	}
	if !a.policy.Queue {
		return a.answerAtOnce(now, share, t, from, w), true
	}
	granted := 0
	if !t.othersWait(now, from) {
		granted = min(p.permits, int(t.permits))
		a.give(t, from, granted)
	}
	return Granted{Entry: t.entry, Permits: granted, Hosts: t.hosts(now)}, true
}

// merge applies what a host knows of a target. It returns nil for an earlier process of
// the target.
func (a *Allocator) merge(now time.Time, e Entry) *allocation {
	t := a.targets[e.Key()]
	if t != nil && e.StartUnixMilli < t.entry.StartUnixMilli {
		return nil
	}
	if t == nil || e.StartUnixMilli > t.entry.StartUnixMilli {
		t = &allocation{policy: a.policy, entry: Entry{Target: e.Target, Team: e.Team, StartUnixMilli: e.StartUnixMilli}, wants: map[ident.HostID]*pendingWant{}, accruedAt: now, usedAt: now, since: now}
		a.targets[e.Key()] = t
	}
	if a.policy.Merge {
		t.entry.Limit = t.entry.Limit.Merge(e.Limit)
		return t
	}
	t.entry.Limit, t.entry.Burst = e.Limit, e.Burst
	return t
}

// accrue adds the permits of the time since the last call.
func (t *allocation) accrue(now time.Time, share float64) {
	rate := share * t.policy.rate(&t.entry)
	elapsed := max(0, now.Sub(t.accruedAt))
	t.accruedAt = now
	t.entitled = min(t.entitled+t.policy.rate(&t.entry)*elapsed.Seconds(), t.mostEntitled())
	if !t.policy.Queue && t.keepExcess(share, elapsed) {
		return
	}
	t.permits = min(t.permits+rate*elapsed.Seconds(), t.depth(share))
}

// othersWait reports whether other hosts wait for permits.
func (t *allocation) othersWait(now time.Time, host ident.HostID) bool {
	for id, p := range t.wants {
		if id != host && p.waits(now) {
			return true
		}
	}
	return false
}

func (p *pendingWant) waits(now time.Time) bool {
	return p.permits > 0 && now.Sub(p.at) < wantLifetime
}

// give gives permits for a target to a host that waits for them.
func (a *Allocator) give(t *allocation, host ident.HostID, permits int) {
	if permits <= 0 {
		return
	}
	a.grants++
	a.lastGrant[host] = a.grants
	t.wants[host].permits -= permits
	t.permits -= float64(permits)
	t.entitled -= float64(permits)
}

// hosts returns the number of hosts that share the rate.
func (t *allocation) hosts(now time.Time) int {
	n := 0
	for _, p := range t.wants {
		if now.Sub(p.at) < hostLifetime {
			n++
		}
	}
	return n
}

// Delivery is a response of the allocator to an earlier message of a host.
type Delivery struct {
	To       ident.HostID
	Sequence uint64
	Granted  []Granted
}

// Tick hands out the permits that have accrued to the hosts that wait for them, one at a
// time, to the host that has waited longest since its last one.
func (a *Allocator) Tick(now time.Time, share float64) []Delivery {
	var out []Delivery
	for _, key := range slices.SortedFunc(maps.Keys(a.targets), compareKeys) {
		t := a.targets[key]
		t.accrue(now, share)
		if now.Sub(t.usedAt) > allocationLifetime {
			delete(a.targets, key)
			continue
		}
		granted := a.handOut(now, t)
		for _, host := range slices.Sorted(maps.Keys(granted)) {
			g := Granted{Entry: t.entry, Permits: granted[host], Hosts: t.hosts(now)}
			out = appendDelivery(out, host, t.wants[host].sequence, g)
		}
		t.forgetHosts(now)
	}
	if len(a.targets) == 0 {
		clear(a.lastGrant)
	}
	return out
}

func (a *Allocator) handOut(now time.Time, t *allocation) map[ident.HostID]int {
	granted := map[ident.HostID]int{}
	for t.permits >= 1 {
		host := a.next(now, t)
		if host == "" {
			break
		}
		a.give(t, host, 1)
		granted[host]++
	}
	return granted
}

// next returns the host that waits for the target and whose latest permit is the oldest,
// empty if none waits.
func (a *Allocator) next(now time.Time, t *allocation) ident.HostID {
	var next ident.HostID
	for host, p := range t.wants {
		if !p.waits(now) {
			continue
		}
		at, before := a.lastGrant[host], a.lastGrant[next]
		if next == "" || at < before || (at == before && host < next) {
			next = host
		}
	}
	return next
}

// forgetHosts removes the hosts that no longer want permits.
func (t *allocation) forgetHosts(now time.Time) {
	for host, p := range t.wants {
		if now.Sub(p.at) > allocationLifetime {
			delete(t.wants, host)
		}
	}
}

func appendDelivery(list []Delivery, to ident.HostID, sequence uint64, g Granted) []Delivery {
	i := slices.IndexFunc(list, func(d Delivery) bool { return d.To == to && d.Sequence == sequence })
	if i < 0 {
		return append(list, Delivery{To: to, Sequence: sequence, Granted: []Granted{g}})
	}
	list[i].Granted = append(list[i].Granted, g)
	return list
}
