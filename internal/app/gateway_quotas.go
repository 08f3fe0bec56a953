package app

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/requestlog"
)

const (
	// defaultQuotaWait is the time for which a request waits for a permit if Acquire is given
	// none. The context ends the wait of a request that has no time left.
	defaultQuotaWait = time.Second
	// maxStatusQuotas bounds the teams in the status of a host.
	maxStatusQuotas = 200
	// shareLogStep is the change of the host's share of the quotas that is logged.
	shareLogStep = 0.02
)

// The decisions about requests of teams with a quota, and the permits and messages of this
// process as a holder and as an owner.
var (
	quotaFromStock   = metrics.GetOrCreateCounter(`sapphirehaven_quota_requests_total{result="stock"}`)
	quotaWaited      = metrics.GetOrCreateCounter(`sapphirehaven_quota_requests_total{result="waited"}`)
	quotaExceeded    = metrics.GetOrCreateCounter(`sapphirehaven_quota_requests_total{result="exceeded"}`)
	quotaUnknown     = metrics.GetOrCreateCounter(`sapphirehaven_quota_requests_total{result="unknown"}`)
	quotaEnded       = metrics.GetOrCreateCounter(`sapphirehaven_quota_requests_total{result="ended"}`)
	quotaWaitTime    = metrics.GetOrCreateHistogram(`sapphirehaven_quota_wait_seconds`)
	quotaReceived    = metrics.GetOrCreateCounter(`sapphirehaven_quota_permits_total{event="received"}`)
	quotaHandedOut   = metrics.GetOrCreateCounter(`sapphirehaven_quota_permits_total{event="handed_out"}`)
	quotaReturned    = metrics.GetOrCreateCounter(`sapphirehaven_quota_permits_total{event="returned"}`)
	quotaHandedOver  = metrics.GetOrCreateCounter(`sapphirehaven_quota_permits_total{event="handed_over"}`)
	quotaRequestsOut = metrics.GetOrCreateCounter(`sapphirehaven_quota_messages_total{kind="request"}`)
	quotaAnswersOut  = metrics.GetOrCreateCounter(`sapphirehaven_quota_messages_total{kind="response"}`)
)

// quotas implements ingress.TeamQuotas with the permits that hosts hand out to each other.
type quotas struct {
	gateway *Gateway
	// wake receives a value when a request begins to wait.
	wake chan struct{}

	mu    sync.Mutex
	teams *ratelimit.Teams
	// directory is the directory of the active configuration, and byName holds the quotas
	// of its teams, also of those without a limit: an owner must tell a team whose quota was
	// removed from one that it does not know.
	directory *team.Directory
	byName    map[ident.TeamName]team.Quota
	// loggedShare and loggedHosts are those of the latest line about this host's view.
	loggedShare float64
	loggedHosts int
}

func newQuotas(g *Gateway, incarnation ident.Incarnation, regions []ident.Region) *quotas {
	if len(regions) == 0 {
		regions = []ident.Region{g.settings.Location.Region}
	}
	q := &quotas{gateway: g, wake: make(chan struct{}, 1)}
	q.teams = ratelimit.NewTeams(ratelimit.TeamsConfig{
		Host: g.settings.Host, Incarnation: incarnation, Regions: regions, Bounds: g.settings.QuotaBounds,
		Quota: func(name ident.TeamName) (team.Quota, bool) {
			quota, ok := q.byName[name]
			return quota, ok
		},
	})
	return q
}

// Acquire implements ingress.TeamQuotas.
func (q *quotas) Acquire(ctx context.Context, t *team.Team, requestID string, maxWait time.Duration) error {
	now := time.Now()
	q.mu.Lock()
	taken := q.teams.Take(now, t.Name, t.Quota)
	q.mu.Unlock()
	if taken {
		quotaFromStock.Inc()
		return nil
	}
	return q.await(ctx, now, t, requestID, maxWait)
}

// await asks the owner of a team for a permit and waits for its response.
func (q *quotas) await(ctx context.Context, now time.Time, t *team.Team, requestID string, maxWait time.Duration) error {
	if maxWait <= 0 {
		maxWait = defaultQuotaWait
	}
	decided := make(chan ratelimit.Decision, 1)
	q.mu.Lock()
	waiter := q.teams.Wait(now, t.Name, t.Quota, now.Add(maxWait), func(d ratelimit.Decision) { decided <- d })
	messages := q.teams.Poll(now)
	q.mu.Unlock()
	q.send(messages)
	if waiter == nil {
		return q.decide(t, requestID, now, <-decided)
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case d := <-decided:
		return q.decide(t, requestID, now, d)
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	if ctx.Err() != nil {
		q.teams.Cancel(waiter)
	} else {
		q.teams.Expire(time.Now(), waiter)
	}
	q.mu.Unlock()
	select {
	case d := <-decided:
		// The decision was made while the wait ended. The engine checks the deadline.
		return q.decide(t, requestID, now, d)
	default:
	}
	if ctx.Err() != nil {
		quotaEnded.Inc()
		return ctx.Err()
	}
	return q.decide(t, requestID, now, ratelimit.Decision{RetryAfter: ratelimit.UnknownRetryAfter})
}

// decide counts and logs a decision about a request that found no permit in stock, and
// returns it as the result of Acquire.
func (q *quotas) decide(t *team.Team, requestID string, arrivedAt time.Time, d ratelimit.Decision) error {
	waited := time.Since(arrivedAt)
	quotaWaitTime.Update(waited.Seconds())
	q.logDecision(t, requestID, waited, d)
	switch {
	case d.Granted:
		quotaWaited.Inc()
		return nil
	case d.Exceeded:
		quotaExceeded.Inc()
	default:
		quotaUnknown.Inc()
	}
	return &ingress.QuotaError{Exceeded: d.Exceeded, RetryAfter: d.RetryAfter}
}

func (q *quotas) logDecision(t *team.Team, requestID string, waited time.Duration, d ratelimit.Decision) {
	q.mu.Lock()
	status, _ := q.teams.Status(time.Now(), t.Name)
	q.mu.Unlock()
	fields := logrus.Fields{
		"team": t.Name, "granted": d.Granted, "exceeded": d.Exceeded, "retry_after_ms": d.RetryAfter.Milliseconds(),
		"rate": t.Quota.RatePerSecond, "burst": t.Quota.Burst, "owner": status.Owner,
		"permits": status.Permits, "waiting": status.Waiting, "waited_ms": waited.Milliseconds(),
	}
	if status.Age >= 0 {
		fields["answer_age_ms"] = status.Age.Milliseconds()
	}
	q.gateway.requests.Write(requestlog.Line{Event: "quota", Request: requestID, Fields: fields, Routine: d.Granted})
}

// Return implements ingress.TeamQuotas.
func (q *quotas) Return(t *team.Team) {
	quotaReturned.Inc()
	q.mu.Lock()
	q.teams.Return(t.Name)
	q.mu.Unlock()
}

// run sends the requests for permits that Acquire did not send at once, until ctx ends. It
// sleeps while no team has requests.
func (q *quotas) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		case <-timer.C:
		}
		now := time.Now()
		q.mu.Lock()
		messages := q.teams.Poll(now)
		after, again := q.teams.NextPoll(now)
		q.mu.Unlock()
		q.send(messages)
		timer.Stop()
		if again {
			timer.Reset(after)
		}
	}
}

// update applies what the host knows of other hosts, and the quotas of the configuration.
func (q *quotas) update() {
	g := q.gateway
	active := g.ingress.ActiveConfig()
	var directory *team.Directory
	if active != nil {
		directory = active.Teams
	}
	q.updateDirectory(directory)
	now := time.Now()
	g.mu.Lock()
	view := g.roster.QuotaView(now)
	g.mu.Unlock()
	q.mu.Lock()
	messages := q.teams.Update(now, view)
	q.mu.Unlock()
	q.send(messages)
	q.logHandovers(messages)
	if directory != nil {
		q.logView(view)
	}
}

// logHandovers logs the permits that this host gives to those that took over teams from it.
func (q *quotas) logHandovers(messages []ratelimit.Message) {
	for _, m := range messages {
		permits := 0
		for _, w := range m.Request.Wants {
			permits += w.Returned
		}
		quotaHandedOver.Add(permits)
		q.gateway.requests.Write(requestlog.Line{Event: "quota_handover", Fields: logrus.Fields{"to": m.To, "teams": len(m.Request.Wants), "permits": permits}})
	}
}

// updateDirectory indexes the quotas of a new configuration. Only update calls it, so the
// index is made without the lock.
func (q *quotas) updateDirectory(directory *team.Directory) {
	if q.directory == directory {
		return
	}
	var byName map[ident.TeamName]team.Quota
	if directory != nil {
		byName = map[ident.TeamName]team.Quota{}
		for _, t := range directory.Teams() {
			byName[t.Name] = t.Quota
		}
	}
	q.mu.Lock()
	q.directory, q.byName = directory, byName
	q.mu.Unlock()
}

// logView logs a change of the hosts that own teams or of their share.
func (q *quotas) logView(v ratelimit.View) {
	hosts := len(v.Active[v.Region])
	if hosts == q.loggedHosts && v.Share < q.loggedShare+shareLogStep && v.Share > q.loggedShare-shareLogStep {
		return
	}
	q.loggedShare, q.loggedHosts = v.Share, hosts
	q.gateway.requests.Write(requestlog.Line{
		Event:  "quota_owners",
		Fields: logrus.Fields{"share": v.Share, "hosts": hosts, "valid_ms": time.Until(v.ValidUntil).Milliseconds()},
	})
}

// send sends messages to other hosts.
func (q *quotas) send(messages []ratelimit.Message) {
	g := q.gateway
	for _, m := range messages {
		g.mu.Lock()
		to, known := g.roster.Host(m.To)
		g.mu.Unlock()
		switch {
		case !known:
		case m.Request != nil:
			quotaRequestsOut.Inc()
			g.logSendError(g.fleet.SendTeamPermitRequest(to.PeerAddress, *m.Request))
		case m.Response != nil:
			quotaAnswersOut.Inc()
			quotaHandedOut.Add(countPermits(*m.Response))
			g.logSendError(g.fleet.SendTeamPermitResponse(to.PeerAddress, *m.Response))
		}
	}
}

// TeamPermitRequest implements port.FleetHandler.
func (h fleetHandler) TeamPermitRequest(from port.Sender, r ratelimit.Request) {
	h.gateway.mu.Lock()
	_, known := h.gateway.roster.Host(from.Host)
	h.gateway.mu.Unlock()
	if !known {
		// The response could not be sent, and its permits would be lost.
		return
	}
	q := h.gateway.quotas
	q.mu.Lock()
	response, ok := q.teams.ReceiveRequest(time.Now(), from.Host, r)
	q.mu.Unlock()
	if ok {
		q.send([]ratelimit.Message{{To: from.Host, Response: &response}})
	}
}

// TeamPermitResponse implements port.FleetHandler.
func (h fleetHandler) TeamPermitResponse(from port.Sender, r ratelimit.Response) {
	q := h.gateway.quotas
	quotaReceived.Add(countPermits(r))
	now := time.Now()
	q.mu.Lock()
	q.teams.ReceiveResponse(now, from.Host, from.Incarnation, r)
	messages := q.teams.Poll(now)
	q.mu.Unlock()
	q.send(messages)
}

// status returns the state of the quotas of teams with recent requests, and the number of those beyond
// maxStatusQuotas.
func (q *quotas) status() (list []adminapi.Quota, omitted int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	names := q.teams.Names()
	for _, name := range slices.Clip(names[:min(len(names), maxStatusQuotas)]) {
		s, ok := q.teams.Status(now, name)
		if !ok {
			continue
		}
		entry := adminapi.Quota{
			Team: string(name), RatePerSecond: s.Quota.RatePerSecond, Burst: s.Quota.Burst,
			Permits: s.Permits, Waiting: s.Waiting, Owner: string(s.Owner), UsedUp: s.Exhausted,
		}
		if s.Age >= 0 {
			age := s.Age.Seconds()
			entry.AnswerAgeSeconds = &age
		}
		entry.DeniedSeconds = secondsAboveZero(q.teams.DeniedFor(now, name))
		list = append(list, entry)
	}
	return list, max(0, len(names)-maxStatusQuotas)
}
