package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
	"github.com/sapphirehaven/sapphirehaven/internal/core/team"
)

// KeyPolicy defines how the keys of teams are checked. The zero value takes the host's copy of
// the configuration for current.
type KeyPolicy struct {
	// CopyAge returns the time since the store last confirmed the host's copy of the
	// configuration, and whether the host knows of none newer than the one with a revision.
	// If nil, the copy is always current.
	CopyAge func(revision uint64) (age time.Duration, newest bool)
	// MaxAge is the age up to which the copy counts as current: only then does the host
	// know that a key or a route does not exist.
	MaxAge time.Duration
	// StrictRevoke is set if known keys are accepted only up to an age of RevokeAge, since
	// they may have been revoked.
	StrictRevoke bool
	RevokeAge    time.Duration
}

// Types of the problems of requests that need a key.
const (
	problemNoKey         = "key_missing"
	problemUnknownKey    = "key_unknown"
	problemStaleCopy     = "configuration_stale"
	problemRejectedRoute = "route_rejected"
	problemRejectedTeam  = "team_rejected"
)

const (
	// staleRetryAfter is the time after which a request is worth another try when the copy
	// of the configuration is out of date. The coordinator confirms copies each 0.7 s.
	staleRetryAfter = 700 * time.Millisecond
	// rejectedRetryAfter is the same for what this host does not understand. Another host
	// may understand it while hosts are being upgraded.
	rejectedRetryAfter = time.Second
)

// bearerScheme is the authentication scheme of keys (RFC 6750).
const bearerScheme = "Bearer"

// takeKey returns the key of a request, empty if it has none, and removes the headers of keys
// and teams from the request, so that neither is forwarded or logged. Without teams in the
// configuration they are headers like any other.
func (s *Server) takeKey(active *ActiveConfig, r *http.Request) string {
	if active.Teams == nil {
		return ""
	}
	d := &s.cfg.Dialect
	values := r.Header[d.Authorization]
	delete(r.Header, d.Authorization)
	delete(r.Header, d.Team)
	if d.Authorization == "" || len(values) != 1 {
		// Of several values it is not known which one the caller means.
		return ""
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, bearerScheme) {
		return ""
	}
	return strings.Trim(key, " ")
}

// needsKey reports whether a request needs the key of a team. One without a route needs it: it is on
// no anonymous route.
func needsKey(active *ActiveConfig, matched *document.Route) bool {
	return active.Teams != nil && (matched == nil || !matched.Anonymous)
}

// authenticate returns the team of a request, nil if the request needs no key.
func (s *Server) authenticate(active *ActiveConfig, matched *document.Route, key string) (*team.Team, *Problem) {
	if !needsKey(active, matched) {
		return nil, nil
	}
	var holder *team.Team
	if key != "" {
		holder = active.Teams.Lookup(key)
	}
	if problem := s.checkTeam(active, key != "", holder); problem != nil {
		return nil, problem
	}
	return holder, nil
}

// checkTeam returns the problem of a request that needs a key, nil if it may be served. t is the team
// that holds its key, nil if none does.
func (s *Server) checkTeam(active *ActiveConfig, hasKey bool, t *team.Team) *Problem {
	if s.cfg.Keys.StrictRevoke {
		if state := s.copyState(active); state.age > s.cfg.Keys.RevokeAge {
			return staleProblem("the host cannot tell that no key was revoked", state)
		}
	}
	switch {
	case !hasKey:
		return s.missing(active, keyProblem(problemNoKey, "the request has no key of a team"))
	case t == nil:
		return s.missing(active, keyProblem(problemUnknownKey, "the key of the request belongs to no team"))
	case t.Rejected:
		return unavailableProblem(problemRejectedTeam, fmt.Sprintf("this host does not understand the definition of team %s", t.Name), rejectedRetryAfter)
	}
	return nil
}

func keyProblem(name, detail string) *Problem {
	p := notRunProblem(http.StatusUnauthorized, name, detail)
	p.NeedsKey = true
	return p
}

// missing returns the problem of a request whose key or route is not in the configuration. A
// caller does not repeat the request after it, so it is only sent if the configuration is
// known to be current.
func (s *Server) missing(active *ActiveConfig, p *Problem) *Problem {
	state := s.copyState(active)
	if state.age > s.cfg.Keys.MaxAge || !state.newest {
		return staleProblem(p.Detail+", but the host cannot tell that its configuration is current", state)
	}
	p.copy = state
	return p
}

// noRoute returns the problem of a request without a route. Without teams, it does not depend
// on the age of the configuration.
func (s *Server) noRoute(active *ActiveConfig, detail string) *Problem {
	p := notRunProblem(http.StatusNotFound, problemNoRoute, detail)
	if active.Teams == nil {
		return p
	}
	return s.missing(active, p)
}

func staleProblem(detail string, state *copyState) *Problem {
	p := unavailableProblem(problemStaleCopy, detail, staleRetryAfter)
	p.copy = state
	return p
}

func rejectedRouteProblem(name string) *Problem {
	p := unavailableProblem(problemRejectedRoute, fmt.Sprintf("this host does not understand the definition of route %s", name), rejectedRetryAfter)
	p.matched.route = name
	return p
}

func (s *Server) copyState(active *ActiveConfig) *copyState {
	if s.cfg.Keys.CopyAge == nil {
		return &copyState{newest: true}
	}
	age, newest := s.cfg.Keys.CopyAge(active.Revision)
	return &copyState{age: age, newest: newest}
}

// teamName returns the name of the caller's team, empty if the request needs no key.
func (q *request) teamName() string {
	if q.team == nil {
		return ""
	}
	return string(q.team.Name)
}
