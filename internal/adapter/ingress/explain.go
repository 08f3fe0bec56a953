package ingress

import (
	"net/http"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
)

// Question describes a request whose routing is to be explained.
type Question struct {
	Method, Host string
	// Path is the path as a caller sends it. What follows a question mark is ignored.
	Path string
	// Team is the team whose key the request carries, nil if it carries none.
	Team *team.Team
}

// Match is how a request is routed, before a permit or a target is asked for.
type Match struct {
	// Active is nil if the host has no configuration.
	Active *ActiveConfig
	// CopyAge and CopyNewest are the state of the host's copy of the configuration, see KeyPolicy.
	CopyAge    time.Duration
	CopyNewest bool
	// Route, Service, Backend and Class are set as far as they are known.
	Route   *document.Route
	Service ident.ServiceName
	Backend *Backend
	Class   *document.Class
	// Team is the team of the request, nil if it needs no key or carries none.
	Team *team.Team
	// NeedsKey is set if the request needs the key of a team.
	NeedsKey bool
	// Request is the request as the dispatcher would see it. QuotaWait is the time for which it
	// would wait for a permit of its team.
	Request   dispatch.Request
	QuotaWait time.Duration
	// Problem is the response of the host if it would not pass the request on, nil otherwise.
	Problem *Problem
	// Draining is set if the host is stopping.
	Draining bool
}

// Explain returns how a request would be routed now. It uses the checks of newRequest, counts nothing
// and does not wait for a configuration.
func (s *Server) Explain(question Question) Match {
	m := Match{Active: s.active.Load(), Draining: s.drain.draining()}
	active := m.Active
	if active == nil {
		m.Problem = s.noConfiguration()
		return m
	}
	state := s.copyState(active)
	m.CopyAge, m.CopyNewest = state.age, state.newest
	path, _, _ := strings.Cut(question.Path, "?")
	m.Route = active.Routes.Lookup(question.Host, question.Method, path)
	if m.Route != nil && m.Route.Rejected() {
		m.Problem = rejectedRouteProblem(m.Route.Name)
		return m
	}
	if m.NeedsKey = needsKey(active, m.Route); m.NeedsKey {
		m.Team = question.Team
		m.Problem = s.checkTeam(active, question.Team != nil, question.Team)
	}
	if m.Route == nil {
		if m.Problem == nil {
			m.Problem = s.noRoute(active, noRouteDetail(question.Method, path, question.Host))
		}
		return m
	}
	m.Service = m.Route.Service
	if len(m.Route.Split) > 0 {
		m.Service = s.splitRouter.next(m.Route)
	}
	m.Backend = active.Backends[m.Service]
	if m.Backend == nil || m.Backend.Classes[m.Route.Class] == nil {
		return m
	}
	m.Class = m.Backend.Classes[m.Route.Class]
	s.explainRequest(&m)
	return m
}

// explainRequest sets the request as the dispatcher would see it, with the next free ID, which stays
// free.
func (s *Server) explainRequest(m *Match) {
	now := time.Now()
	q := &request{
		server: s, r: &http.Request{Header: http.Header{}}, active: m.Active, backend: m.Backend, class: m.Class,
		team: m.Team, id: ident.RequestID(s.lastID.Load() + 1), arrivedAt: now,
	}
	if problem := q.readDeadline(now); problem != nil {
		m.Problem = problem
		return
	}
	m.Request, m.QuotaWait = q.dispatchRequest(), q.quotaWait()
	// The ID that the caller gives to a request is not known.
	m.Request.Position = 0
	if m.Problem == nil && m.Draining {
		q.metrics = s.metrics.class(m.Service, m.Class.Name)
		if !s.drain.admits(now, q.timing()) {
			m.Problem = q.stoppingProblem()
		}
	}
}

// StatusOf returns the status with which the server sends a problem.
func (s *Server) StatusOf(p *Problem) int {
	if s.cfg.Dialect.StatusImpliesOutcome {
		return statusForOutcome(p)
	}
	return p.Status
}
