package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// Level is the urgency of a request; lower values are admitted first.
type Level struct{ TeamPriority, ClassPriority int }

func compareLevels(a, b Level) int {
	return cmp.Or(cmp.Compare(a.TeamPriority, b.TeamPriority), cmp.Compare(a.ClassPriority, b.ClassPriority))
}

// Demand counts the requests of one level, or of one team in it, that arrived at a host.
type Demand struct {
	Level
	// Team is empty for the requests without a team and for those of the teams that are not
	// reported by name.
	Team     ident.TeamName
	Arrivals int
}

// Report is what a host tells the others about its requests for a service since its last
// report.
type Report struct {
	Demand []Demand
	// Started counts the attempts, Shed those that targets rejected, Refused the requests
	// that the host refused other than by an admission level.
	Started, Shed, Refused int
	// Waiting is the current number of requests that wait for a slot.
	Waiting int
	// SlotTime is the time for which the attempts that ended held their slots, Ended their
	// number.
	SlotTime time.Duration
	Ended    int
}

// Empty reports whether a report contains nothing.
func (r Report) Empty() bool {
	return len(r.Demand) == 0 && r.Started == 0 && r.Shed == 0 && r.Refused == 0 && r.Waiting == 0 && r.Ended == 0
}

// Add adds a later report of the same host.
func (r *Report) Add(later Report) {
	for _, d := range later.Demand {
		i := r.index(d)
		if i < 0 && len(r.Demand) >= MaxDemand {
			// There is no room for another team.
			d.Team = ""
			if i = r.index(d); i < 0 {
				continue
			}
		}
		if i < 0 {
			r.Demand = append(r.Demand, d)
			continue
		}
		r.Demand[i].Arrivals += d.Arrivals
	}
	r.Started += later.Started
	r.Shed += later.Shed
	r.Refused += later.Refused
	r.Waiting = later.Waiting
	r.SlotTime += later.SlotTime
	r.Ended += later.Ended
}

// index returns the index of the entry of a level and team, or -1.
func (r *Report) index(d Demand) int {
	return slices.IndexFunc(r.Demand, func(known Demand) bool { return known.Level == d.Level && known.Team == d.Team })
}

const (
	// maxTeamName is the length in bytes of a name up to which a report names a team, so that
	// MaxDemand entries fit into a datagram.
	maxTeamName = 40
	// MaxTeams is the number of teams with the highest demand that a report names, and
	// MaxDemand that of its entries.
	MaxTeams  = 8
	MaxDemand = 16
)

// key identifies an entry of the demand.
type key struct {
	Level
	team ident.TeamName
}

// bounded returns the demand in a fixed order. With byName it names the teams of the highest
// demand; the others of each level are summed.
func bounded(counts map[key]int, byName bool) []Demand {
	byTeam := map[ident.TeamName]int{}
	for k, n := range counts {
		byTeam[k.team] += n
	}
	var teams []ident.TeamName
	for team := range byTeam {
		if team != "" && byName && len(team) <= maxTeamName {
			teams = append(teams, team)
		}
	}
	slices.SortFunc(teams, func(a, b ident.TeamName) int {
		return cmp.Or(cmp.Compare(byTeam[b], byTeam[a]), cmp.Compare(a, b))
	})
	named := map[ident.TeamName]bool{}
	for _, team := range teams[:min(MaxTeams, len(teams))] {
		named[team] = true
	}
	sums := map[key]int{}
	for k, n := range counts {
		if !named[k.team] {
			k.team = ""
		}
		sums[k] += n
	}
	list := make([]Demand, 0, len(sums))
	for k, n := range sums {
		list = append(list, Demand{Level: k.Level, Team: k.team, Arrivals: n})
	}
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Or(compareLevels(a.Level, b.Level), cmp.Compare(a.Team, b.Team)) })
	return list[:min(MaxDemand, len(list))]
}

const (
	// minHostLifetime and maxHostLifetime bound the time without a report after which the
	// demand of a host is dropped, lifetimeIntervals is that time in intervals between its
	// reports: one report may be lost. Hosts of the region report every 0.15 s, those of other
	// regions every 0.6 s.
	minHostLifetime, maxHostLifetime = 500 * time.Millisecond, 1300 * time.Millisecond
	lifetimeIntervals                = 2.2
	// hostSmoothing is the time constant of the rates of one host.
	hostSmoothing = 300 * time.Millisecond
	// minReportInterval and maxReportInterval bound the time that a report is taken to cover.
	minReportInterval, maxReportInterval = 10 * time.Millisecond, 1200 * time.Millisecond
	// maxHosts bounds the hosts whose reports are kept.
	maxHosts = 4096
	// maxCount bounds a count in one report, so that a malformed one does not stop admission
	// for longer than its lifetime.
	maxCount = 1 << 16
)

// hostRates are the rates per second of one host.
type hostRates struct {
	heardAt                                 time.Time
	interval                                time.Duration
	demand                                  map[key]float64
	started, shed, refused, slotTime, ended float64
	waiting                                 float64
}

// expired reports whether the demand of the host is no longer known.
func (h *hostRates) expired(now time.Time) bool {
	lifetime := time.Duration(lifetimeIntervals * float64(h.interval))
	return now.Sub(h.heardAt) >= min(maxHostLifetime, max(minHostLifetime, lifetime))
}

// observe applies a report that covers the time since the last one.
func (h *hostRates) observe(now time.Time, r Report) {
	if h.heardAt.IsZero() || now.Sub(h.heardAt) > maxHostLifetime {
		// The time that the first report covers is unknown.
		*h = hostRates{heardAt: now, demand: map[key]float64{}}
		return
	}
	interval := min(maxReportInterval, max(minReportInterval, now.Sub(h.heardAt)))
	h.heardAt, h.interval = now, interval
	weight := min(1, interval.Seconds()/hostSmoothing.Seconds())
	rate := func(old *float64, count float64) {
		*old += weight * (min(maxCount, max(0, count))/interval.Seconds() - *old)
	}
	rate(&h.started, float64(r.Started))
	rate(&h.shed, float64(r.Shed))
	rate(&h.refused, float64(r.Refused))
	rate(&h.slotTime, r.SlotTime.Seconds())
	rate(&h.ended, float64(r.Ended))
	h.waiting = min(maxCount, max(0, float64(r.Waiting)))
	arrivals := make(map[key]int, len(r.Demand))
	for _, d := range r.Demand[:min(MaxDemand, len(r.Demand))] {
		arrivals[key{d.Level, d.Team}] += d.Arrivals
	}
	for k, old := range h.demand {
		rate(&old, float64(arrivals[k]))
		h.demand[k] = old
		delete(arrivals, k)
		if old < 0.01 {
			delete(h.demand, k)
		}
	}
	for k, n := range arrivals {
		var value float64
		rate(&value, float64(n))
		h.demand[k] = value
	}
}
