package ratelimit

import (
	"slices"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// MinRate is the lowest rate, in requests per second, that is applied. A target that
// states a lower one, or zero, gets this one: without any request it could not state the
// end of its limit.
const MinRate = 0.5

// Limit is what a host knows of the rate that a target accepts, from the most recent
// response that it heard of.
type Limit struct {
	// Limited is set if the target states a rate, and Rate is that rate in requests per
	// second.
	Limited bool
	Rate    float64
	// SentAt is the time at which the request was sent whose response stated this, and
	// HeardAt the time at which the response had arrived: of the latest response that
	// stated the rate, or of the first one without. Both are zero if nothing is known.
	SentAt, HeardAt time.Time
}

// Known reports whether the target has ever stated a rate.
func (l Limit) Known() bool { return !l.HeardAt.IsZero() }

// EffectiveRate returns the rate to apply, in requests per second.
func (l Limit) EffectiveRate() float64 { return max(MinRate, l.Rate) }

// Merge returns the limit after another response. A response replaces an earlier one if
// its request was sent after the earlier one had arrived. Of two responses whose requests
// overlap, either may be the later one, and the lower limit holds until a further response
// decides.
func (l Limit) Merge(o Limit) Limit {
	switch {
	case !o.Known() || (!l.Known() && !o.Limited):
		return l
	case l.Known() && l.sameAs(o):
		if l.Limited {
			l.SentAt, l.HeardAt = later(l.SentAt, o.SentAt), later(l.HeardAt, o.HeardAt)
		}
		return l
	case !l.Known() || o.SentAt.After(l.HeardAt):
		return o
	case l.SentAt.After(o.HeardAt) || l.stricterThan(o):
		return l
	}
	return o
}

func (l Limit) sameAs(o Limit) bool {
	return l.Limited == o.Limited && (!l.Limited || l.Rate == o.Rate)
}

func (l Limit) stricterThan(o Limit) bool {
	return l.Limited && (!o.Limited || l.Rate < o.Rate)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Key identifies what a rate applies to: a target or a team.
type Key struct {
	Target ident.TargetID
	Team   ident.TeamName
}

// compareKeys orders keys.
func compareKeys(a, b Key) int {
	if c := strings.Compare(string(a.Target), string(b.Target)); c != 0 {
		return c
	}
	return strings.Compare(string(a.Team), string(b.Team))
}

// Entry is the limit of one process of a target, or the quota of a team, as hosts tell each
// other.
type Entry struct {
	// Target is empty for a team, and Team for a target.
	Target ident.TargetID
	Team   ident.TeamName
	// Burst is the number of permits that accumulate on top for a team.
	Burst float64
	// StartUnixMilli is the start time of the target process. A limit does not outlast
	// its process.
	StartUnixMilli int64
	Limit          Limit
}

// Key returns what the entry applies to.
func (e *Entry) Key() Key { return Key{e.Target, e.Team} }

// Want is a host's request for permits for one target or team.
type Want struct {
	Entry
	// Region is the target's region, whose coordinator hands out the permits.
	Region ident.Region
	// Permits is the number of permits that the host can use now. With 0 the host only
	// tells of the limit.
	Permits int
	// Spare is the part of Permits for which no request waits yet.
	Spare int
	// Returned is the number of permits that the host has not used and gives back.
	Returned int
	// UsedUpAge is the time since an owner found the quota of the team used up, as far as this
	// host was told, and 0 if that was never or long ago.
	UsedUpAge time.Duration
}

// Granted is the response of the allocator for one target or team.
type Granted struct {
	Entry
	Permits int
	// Hosts is the number of hosts that currently request permits for it.
	Hosts int
	// Exhausted is set if the quota of the team is used up, so that waiting requests got no
	// permit.
	Exhausted bool
	// Next is the time after which the allocator expects to have a permit, if it had too
	// few.
	Next time.Duration
	// Owner is the host that hands out the permits of the team, if the sender does not.
	Owner ident.HostID
}

// GroupByRegion returns the wants for the targets of each region, in the order of the
// regions' names.
func GroupByRegion(wants []Want) [][]Want {
	sorted := slices.Clone(wants)
	slices.SortStableFunc(sorted, func(a, b Want) int { return strings.Compare(string(a.Region), string(b.Region)) })
	var groups [][]Want
	for _, w := range sorted {
		last := len(groups) - 1
		if last < 0 || groups[last][0].Region != w.Region {
			groups = append(groups, []Want{w})
			continue
		}
		groups[last] = append(groups[last], w)
	}
	return groups
}
