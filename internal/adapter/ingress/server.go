package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/serving"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"github.com/sapphirehaven/sapphirehaven/internal/engine"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/requestlog"
)

// Members tells which hosts can serve callers.
type Members interface {
	// Answer returns the hosts that a caller at a location should use for a
	// service with serving sets of a size, in order of preference. It is never
	// empty.
	Answer(service ident.ServiceName, size int, at ident.Location) []port.Host
	// Location returns the location of a zone that has serving hosts.
	Location(zone ident.Zone) (ident.Location, bool)
}

// Config holds what a Server needs.
type Config struct {
	Host ident.HostID
	// Incarnation makes request IDs unique over the lives of a host.
	Incarnation ident.Incarnation
	Location    ident.Location
	// CallerAddress is the address of this host in address answers.
	CallerAddress string
	// AddressMaxAge is how long a caller may keep an address answer.
	AddressMaxAge time.Duration
	Transport     *target.Transport
	// Members and Tickets serve the product's own resources; without Members the
	// host has none, and their paths are routed like all others.
	Members  Members
	Tickets  Tickets
	Recorder engine.Recorder
	// Dialect is what callers speak; default the product's own.
	Dialect dialect.Dialect
	// Log, if set, gets a line for each decision about a request.
	Log *requestlog.Log
	// StartWait is how long a request waits for the first configuration of a host
	// that has just started; default 0.
	InitialConfigWait time.Duration
	// WriteTimeout is the longest time in which a caller may accept no 64 KiB
	// of its response; default 30 s.
	WriteTimeout time.Duration
}

// ownPrefix is the path below which the host answers itself.
const ownPrefix = "/.sapphirehaven/v1/"

// Server serves callers. It is safe for concurrent use.
type Server struct {
	events *problemEvents
	cfg    Config
	active atomic.Pointer[ActiveConfig]
	// activated is closed when the first configuration is in force.
	activated     chan struct{}
	activatedOnce sync.Once
	draining      atomic.Bool
	inFlight      atomic.Int64
	arrived       atomic.Uint64
	lastID        atomic.Uint64
	metrics       *serverMetrics
	splits        *splits
	// via and idPrefix are parts of every request to a target.
	via, idPrefix string
}

// New returns a server without a configuration; it refuses requests until
// Activate is called.
func New(cfg Config) *Server {
	if cfg.WriteTimeout <= 0 {
		cfg.WriteTimeout = defaultWriteTimeout
	}
	if cfg.Dialect == (dialect.Dialect{}) {
		cfg.Dialect = dialect.Native()
	}
	s := &Server{cfg: cfg, events: newProblemEvents(cfg.Recorder), metrics: newServerMetrics(), splits: newSplits(cfg.Host), activated: make(chan struct{})}
	if cfg.Dialect.Via {
		s.via = "1.1 " + string(cfg.Host)
	}
	s.idPrefix = fmt.Sprintf("%s-%x-", cfg.Host, uint64(cfg.Incarnation))
	s.metrics.set.RegisterMetricsWriter(s.writeMetrics)
	return s
}

// Activate puts a configuration in force for requests that arrive from now on.
func (s *Server) Activate(a *ActiveConfig) {
	s.active.Store(a)
	s.activatedOnce.Do(func() { close(s.activated) })
}

// awaitActive returns the configuration in force, nil if there is none after
// Config.StartWait.
func (s *Server) awaitActive(ctx context.Context) *ActiveConfig {
	if a := s.active.Load(); a != nil || s.cfg.InitialConfigWait <= 0 {
		return a
	}
	timer := time.NewTimer(s.cfg.InitialConfigWait)
	defer timer.Stop()
	select {
	case <-s.activated:
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.active.Load()
}

// Active returns the configuration in force, or nil.
func (s *Server) ActiveConfig() *ActiveConfig { return s.active.Load() }

// Drain makes the server close each caller's connection after its response.
func (s *Server) Drain() { s.draining.Store(true) }

// InFlight returns the number of requests that are being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Requests returns the number of requests that arrived so far.
func (s *Server) TotalRequests() uint64 { return s.arrived.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	s.arrived.Add(1)
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	w := newCallerWriter(response, r, s.cfg.WriteTimeout)
	defer w.close()
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.ProtoMajor == 1 && r.ProtoMinor == 0 {
		// An HTTP/1.0 caller could not tell a truncated response from a
		// complete one.
		s.refuse(w, s.undecided(notRun(http.StatusHTTPVersionNotSupported, "http_version", "HTTP/1.1 is required"), r))
		return
	}
	if name, ok := strings.CutPrefix(r.URL.Path, ownPrefix); ok && s.cfg.Members != nil {
		s.serveOwn(w, r, name)
		return
	}
	if problem := s.serveRequest(w, r, w); problem != nil {
		id := w.Header().Get(s.cfg.Dialect.RequestID)
		s.events.note(problem, id)
		s.logProblem(problem, id)
		s.refuse(w, problem)
	}
}

// refuse sends a problem and counts it.
func (s *Server) refuse(w http.ResponseWriter, problem *Problem) {
	s.metrics.refused(problem)
	problem.write(w, &s.cfg.Dialect)
}

func (s *Server) serveOwn(w http.ResponseWriter, r *http.Request, name string) {
	switch name {
	case "addresses":
		s.serveAddresses(w, r)
	case "tickets":
		s.serveTickets(w, r)
	default:
		s.refuse(w, notRun(http.StatusNotFound, "unknown_resource", "the host has no resource "+ownPrefix+name))
	}
}

// ServingHosts returns the members in the form that the core uses.
func ServingHosts(members []port.Host) []serving.Host {
	hosts := make([]serving.Host, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, serving.Host{ID: m.ID, Location: m.Location})
	}
	return hosts
}
