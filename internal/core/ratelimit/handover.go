package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

const (
	// handoverDelay is the time after which an owner that was replaced hands its permits over.
	// Its successor has received the same beacon by then.
	handoverDelay = 100 * time.Millisecond
	// handoverOverlap is the time for which two owners may both have handed out permits: the
	// beacon reaches all hosts within it.
	handoverOverlap = 100 * time.Millisecond
	// maxHandoverGap is the longest time between the last two beacons of an owner that hands
	// over, one and a half intervals. If the owner has missed a beacon, its successor may have
	// started earlier.
	maxHandoverGap = 450 * time.Millisecond
)

// handover is a message to the host that took over teams from this one.
type handover struct {
	at   time.Time
	to   ident.HostID
	want Want
}

// handOver prepares to give the permits of a team to its new owner, which starts with fewer
// than it would have to, because it does not know what this host has handed out. The message
// is the one in which hosts give back permits, and the new owner takes it once, by its sequence.
func (t *Teams) handOver(now time.Time, a *allocation) {
	to := Owner(a.entry.Team, t.view.Active[t.view.Region])
	if to == "" || to == t.cfg.Host {
		return
	}
	a.accrue(now, t.view.Share)
	rate := t.policy.rate(&a.entry)
	debt := rate*t.policy.StartDebt.Seconds() - t.policy.StartPermits
	permits := a.permits + t.view.Share*(debt-rate*handoverOverlap.Seconds())
	if permits < 1 {
		return
	}
	t.handovers = append(t.handovers, handover{now.Add(handoverDelay), to, Want{Entry: a.entry, Region: t.view.Region, Returned: int(math.Floor(permits))}})
}

// sendHandovers returns the handovers that are due, at most one message to each host at a time
// and the largest first. The debt of a new owner ends by itself, so late ones are dropped.
func (t *Teams) sendHandovers(now time.Time) []Message {
	isDue := func(h handover) bool { return !now.Before(h.at) }
	if !slices.ContainsFunc(t.handovers, isDue) {
		return nil
	}
	t.handovers = slices.DeleteFunc(t.handovers, func(h handover) bool { return now.Sub(h.at) >= t.policy.StartDebt })
	slices.SortStableFunc(t.handovers, func(a, b handover) int { return b.want.Returned - a.want.Returned })
	wants := map[ident.HostID][]Want{}
	size := map[ident.HostID]int{}
	var left []handover
	for _, h := range t.handovers {
		if !isDue(h) || now.Sub(t.sentAt[h.to]) < urgentInterval || messageFull(len(wants[h.to]), size[h.to], h.want.Team) {
			left = append(left, h)
			continue
		}
		wants[h.to] = append(wants[h.to], h.want)
		size[h.to] += teamEntryBytes + len(h.want.Team)
	}
	t.handovers = left
	var out []Message
	for _, to := range slices.Sorted(maps.Keys(wants)) {
		r := t.exchange.NewRequest(now, wants[to])
		t.sentAt[to] = now
		out = append(out, Message{To: to, Request: &r})
	}
	return out
}
