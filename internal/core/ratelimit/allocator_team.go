package ratelimit

import (
	"math"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

const (
	// spareReserve is the part of the accumulated permits, as a divisor, that is kept for
	// requests that wait, instead of for the stock of hosts.
	spareReserve = 4
	// hostCountInterval is the time between two counts of the hosts that share a quota.
	hostCountInterval = 100 * time.Millisecond
	// wantedTime is the longest time between two wants of a team for which permits are
	// wanted without interruption, see allocation.depth.
	wantedTime = 2 * time.Second
)

// own starts to hand out the permits of a team unless it already does. since is the time from
// which on this host is the owner of the team. A team of which nothing is known has not used
// its permits since then.
func (a *Allocator) own(now time.Time, share float64, e Entry, since time.Time, phase float64) {
	if a.targets[e.Key()] != nil {
		return
	}
	t := a.merge(now, e)
	t.since, t.phase = since, phase
	t.settledAt = since.Add(a.policy.StartDebt + a.policy.StartTime)
	owned := now.Sub(since) - a.policy.StartDebt
	t.entitled = t.mostEntitled()
	t.permits = min(share*(a.policy.StartPermits+a.policy.rate(&e)*owned.Seconds()), a.policy.depth(share, &e))
}

// keepExcess keeps permits beyond what accumulates with the present share, if there are any.
// A new coordinator has few followers at first, and owners must not lose their permits by
// that. The excess shrinks by what the owners of the remaining share can accumulate.
func (t *allocation) keepExcess(share float64, elapsed time.Duration) bool {
	depth := t.depth(share)
	t.permits = min(t.permits, t.depth(1))
	if t.permits <= depth {
		return false
	}
	t.permits = max(depth, t.permits-(1-share)*t.policy.rate(&t.entry)*elapsed.Seconds())
	return true
}

// depth returns the number of permits that accumulate. A part of a permit grows to a whole
// one only while hosts ask for it: without requests, many hosts that are cut off from each
// other would all save up one.
func (t *allocation) depth(share float64) float64 {
	depth := t.policy.depth(share, &t.entry)
	if t.wanted && !t.policy.Queue {
		return max(depth, 1-t.phase)
	}
	return depth
}

// takeBack adds the permits that a host gives back. They are permits to use now, so no more
// of them accumulate than of others.
func (t *allocation) takeBack(share float64, permits int) {
	t.permits = min(t.permits+float64(permits), max(t.permits, t.depth(share)))
	t.entitled = min(t.entitled+float64(permits), t.mostEntitled())
}

// mostEntitled returns the number of requests that can want a permit at a time although the
// demand has never exceeded the quota: those of the time in which no owner answered, and those for which
// permits had accumulated.
func (t *allocation) mostEntitled() float64 {
	return t.policy.rate(&t.entry)*t.policy.MaxBacklog.Seconds() + t.policy.depth(1, &t.entry)
}

// learnUsedUp applies what a host knows of the quota from an earlier owner: if no permits were
// left at a time, only those of the time since then can be there.
func (t *allocation) learnUsedUp(now time.Time, w *Want) {
	if w.UsedUpAge > 0 && now.Before(t.settledAt) {
		t.entitled = min(t.entitled, t.policy.StartPermits+t.policy.rate(&t.entry)*w.UsedUpAge.Seconds())
	}
}

// settle ends the time in which a lack of permits does not show that the quota is used up, if
// hosts want permits for more requests than the quota allows, apart from those for their stock.
// A team whose demand is below its quota never has that many.
func (t *allocation) settle(now time.Time) {
	if !now.Before(t.settledAt) {
		return
	}
	wanted := 0
	for _, p := range t.wants {
		if p.waits(now) {
			wanted += p.permits
		}
	}
	if stock := t.policy.rate(&t.entry) * t.policy.StockTime.Seconds(); float64(wanted) > t.entitled+stock {
		t.settledAt = now
	}
}

// answerAtOnce hands out permits for the waiting requests of a host, then for its stock, and
// says when the next one is expected if there are too few.
func (a *Allocator) answerAtOnce(now time.Time, share float64, t *allocation, from ident.HostID, w *Want) Granted {
	available := max(0, int(math.Floor(t.permits+t.phase)))
	spare := min(w.Spare, w.Permits)
	needed := w.Permits - spare
	granted := min(needed, available)
	reserve := int(math.Ceil(t.policy.depth(share, &t.entry) / spareReserve))
	spare = min(spare, max(0, available-granted-reserve))
	a.give(t, from, granted+spare)
	g := Granted{Entry: t.entry, Permits: granted + spare, Hosts: t.recentHosts(now)}
	if granted < needed {
		t.settle(now)
		g.Exhausted = !now.Before(t.settledAt)
		g.Next = t.nextPermit(share)
	}
	return g
}

// maxNext bounds the time after which a permit is expected.
const maxNext = time.Minute

// nextPermit returns the time after which there is a permit.
func (t *allocation) nextPermit(share float64) time.Duration {
	missing := max(0, 1-t.phase-t.permits)
	rate := share * t.policy.rate(&t.entry)
	if missing > rate*maxNext.Seconds() {
		return maxNext
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// recentHosts returns the number of hosts that share the rate, as of some time ago.
func (t *allocation) recentHosts(now time.Time) int {
	if t.countedAt.IsZero() || now.Sub(t.countedAt) >= hostCountInterval {
		t.hostCount, t.countedAt = t.hosts(now), now
	}
	return t.hostCount
}

// pause excludes the time from the last use until now from the accumulation of permits.
func (a *Allocator) pause(now time.Time) {
	for _, t := range a.targets {
		t.accruedAt = now
	}
}

// unsettle notes that requests have waited for permits, because for some time the share was low
// or none could be handed out.
func (a *Allocator) unsettle(now time.Time, backlog time.Duration) {
	for _, t := range a.targets {
		if !now.Before(t.settledAt) {
			t.entitled = t.permits
		}
		withheld := max(backlog, now.Sub(t.accruedAt))
		t.entitled = min(t.entitled+a.policy.rate(&t.entry)*withheld.Seconds(), t.mostEntitled())
		t.settledAt = later(t.settledAt, now.Add(a.policy.StartTime))
	}
}

// drop removes the teams that keep does not return true for.
func (a *Allocator) drop(keep func(t *allocation) bool) {
	for key, t := range a.targets {
		if !keep(t) {
			delete(a.targets, key)
		}
	}
	if len(a.targets) == 0 {
		clear(a.lastGrant)
	}
}
