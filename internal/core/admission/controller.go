package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

const (
	// UpdateInterval is the least time between two updates of the admission levels.
	UpdateInterval = 100 * time.Millisecond
	// shortDemand is the demand, as a part of the capacity, from which the service may be
	// short of it, and sufficientDemand that up to which it is not.
	shortDemand, sufficientDemand = 1.0, 0.9
	// harmShare is the share of the demand that is shed or refused from which requests suffer.
	harmShare = 0.02
	// longWait is the mean wait for a slot from which requests suffer. targetWait is the one
	// that the budget aims for: hosts keep a few requests waiting, so that no slot is idle.
	longWait, targetWait = 100 * time.Millisecond, 50 * time.Millisecond
	// drainTime is the time over which the budget corrects the number of waiting requests.
	// With a capacity that is overestimated by a tenth the wait exceeds targetWait by a tenth
	// of it.
	drainTime = 700 * time.Millisecond
	// minBudget and maxBudget bound the budget, as parts of the capacity.
	minBudget, maxBudget = 0.7, 1.1
	// maxBudgetStep is the largest change of the budget in one update, as a part of the
	// capacity. The demand of other hosts is known one to two round trips late; larger steps
	// overshoot.
	maxBudgetStep = 0.1
	// shedShare is the share of the attempts that targets reject from which the capacity is
	// what they accept while requests wait, and shedHeadroom the part on top of that by which
	// it is explored. It is at least shedFloor of what the slots serve: what is accepted falls
	// with what is admitted, and would otherwise take the capacity down with it.
	shedShare, shedHeadroom, shedFloor = 0.05, 1.05, 0.5
	// capacitySmoothing is the weight of the newest measurement of the capacity.
	capacitySmoothing = 0.3
	// teamsDemand is the demand, as a part of the capacity, from which reports name teams.
	// Below it the levels are enough to notice a shortage.
	teamsDemand = 0.7
	// reservedShare is the part of the budget for the levels that get nothing otherwise, so
	// that no class and no team is starved.
	reservedShare = 0.03
	// sufficientTime is the time without a shortage after which everything is admitted.
	sufficientTime = time.Second
)

// Controller decides, for one service on one host, which requests are admitted.
type Controller struct {
	own     hostRates
	hosts   map[ident.HostID]*hostRates
	counted Report
	// arrivals counts the arrivals since the last report.
	arrivals map[key]int

	updatedAt time.Time
	active    bool
	// sufficientSince is the time since which there is no shortage, zero during one.
	sufficientSince time.Time
	// budget is the number of requests per second that are admitted, capacity that which the
	// slots serve, demand that which arrives.
	budget, capacity, demand float64
	// reporting is the number of hosts in the demand.
	reporting int
	// fractions holds the admitted part of each level, teams that of the teams of a level with
	// a limited share.
	fractions map[Level]float64
	teams     map[key]float64
	// credits holds the requests that may be admitted, see Admit.
	credits map[key]float64
}

// New returns a controller that admits everything.
func New() *Controller {
	return &Controller{hosts: map[ident.HostID]*hostRates{}, arrivals: map[key]int{}, credits: map[key]float64{}}
}

// Started counts an attempt that begins.
func (c *Controller) Started() { c.counted.Started++ }

// Shed counts an attempt that its target rejected.
func (c *Controller) Shed() { c.counted.Shed++ }

// Refused counts a request that was refused other than by Admit.
func (c *Controller) Refused() { c.counted.Refused++ }

// Ended counts an attempt that held a slot for a time.
func (c *Controller) Ended(held time.Duration) {
	c.counted.Ended++
	c.counted.SlotTime += held
}

// TakeReport returns the report since the last call, also for the sums of this host.
func (c *Controller) TakeReport(now time.Time, waiting int) Report {
	r := c.counted
	r.Waiting = waiting
	if len(c.arrivals) > 0 {
		r.Demand = bounded(c.arrivals, c.active || c.demand > teamsDemand*c.capacity)
	}
	c.counted = Report{}
	clear(c.arrivals)
	c.own.observe(now, r)
	return r
}

// Observe applies the report of another host. An empty one is ignored: observations of other
// kinds arrive without a report, and a host without requests need not report.
func (c *Controller) Observe(now time.Time, from ident.HostID, r Report) {
	if r.Empty() {
		return
	}
	h := c.hosts[from]
	if h == nil {
		if len(c.hosts) >= maxHosts {
			return
		}
		h = &hostRates{}
		c.hosts[from] = h
	}
	h.observe(now, r)
}

// Due reports whether Update would have an effect.
func (c *Controller) Due(now time.Time) bool { return now.Sub(c.updatedAt) >= UpdateInterval }

// Update computes the admission levels. slots is the number of slots of the usable targets,
// with what each of them takes after it shed load. It reports whether the controller became
// active or inactive.
func (c *Controller) Update(now time.Time, slots float64) (changed bool) {
	if !c.Due(now) {
		return false
	}
	c.updatedAt = now
	sum := c.sum(now)
	wasActive := c.active
	c.demand, c.reporting = sum.arrivals, sum.hosts
	c.updateCapacity(sum, slots)
	if c.capacity <= 0 || !sum.severalGroups() {
		c.deactivate()
		return wasActive
	}
	wait := time.Duration(sum.waiting / c.capacity * float64(time.Second))
	c.updateActive(now, sum, wait)
	if c.active {
		c.updateBudget(sum.waiting)
		c.fractions, c.teams = levels(sum.demand, c.budget)
	}
	return c.active != wasActive
}

// updateCapacity measures the capacity, smoothed over some updates.
func (c *Controller) updateCapacity(sum totals, slots float64) {
	if sum.ended <= 0 || sum.slotTime <= 0 || slots <= 0 {
		c.capacity = 0
		return
	}
	// Slots can be freed by targets whose paused state this host does not know of, so that more
	// attempts end than its own view allows for.
	capacity := max(slots*sum.ended/sum.slotTime, sum.ended)
	// Targets that reject while others have free slots do not make the capacity short.
	if sum.shed > shedShare*sum.started && sum.waiting > targetWait.Seconds()*capacity {
		capacity = min(capacity, max(shedFloor*capacity, shedHeadroom*(sum.started-sum.shed)))
	}
	if c.capacity <= 0 {
		c.capacity = capacity
	}
	c.capacity += capacitySmoothing * (capacity - c.capacity)
}

func (c *Controller) deactivate() {
	c.active, c.sufficientSince, c.budget = false, time.Time{}, 0
	c.fractions, c.teams = nil, nil
	clear(c.credits)
}

// updateActive activates the levels if the demand exceeds the capacity and requests suffer.
func (c *Controller) updateActive(now time.Time, sum totals, wait time.Duration) {
	suffers := wait > longWait || sum.shed+sum.refused > harmShare*sum.arrivals
	switch {
	case !c.active:
		if suffers && c.demand > shortDemand*c.capacity {
			c.active, c.sufficientSince, c.budget = true, time.Time{}, c.capacity
		}
	case c.demand > sufficientDemand*c.capacity:
		c.sufficientSince = time.Time{}
	case c.sufficientSince.IsZero():
		c.sufficientSince = now
	case now.Sub(c.sufficientSince) >= sufficientTime:
		c.deactivate()
	}
}

// updateBudget moves the budget toward the capacity, corrected for the requests that wait.
func (c *Controller) updateBudget(waiting float64) {
	correction := (targetWait.Seconds()*c.capacity - waiting) / drainTime.Seconds()
	wanted := min(maxBudget*c.capacity, max(minBudget*c.capacity, c.capacity+correction))
	step := maxBudgetStep * max(c.capacity, c.budget)
	c.budget += min(step, max(-step, wanted-c.budget))
}

// totals are the rates of all hosts.
type totals struct {
	demand                                            map[key]float64
	arrivals, started, shed, refused, slotTime, ended float64
	waiting                                           float64
	hosts                                             int
}

func (t *totals) add(h *hostRates) {
	for k, rate := range h.demand {
		t.demand[k] += rate
		t.arrivals += rate
	}
	t.started += h.started
	t.shed += h.shed
	t.refused += h.refused
	t.slotTime += h.slotTime
	t.ended += h.ended
	t.waiting += h.waiting
	t.hosts++
}

// severalGroups reports whether there is more than one level or team.
func (t *totals) severalGroups() bool { return len(t.demand) > 1 }

// sum returns the rates of the hosts whose reports have not expired, and removes the hosts that
// have been silent for maxHostLifetime.
func (c *Controller) sum(now time.Time) totals {
	t := totals{demand: map[key]float64{}}
	if !c.own.expired(now) {
		t.add(&c.own)
	}
	for id, h := range c.hosts {
		switch {
		case !h.expired(now):
			t.add(h)
		case now.Sub(h.heardAt) > maxHostLifetime:
			delete(c.hosts, id)
		}
	}
	return t
}

// levels divides a budget among the levels in their order, and within a level among its teams.
func levels(demand map[key]float64, budget float64) (fractions map[Level]float64, teams map[key]float64) {
	fractions, teams = map[Level]float64{}, map[key]float64{}
	byLevel := map[Level][]teamDemand{}
	var order []Level
	for k, rate := range demand {
		if byLevel[k.Level] == nil {
			order = append(order, k.Level)
		}
		byLevel[k.Level] = append(byLevel[k.Level], teamDemand{k.team, rate})
	}
	slices.SortFunc(order, compareLevels)
	total := 0.0
	for _, rate := range demand {
		total += rate
	}
	if total <= budget {
		return fractions, teams
	}
	left, reserved := budget*(1-reservedShare), budget*reservedShare
	for i, level := range order {
		sum := 0.0
		for _, d := range byLevel[level] {
			sum += d.rate
		}
		granted := min(sum, left)
		left -= granted
		if granted < sum {
			// The levels that get less than they ask for divide the reserve, the first of them
			// as much as all the later ones. The last one takes the rest.
			extra := reserved / 2
			if i == len(order)-1 {
				extra = reserved
			}
			extra = min(extra, sum-granted)
			reserved -= extra
			granted += extra
		}
		fractions[level] = granted / max(sum, 1e-9)
		if fractions[level] < 1 {
			divide(level, byLevel[level], granted, teams)
		}
	}
	return fractions, teams
}

type teamDemand struct {
	team ident.TeamName
	rate float64
}

// divide gives the teams of a level their max-min fair shares of a budget. The teams that are
// not reported by name have the smallest demands and come first: they count as one only if
// that is enough for them.
func divide(level Level, demand []teamDemand, budget float64, teams map[key]float64) {
	slices.SortFunc(demand, func(a, b teamDemand) int {
		return cmp.Or(-cmp.Compare(boolToInt(a.team == ""), boolToInt(b.team == "")), cmp.Compare(a.rate, b.rate), cmp.Compare(a.team, b.team))
	})
	for i, d := range demand {
		share := budget / float64(len(demand)-i)
		if d.team == "" && len(demand) > 1 {
			share = budget * max(0.5, 1/float64(len(demand)))
		}
		granted := min(d.rate, share)
		budget -= granted
		teams[key{level, d.team}] = granted / max(d.rate, 1e-9)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Fraction returns the part of the requests of a team and level that is admitted, 0 to 1.
func (c *Controller) Fraction(level Level, team ident.TeamName) float64 {
	if !c.active {
		return 1
	}
	if f, ok := c.teams[key{level, team}]; ok {
		return f
	}
	if f, ok := c.teams[key{level, ""}]; ok {
		return f
	}
	if f, ok := c.fractions[level]; ok {
		return f
	}
	return 1
}

const (
	// turnTime is the time in which the window of preferred positions moves around the circle.
	// It bounds the wait that a refused request is told, so that callers with 6 s until their
	// deadline, who wait for a third of it at most, follow it, and it is within most latency
	// objectives.
	turnTime = 1600 * time.Millisecond
	// minWindow is the least part of the circle that is preferred.
	minWindow = 0.05
	// preferredCredit and otherCredit are the credits from which requests with a position in
	// the window and other requests are admitted, and maxCredit the largest that is kept.
	preferredCredit, otherCredit, maxCredit = -2, 1, 3
	// preferredPart is the admitted part of a group from which those that return are
	// preferred. In a heavier overload most of them are late already, and would take the place
	// of new requests that can be served within their objective.
	preferredPart = 0.5
	// maxGroups bounds the groups with credits. Teams beyond it share those of their level.
	maxGroups = 256
)

// Arrived counts an arrival that is refused before Admit.
func (c *Controller) Arrived(level Level, team ident.TeamName) { c.arrivals[key{level, team}]++ }

// Admit counts an arrival and reports whether the request is admitted, otherwise after which
// time it is preferred. position is a hash of the request's ID. In the long run exactly the
// admitted part of each group passes: every arrival adds that part to the credit of its group,
// and every admission takes 1.
func (c *Controller) Admit(now time.Time, level Level, team ident.TeamName, position uint64) (admitted bool, retryAfter time.Duration) {
	c.Arrived(level, team)
	part := c.Fraction(level, team)
	if part >= 1 {
		return true, 0
	}
	group := key{level, team}
	if _, known := c.credits[group]; !known && len(c.credits) >= maxGroups {
		group.team = ""
	}
	credit := min(maxCredit, c.credits[group]+part)
	window := max(minWindow, part)
	at := float64(position%positions) / positions
	passed := math.Mod(float64(now.UnixNano()%int64(turnTime))/float64(turnTime)-at+1, 1)
	threshold := float64(otherCredit)
	if passed < window && part >= preferredPart {
		threshold = preferredCredit
	}
	if credit >= threshold {
		c.credits[group] = credit - 1
		return true, 0
	}
	c.credits[group] = credit
	// The request returns in the first part of the time in which it is preferred.
	return false, time.Duration((1 - passed + window/4) * float64(turnTime))
}

// positions is the number of positions on the circle.
const positions = 1 << 16

// State is the state of a controller, for logs and status.
type State struct {
	Active bool
	// Demand, Capacity and Budget are in requests per second, Hosts is the number of hosts in
	// the sums, those whose reports have not expired.
	Demand, Capacity, Budget float64
	Hosts                    int
	// Level is the first level that is admitted in part, Fraction its admitted part.
	Level    Level
	Fraction float64
}

// State returns the state as of the last update.
func (c *Controller) State() State {
	s := State{Active: c.active, Demand: c.demand, Capacity: c.capacity, Budget: c.budget, Hosts: c.reporting, Fraction: 1}
	if !c.active {
		return s
	}
	for level, fraction := range c.fractions {
		if fraction < 1 && (s.Fraction == 1 || compareLevels(level, s.Level) < 0) {
			s.Level, s.Fraction = level, fraction
		}
	}
	return s
}
