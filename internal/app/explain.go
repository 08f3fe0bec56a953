package app

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/ingress"
	"github.com/sapphirehaven/sapphirehaven/internal/adminapi"
	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/schedule"
	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
)

// maxExplainedTargets bounds the targets in an explanation.
const maxExplainedTargets = 500

// explainer explains requests on a host.
type explainer struct {
	server      *ingress.Server
	host        ident.HostID
	location    ident.Location
	activatedAt time.Time
	// targetsAge returns the time since the store last confirmed the configuration and the targets. It
	// is nil with a log service.
	targetsAge func() time.Duration
	// predictQuota returns the state of the quota of a team and what a request would get that waits
	// for a permit for at most maxWait; the error is set if it would be refused. It is nil without
	// quotas.
	predictQuota func(t *team.Team, maxWait time.Duration) (*adminapi.ExplainedQuota, *ingress.QuotaError)
}

// Explain implements admin.Host.
func (g *Gateway) Explain(q adminapi.Question) adminapi.Explanation {
	e := explainer{
		server: g.ingress, host: g.settings.Host, location: g.settings.Location,
		activatedAt: time.UnixMicro(g.activatedAt.Load()).UTC(), targetsAge: func() time.Duration { return g.replica.State().Age }, predictQuota: g.quotas.predict,
	}
	return e.explain(q)
}

// Explain implements admin.Host.
func (h *Host) Explain(q adminapi.Question) adminapi.Explanation {
	e := explainer{server: h.ingress, host: ident.HostID(h.settings.HostID), location: h.location, activatedAt: time.UnixMicro(h.activatedAt.Load()).UTC()}
	return e.explain(q)
}

func (x *explainer) explain(q adminapi.Question) adminapi.Explanation {
	out := adminapi.Explanation{
		Host: string(x.host), Region: string(x.location.Region), Zone: string(x.location.Zone), At: time.Now().UTC(),
		Method: q.Method, Path: q.Path, HostName: q.HostName,
	}
	var known *team.Team
	if active := x.server.ActiveConfig(); active != nil && active.Teams != nil && q.Team != "" {
		known = active.Teams.Find(ident.TeamName(q.Team))
	}
	m := x.server.Explain(ingress.Question{Method: q.Method, Host: q.HostName, Path: q.Path, Team: known})
	out.Draining = m.Draining
	if m.Active == nil {
		x.refuse(&out, m.Problem)
		return out
	}
	out.Configuration = x.configuration(&m)
	out.Route = explainedRoute(&m)
	if q.Team != "" && known == nil {
		// The name is not repeated: it could be a key that was given by mistake.
		out.Outcome, out.Reason = adminapi.OutcomeUnknown, adminapi.ReasonUnknownTeam
		out.Detail = "the configuration contains no team of the given name"
		return out
	}
	if known != nil {
		out.Team = &adminapi.ExplainedTeam{Name: string(known.Name), Priority: known.Priority}
	}
	if m.Class != nil {
		out.Class = explainedClass(m.Class)
		x.explainService(&out, &m)
	}
	if m.Problem != nil {
		x.refuse(&out, m.Problem)
	}
	return out
}

// refuse sets the outcome to the response of the host itself.
func (x *explainer) refuse(out *adminapi.Explanation, p *ingress.Problem) {
	out.Outcome, out.Reason, out.Status, out.Detail = adminapi.OutcomeRefused, p.Type, x.server.StatusOf(p), p.Detail
	out.RetryAfterSeconds = secondsAboveZero(p.RetryAfter)
	if out.Configuration == nil {
		return
	}
	if out.Route == nil && x.server.ActiveConfig().Routes.HasHostRoutes() && out.HostName == "" {
		out.Detail += "; routes of this configuration name hosts, and the question has no host name"
	}
}

func (x *explainer) configuration(m *ingress.Match) *adminapi.ExplainedConfiguration {
	c := &adminapi.ExplainedConfiguration{Revision: m.Active.Revision, InForceAt: x.activatedAt}
	if x.targetsAge != nil {
		c.ConfirmedAgeSeconds, c.Newest, c.TargetsAgeSeconds = seconds(m.CopyAge), &m.CopyNewest, seconds(x.targetsAge())
	}
	return c
}

func explainedRoute(m *ingress.Match) *adminapi.ExplainedRoute {
	r := m.Route
	if r == nil {
		return nil
	}
	out := &adminapi.ExplainedRoute{Name: r.Name, HostName: r.Host, PathPrefix: r.PathPrefix, Methods: r.Methods, Anonymous: r.Anonymous, Service: string(m.Service)}
	if len(r.Split) > 0 {
		out.Split = map[string]int{}
		for _, share := range r.Split {
			out.Split[string(share.Service)] = share.Weight
		}
	}
	return out
}

func explainedClass(c *document.Class) *adminapi.ExplainedClass {
	kind := "unsafe"
	switch {
	case c.LargeResponses:
		kind = "download"
	case c.LargeBodies || c.Upload != nil:
		kind = "upload"
	case c.Idempotent:
		kind = "safe"
	}
	return &adminapi.ExplainedClass{
		Name: string(c.Name), Kind: kind, Idempotent: c.Idempotent, Priority: c.Priority, MaxAttempts: c.MaxAttempts,
		DeadlineSeconds: time.Duration(c.Deadline).Seconds(), TimeoutSeconds: time.Duration(c.Timeout).Seconds(),
		ObjectiveSeconds: time.Duration(c.Objective).Seconds(),
	}
}

// explainService sets what happens to a request that the ingress passes on.
func (x *explainer) explainService(out *adminapi.Explanation, m *ingress.Match) {
	e, forecast := m.Backend.Engine.Explain(m.Request)
	if !forecast {
		explainDrawn(out, m)
	} else {
		explainScheduled(out, m, &e)
	}
	if m.Team == nil || !m.Team.Quota.Limited() || x.predictQuota == nil {
		return
	}
	quota, denied := x.predictQuota(m.Team, m.QuotaWait)
	out.Team.Quota = quota
	switch {
	case denied != nil:
		x.refuse(out, ingress.QuotaProblem(denied))
	case quota.Decision == quotaWaitsText:
		setOutcome(out, adminapi.OutcomeWaits, adminapi.ReasonWaitsQuota, "the request waits for a permit of the owner of the quota")
	}
}

func setOutcome(out *adminapi.Explanation, outcome, reason, detail string) {
	out.Outcome, out.Reason, out.Detail, out.Status, out.RetryAfterSeconds = outcome, reason, detail, 0, nil
}

// refusalDetails say why a service refuses a request.
var refusalDetails = map[dispatch.RefuseReason]string{
	dispatch.QueueFull:        "no target has a free slot, and the queue of this host is full",
	dispatch.DeadlineTooShort: "the request cannot be served before its deadline",
	dispatch.NoTarget:         "no target of the service can take requests",
	dispatch.RateLimited:      "the rates that the targets state leave no room for the request before its deadline",
	dispatch.TargetsPaused:    "all targets asked for no requests for a time, and the first pause ends too late",
	dispatch.CapacityShort:    "capacity is short in the whole fleet, which admits only a part of these requests",
}

// explainScheduled sets what the scheduler of the service would do.
func explainScheduled(out *adminapi.Explanation, m *ingress.Match, e *schedule.Explanation) {
	out.Class.ServiceTimeSeconds, out.Class.ServiceTimeAgeSeconds = e.ServiceTime.Seconds(), seconds(e.SinceServiceTime)
	out.Admission = explainedAdmission(&e.Admission)
	out.Zones = explainedZones(e)
	out.Queue = &adminapi.ExplainedQueue{
		Waiting: e.Waiting, Length: e.QueueLength, Position: e.QueuePosition, WaitSeconds: e.Wait.Seconds(), Capacity: e.Capacity,
		Retryable: e.Retryable, RetriesLeft: e.Retries,
		FloorActive: e.Floor.Active, HealthyTargets: e.Floor.Healthy, UsedTargets: e.Floor.Used,
	}
	slices.SortStableFunc(e.Targets, func(a, b schedule.TargetExplanation) int {
		return cmp.Or(boolOrder(a.Chosen, b.Chosen), boolOrder(a.State == schedule.TargetFree, b.State == schedule.TargetFree), cmp.Compare(a.Cost.Total, b.Cost.Total))
	})
	for i := range e.Targets[:min(maxExplainedTargets, len(e.Targets))] {
		out.Targets = append(out.Targets, explainedTarget(&e.Targets[i]))
	}
	out.TargetsOmitted = len(e.Targets) - len(out.Targets)
	switch {
	case e.Refuse != nil:
		detail := refusalDetails[e.Refuse.Reason]
		if len(e.Targets) == 0 {
			detail = "no target of service " + string(m.Service) + " is registered"
		}
		setOutcome(out, adminapi.OutcomeRefused, string(e.Refuse.Reason), detail)
		out.Status, out.RetryAfterSeconds = http.StatusServiceUnavailable, secondsAboveZero(e.Refuse.RetryAfter)
	case e.Start != nil:
		out.Outcome, out.Target, out.Zones.Leaves = adminapi.OutcomeSent, string(e.Start.Target), e.Start.Selection.Leaves.String()
		if e.Start.Selection.KeepsFloor {
			out.Detail = "the target is used to keep enough targets in use"
		}
	default:
		setOutcome(out, adminapi.OutcomeWaits, adminapi.ReasonWaitsSlot, "the request waits for a slot")
	}
}

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// explainDrawn sets the state of a service whose dispatcher draws targets at random, which is not done
// for an explanation: it would change the later draws.
func explainDrawn(out *adminapi.Explanation, m *ingress.Match) {
	service, targets := m.Backend.Engine.Status()
	out.Queue = &adminapi.ExplainedQueue{Waiting: service.Waiting, Length: service.QueueLength, RetriesLeft: service.RetriesLeft}
	for _, c := range service.Classes {
		if c.Class == m.Class.Name {
			out.Class.ServiceTimeSeconds, out.Queue.Capacity = c.ServiceTime.Seconds(), c.Capacity
		}
	}
	for _, t := range targets[:min(maxExplainedTargets, len(targets))] {
		out.Targets = append(out.Targets, adminapi.ExplainedTarget{
			Name: string(t.Target), Region: string(m.Backend.Targets[t.Target].Region), State: t.State.String(),
			InFlight: t.InFlight, OtherLoad: t.OtherLoad, FreeSlots: max(0, t.Limit-t.InFlight), Weight: t.Weight, Score: t.Score,
		})
	}
	out.TargetsOmitted = len(targets) - len(out.Targets)
	detail := "the service draws among its targets at random, by weight and load; their state is shown"
	if len(targets) == 0 {
		detail = "service " + string(m.Service) + " has no targets"
	}
	setOutcome(out, adminapi.OutcomeUnknown, adminapi.ReasonNoForecast, detail)
}
