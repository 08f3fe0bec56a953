package ratelimit

import (
	"maps"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/serving"
	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
)

const (
	// urgentInterval and idleInterval are the shortest times between two messages to an
	// owner while requests wait, and otherwise.
	urgentInterval = 20 * time.Millisecond
	idleInterval   = 100 * time.Millisecond
	// shareStep is the rise of the share that shows that it was low before.
	shareStep = 0.1
	// scanInterval is the time between two checks of all teams with recent requests.
	scanInterval = 50 * time.Millisecond
	// teamMessages is the number of messages to which a response is accepted: those that a
	// host sends to 40 owners in askTimeout, and more.
	teamMessages = 1024
	// MaxTeamEntries bounds the teams in one message, and maxTeamBytes the length of their
	// names with teamEntryBytes for each, so that it fits into a datagram.
	MaxTeamEntries = 12
	maxTeamBytes   = 1000
	teamEntryBytes = 45
)

// TeamsConfig holds the settings of a Teams.
type TeamsConfig struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
	// Regions holds the regions of the deployment, see HomeRegion.
	Regions []ident.Region
	// Bounds are the bounds of the deployment, DefaultQuotaBounds if Window is zero.
	Bounds QuotaBounds
	// Quota returns the quota of a team in the configuration that this host has, and
	// whether the configuration contains the team. The quota of a team without a limit is
	// zero.
	Quota func(name ident.TeamName) (team.Quota, bool)
}

// Message is a message to another host, with either a request or a response.
type Message struct {
	To       ident.HostID
	Request  *Request
	Response *Response
}

// Teams holds the quotas of teams on one host, as a holder of permits and as an owner that
// hands them out. Teams without requests take no memory. It is not safe for concurrent use.
type Teams struct {
	cfg       TeamsConfig
	policy    Policy
	view      View
	owners    ownership
	exchange  *Exchange
	allocator *Allocator
	holders   map[ident.TeamName]*teamHolder
	// listVersion changes with the active hosts.
	listVersion uint64
	// urgent holds the teams whose requests have not been asked for.
	urgent []*teamHolder
	// sentAt holds the time of the last request to each owner.
	sentAt   map[ident.HostID]time.Time
	nextScan time.Time
	nextDrop time.Time
	// handovers holds the permits to give to hosts that took over teams.
	handovers []handover
}

// NewTeams returns the state of a host that knows no owner yet.
func NewTeams(cfg TeamsConfig) *Teams {
	if cfg.Bounds.Window == 0 {
		cfg.Bounds = DefaultQuotaBounds
	}
	t := &Teams{
		cfg:      cfg,
		policy:   newTeamPolicy(cfg.Bounds),
		owners:   ownership{self: cfg.Host},
		exchange: newExchange(uint64(cfg.Incarnation), teamMessages),
		holders:  map[ident.TeamName]*teamHolder{},
		sentAt:   map[ident.HostID]time.Time{},
	}
	t.allocator = newAllocator(&t.policy)
	return t
}

// Update applies what the host knows of other hosts. It returns the messages to hosts that took
// over teams from this one.
func (t *Teams) Update(now time.Time, v View) []Message {
	if !maps.EqualFunc(t.view.Active, v.Active, slices.Equal) {
		t.listVersion++
	}
	if v.Share > t.view.Share+shareStep {
		t.allocator.unsettle(now, t.policy.MaxBacklog)
	}
	t.view = v
	// A takeover is in order if no beacon is missing.
	inOrder := v.ValidUntil.Sub(t.owners.validUntil) <= maxHandoverGap && t.owners.valid(now)
	changed, gap := t.owners.update(now, &v)
	if gap > 0 {
		t.allocator.unsettle(now, gap)
		t.allocator.pause(now)
	}
	if changed {
		t.allocator.drop(func(a *allocation) bool {
			since, ok := t.owners.ownedSince(a.entry.Team)
			if !ok && inOrder {
				t.handOver(now, a)
			}
			return ok && !since.After(a.since)
		})
	}
	if now.After(t.nextDrop) {
		t.nextDrop = now.Add(holderLifetime)
		t.forget(now)
	}
	return t.sendHandovers(now)
}

// forget removes the teams without recent requests.
func (t *Teams) forget(now time.Time) {
	t.allocator.drop(func(a *allocation) bool {
		a.forgetHosts(now)
		return now.Sub(a.usedAt) < allocationLifetime
	})
	for name, h := range t.holders {
		if len(h.waiters) == 0 && now.Sub(h.usedAt) >= holderLifetime {
			delete(t.holders, name)
		}
	}
	for id, at := range t.sentAt {
		if now.Sub(at) >= holderLifetime {
			delete(t.sentAt, id)
		}
	}
}

// Take uses a permit in stock for a request of a team and reports whether there was one.
// Requests that wait come first.
func (t *Teams) Take(now time.Time, name ident.TeamName, q team.Quota) bool {
	h := t.holders[name]
	if h == nil {
		return false
	}
	h.usedAt = now
	h.setQuota(q)
	if len(h.waiters) > 0 || !h.take(now) {
		return false
	}
	h.arrivals.add(now)
	return true
}

// Wait waits for a permit for a request of a team until a deadline. decide is called with
// the decision, at once or during a later call. It returns nil if the decision is made.
func (t *Teams) Wait(now time.Time, name ident.TeamName, q team.Quota, deadline time.Time, decide func(Decision)) *Waiter {
	h := t.holder(now, name)
	h.usedAt = now
	h.setQuota(q)
	h.arrivals.add(now)
	switch {
	case len(h.waiters) == 0 && h.take(now):
		decide(Decision{Granted: true})
		return nil
	case h.exhausted && now.Before(h.heldUntil):
		decide(h.exceeded(now, h.heldUntil))
		return nil
	case h.stillUsedUp(now):
		t.makeUrgent(h)
		d := h.exceeded(now, later(now.Add(urgentInterval), h.heldUntil))
		h.deferUntil(now.Add(d.RetryAfter))
		decide(d)
		return nil
	case h.silent(now):
		h.probe = true
		t.makeUrgent(h)
		decide(Decision{RetryAfter: UnknownRetryAfter})
		return nil
	}
	w := &Waiter{holder: h, arrivedAt: now, deadline: deadline, decide: decide}
	h.waiters = append(h.waiters, w)
	t.makeUrgent(h)
	return w
}

// Cancel ends the wait of a request and reports whether it was still waiting.
func (t *Teams) Cancel(w *Waiter) bool {
	h := w.holder
	i := slices.Index(h.waiters, w)
	if i >= 0 {
		h.waiters = slices.Delete(h.waiters, i, i+1)
	}
	return i >= 0
}

// Expire ends the wait of a request that gets no permit in time, and reports whether it was
// still waiting. It is told to come back after UnknownRetryAfter.
func (t *Teams) Expire(now time.Time, w *Waiter) bool {
	waited := t.Cancel(w)
	if waited {
		w.holder.deferUntil(now.Add(UnknownRetryAfter))
	}
	return waited
}

// Return gives back the permit of a request that did not run. The owner can hand it out
// again, also to this host.
func (t *Teams) Return(name ident.TeamName) {
	if h := t.holders[name]; h != nil {
		h.returned++
	}
}

func (t *Teams) holder(now time.Time, name ident.TeamName) *teamHolder {
	h := t.holders[name]
	if h == nil {
		h = &teamHolder{policy: &t.policy, entry: Entry{Team: name}, home: HomeRegion(name, t.cfg.Regions)}
		t.holders[name] = h
		if len(t.holders) == 1 {
			t.nextScan = now.Add(scanInterval)
		}
	}
	return h
}

func (t *Teams) makeUrgent(h *teamHolder) {
	if !h.urgent {
		h.urgent = true
		t.urgent = append(t.urgent, h)
	}
}

// NextPoll returns the time after which Poll has to be called again, and whether it has to
// be called at all.
func (t *Teams) NextPoll(now time.Time) (after time.Duration, ok bool) {
	if len(t.holders) == 0 {
		return 0, false
	}
	if len(t.urgent) > 0 {
		return urgentInterval, true
	}
	return max(time.Millisecond, t.nextScan.Sub(now)), true
}

// Poll returns the requests for permits that are due. It answers those to this host itself.
func (t *Teams) Poll(now time.Time) []Message {
	if now.Before(t.nextScan) && len(t.urgent) == 0 {
		return nil
	}
	due := t.urgent
	t.urgent = nil
	for _, h := range due {
		h.urgent = false
	}
	batch := batches{}
	t.collect(now, due, urgentInterval, batch)
	if !now.Before(t.nextScan) {
		t.nextScan = now.Add(scanInterval)
		t.collect(now, slices.Collect(maps.Values(t.holders)), idleInterval, batch)
	}
	return t.request(now, batch)
}

// batches holds the teams for which each owner is asked.
type batches map[ident.HostID][]*teamHolder

// collect adds the teams that have something to ask for to the batches of their owners,
// unless the last message to the owner was less than an interval ago.
func (t *Teams) collect(now time.Time, holders []*teamHolder, interval time.Duration, batch batches) {
	for _, h := range holders {
		if h.urgent || slices.Contains(batch[t.ownerOf(now, h)], h) {
			continue
		}
		if _, ok := h.want(now); !ok {
			continue
		}
		owner := t.ownerOf(now, h)
		wait := interval
		if len(h.waiters) > 0 {
			wait = urgentInterval
		}
		if owner == "" || now.Sub(t.sentAt[owner]) < wait || batchFull(batch[owner], h) {
			if len(h.waiters) > 0 && owner != "" {
				t.makeUrgent(h)
			}
			if owner == "" {
				t.noOwner(now, h)
			}
			continue
		}
		batch[owner] = append(batch[owner], h)
	}
}

// batchFull reports whether a message has no space for another team.
func batchFull(holders []*teamHolder, next *teamHolder) bool {
	size := 0
	for _, h := range holders {
		size += teamEntryBytes + len(h.entry.Team)
	}
	return messageFull(len(holders), size, next.entry.Team)
}

// messageFull reports whether a message with some teams and their size has no space for another.
func messageFull(teams, size int, next ident.TeamName) bool {
	return teams > 0 && (teams >= MaxTeamEntries || size+teamEntryBytes+len(next) > maxTeamBytes)
}

// noOwner notes that a team has no known owner, which counts as one that does not answer.
func (t *Teams) noOwner(now time.Time, h *teamHolder) {
	if h.unanswered == 0 {
		h.unansweredAt = now
	}
	h.unanswered++
}

// ownerOf returns the host to ask for the permits of a team.
func (t *Teams) ownerOf(now time.Time, h *teamHolder) ident.HostID {
	if h.listVersion != t.listVersion || h.candidates[0] == "" {
		h.candidates, h.listVersion = ownerCandidates(h.entry.Team, t.view.Active[h.home]), t.listVersion
	}
	return h.owner(now)
}

// request returns the messages with the wants of teams.
func (t *Teams) request(now time.Time, batch batches) []Message {
	var out []Message
	for _, owner := range slices.Sorted(maps.Keys(batch)) {
		holders := batch[owner]
		wants := make([]Want, 0, len(holders))
		for _, h := range holders {
			w, _ := h.want(now)
			if h.unanswered == 0 {
				// The owner has the quota from its own configuration. It gets this one only if
				// it has not answered, maybe because its configuration is older.
				w.Limit, w.Burst = Limit{}, 0
			}
			wants = append(wants, w)
		}
		r := t.exchange.NewRequest(now, wants)
		t.sentAt[owner] = now
		for i, h := range holders {
			h.asked(now, r.Sequence, &wants[i])
		}
		if owner != t.cfg.Host {
			out = append(out, Message{To: owner, Request: &r})
			continue
		}
		if response, ok := t.ReceiveRequest(now, owner, r); ok {
			t.ReceiveResponse(now, owner, t.cfg.Incarnation, response)
		}
	}
	return out
}

// ReceiveRequest answers a request for permits. It returns false if this host cannot answer.
func (t *Teams) ReceiveRequest(now time.Time, from ident.HostID, r Request) (Response, bool) {
	if !t.owners.valid(now) {
		return Response{}, false
	}
	var granted []Granted
	for _, w := range r.Wants {
		if HomeRegion(w.Team, t.cfg.Regions) != t.view.Region {
			continue
		}
		since, owned := t.owners.ownedSince(w.Team)
		if !owned {
			if owner := Owner(w.Team, t.view.Active[t.view.Region]); owner != "" && owner != t.cfg.Host {
				granted = append(granted, Granted{Entry: Entry{Team: w.Team}, Owner: owner})
			}
			continue
		}
		q, known := t.cfg.Quota(w.Team)
		if known && !q.Limited() {
			// The host still has a quota that was removed. Its requests would otherwise wait for
			// an answer until it has the change.
			granted = append(granted, Granted{Entry: Entry{Team: w.Team}, Permits: w.Permits, Hosts: 1})
			continue
		}
		if known {
			w.Limit, w.Burst = Limit{Limited: q.Limited(), Rate: q.RatePerSecond}, q.Burst
		}
		if !w.Limit.Limited {
			continue
		}
		t.allocator.own(now, t.view.Share, w.Entry, since, phaseOf(serving.NewRendezvous(string(w.Team)).Weight(t.cfg.Host)))
		granted = append(granted, t.allocator.Want(now, t.view.Share, from, r.Sequence, []Want{w})...)
	}
	if len(granted) == 0 {
		return Response{}, false
	}
	return t.exchange.NewResponse(r.Sequence, granted), true
}

// ReceiveResponse applies the response of an owner.
func (t *Teams) ReceiveResponse(now time.Time, from ident.HostID, incarnation ident.Incarnation, r Response) {
	sentAt, ok := t.exchange.Accept(from, incarnation, r)
	if !ok {
		return
	}
	for i := range r.Granted {
		g := &r.Granted[i]
		h := t.holders[g.Team]
		if h == nil {
			continue
		}
		h.answer(now, sentAt, from, r.Sequence, g)
		if len(h.waiters) > 0 && !now.Before(h.heldUntil) {
			t.makeUrgent(h)
		}
	}
}

// TeamStatus is the state of a team's quota on one host.
type TeamStatus struct {
	Team  ident.TeamName
	Quota team.Quota
	// Permits is the number of permits in stock, and Waiting that of requests that wait.
	Permits, Waiting int
	// Owner is the host that responded last, and Age the time since then. Without a response,
	// Owner is the host that is asked, and Age is negative.
	Owner ident.HostID
	Age   time.Duration
	// Exhausted is set while the quota is used up.
	Exhausted bool
}

// Status returns the state of a team, and whether the team had recent requests.
func (t *Teams) Status(now time.Time, name ident.TeamName) (TeamStatus, bool) {
	h := t.holders[name]
	if h == nil {
		return TeamStatus{}, false
	}
	h.discardExpired(now)
	s := TeamStatus{
		Team: name, Quota: team.Quota{RatePerSecond: h.entry.Limit.Rate, Burst: h.entry.Burst},
		Permits: len(h.expiry), Waiting: len(h.waiters), Owner: t.ownerOf(now, h), Age: -1,
		Exhausted: h.exhausted && now.Before(h.heldUntil),
	}
	if !h.answeredAt.IsZero() {
		s.Owner, s.Age = h.answeredBy, now.Sub(h.answeredAt)
	}
	return s, true
}

// Names returns the teams with recent requests on this host.
func (t *Teams) Names() []ident.TeamName { return slices.Sorted(maps.Keys(t.holders)) }

// Owned returns the number of teams for which this host has handed out permits recently.
func (t *Teams) Owned() int { return len(t.allocator.targets) }
