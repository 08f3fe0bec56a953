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
	"github.com/sapphirehaven/sapphirehaven/internal/core/membudget"
	"github.com/sapphirehaven/sapphirehaven/internal/core/serving"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"github.com/sapphirehaven/sapphirehaven/internal/engine"
	"github.com/sapphirehaven/sapphirehaven/internal/port"
	"github.com/sapphirehaven/sapphirehaven/internal/requestlog"
)

// Members selects the hosts that serve callers.
type Members interface {
	// HostsFor returns the hosts that a caller at a location should use for a
	// service whose serving set has the given size, in order of preference. The
	// result is never empty.
	HostsFor(service ident.ServiceName, size int, at ident.Location) []port.Host
	// Location returns the location of a zone that has serving hosts.
	Location(zone ident.Zone) (ident.Location, bool)
}

// Config is the configuration of a Server.
type Config struct {
	Host ident.HostID
	// Incarnation makes request IDs unique across the incarnations of a host.
	Incarnation ident.Incarnation
	Location    ident.Location
	// CallerAddress is the address of this host in address responses.
	CallerAddress string
	// AddressMaxAge is how long a caller may cache an address response.
	AddressMaxAge time.Duration
	Transport     *target.Transport
	// Members and Tickets serve the API under apiPrefix. If Members is nil, the API
	// is disabled and its paths are routed like all others.
	Members  Members
	Tickets  Tickets
	Recorder engine.Recorder
	// Dialect defines the headers exchanged with callers; default: the product's own
	// dialect.
	Dialect dialect.Dialect
	// Keys defines how the keys of teams are checked.
	Keys KeyPolicy
	// Quotas, if set, limits the requests of teams.
	Quotas TeamQuotas
	// Log, if set, receives a line for each attempt and each problem.
	Log *requestlog.Log
	// InitialConfigWait is how long a request waits for the first configuration
	// after the start of the host; default 0.
	InitialConfigWait time.Duration
	// AwaitSignals, if set, waits until the process has handled the signals that arrived before now, such as
	// that to stop. It is called before a request is passed on.
	AwaitSignals func()
	// ResponseBufferBytes bounds the memory for responses that are kept until they are
	// complete, of all requests together; default 32 MiB. A response that finds no room is
	// forwarded while it arrives.
	ResponseBufferBytes int64
	// Memory is the budget of what the host holds for callers; default: one of defaultMemoryBytes.
	Memory *membudget.Budget
	// WriteTimeout is the time within which a caller must accept 64 KiB of its
	// response; default 30 s.
	WriteTimeout time.Duration
}

// defaultMemoryBytes is the size of the default of Config.Memory. No ordinary load reaches it; a host that
// knows the memory of its process has a smaller budget.
const defaultMemoryBytes = 1 << 30

// apiPrefix is the path prefix of the resources served by the host itself.
const apiPrefix = "/.sapphirehaven/v1/"

// Server serves callers. It is safe for concurrent use.
type Server struct {
	events *problemEvents
	cfg    Config
	active atomic.Pointer[ActiveConfig]
	// activated is closed when the first configuration is activated.
	activated     chan struct{}
	activatedOnce sync.Once
	drain         *drain
	inFlight      atomic.Int64
	requestCount  atomic.Uint64
	byteCount     atomic.Uint64
	lastID        atomic.Uint64
	metrics       *serverMetrics
	buffers       *bufferBudget
	memory        *membudget.Budget
	segments      segmentPool
	splitRouter   *splitRouter
	// via is the Via header of requests to targets; idPrefix is the prefix of
	// generated request IDs.
	via, idPrefix string
}

// New returns a server without a configuration. It rejects requests until
// Activate is called.
func New(cfg Config) *Server {
	if cfg.WriteTimeout <= 0 {
		cfg.WriteTimeout = defaultWriteTimeout
	}
	if cfg.ResponseBufferBytes <= 0 {
		cfg.ResponseBufferBytes = defaultResponseBufferBytes
	}
	if cfg.Memory == nil {
		cfg.Memory = membudget.New(membudget.DefaultConfig(defaultMemoryBytes))
	}
	if cfg.Dialect == (dialect.Dialect{}) {
		cfg.Dialect = dialect.Native()
	}
	s := &Server{cfg: cfg, events: newProblemEvents(cfg.Recorder), metrics: newServerMetrics(), buffers: &bufferBudget{size: cfg.ResponseBufferBytes, memory: cfg.Memory}, memory: cfg.Memory, segments: segmentPool{memory: cfg.Memory}, splitRouter: newSplitRouter(cfg.Host), activated: make(chan struct{}), drain: newDrain()}
	if cfg.Dialect.Via {
		s.via = "1.1 " + string(cfg.Host)
	}
	s.idPrefix = fmt.Sprintf("%s-%x-", cfg.Host, uint64(cfg.Incarnation))
	s.metrics.set.RegisterMetricsWriter(s.writeMetrics)
	return s
}

// Activate sets the configuration for all requests that arrive from now on.
func (s *Server) Activate(a *ActiveConfig) {
	s.active.Store(a)
	s.activatedOnce.Do(func() { close(s.activated) })
}

// awaitConfig returns the current configuration. If there is none yet, it waits
// up to Config.InitialConfigWait and then returns nil.
func (s *Server) awaitConfig(ctx context.Context) *ActiveConfig {
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

// ActiveConfig returns the current configuration, or nil if there is none yet.
func (s *Server) ActiveConfig() *ActiveConfig { return s.active.Load() }

// Memory returns the budget of what the host holds for callers.
func (s *Server) Memory() *membudget.Budget { return s.memory }

// InFlight returns the number of requests currently being served.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// TotalRequests returns the number of requests received since the start.
func (s *Server) TotalRequests() uint64 { return s.requestCount.Load() }

// TotalBytes returns the number of bytes exchanged with targets since the start.
func (s *Server) TotalBytes() uint64 { return s.byteCount.Load() }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(response http.ResponseWriter, r *http.Request) {
	s.requestCount.Add(1)
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	w := newCallerWriter(response, r, s.cfg.WriteTimeout)
	defer w.limitBodyDrain(r)
	if s.drain.draining() {
		w.Header().Set("Connection", "close")
	}
	if r.ProtoMajor == 1 && r.ProtoMinor == 0 {
		// An HTTP/1.0 caller can't distinguish a truncated response from a complete
		// one.
		s.writeProblem(w, s.markOutcomeUnknown(notRunProblem(http.StatusHTTPVersionNotSupported, "http_version", "HTTP/1.1 is required"), r))
		return
	}
	if name, ok := strings.CutPrefix(sentPath(r), apiPrefix); ok && s.cfg.Members != nil {
		s.serveAPI(w, r, name)
		return
	}
	release := s.reserveRequest()
	if release == nil {
		s.writeProblem(w, s.markOutcomeUnknown(requestsFullProblem(), r))
		return
	}
	defer release()
	if problem := s.serveRequest(w, r, w); problem != nil {
		id := w.Header().Get(s.cfg.Dialect.RequestID)
		if id == "" && s.cfg.Dialect.KeepCallerRequestID {
			// The request was refused before its ID was needed.
			id = r.Header.Get(s.cfg.Dialect.RequestID)
		}
		s.events.add(problem, id)
		s.logProblem(problem, id)
		s.writeProblem(w, problem)
	}
}

// writeProblem sends a problem to the caller and counts it.
func (s *Server) writeProblem(w http.ResponseWriter, problem *Problem) {
	s.metrics.countRefusal(problem)
	problem.write(w, &s.cfg.Dialect)
}

func (s *Server) serveAPI(w http.ResponseWriter, r *http.Request, name string) {
	switch name {
	case "addresses":
		s.serveAddresses(w, r)
	case "tickets":
		s.serveTickets(w, r)
	default:
		s.writeProblem(w, notRunProblem(http.StatusNotFound, "unknown_resource", "the host has no resource "+apiPrefix+name))
	}
}

// ToServingHosts converts hosts to the type used by the serving package.
func ToServingHosts(members []port.Host) []serving.Host {
	hosts := make([]serving.Host, 0, len(members))
	for _, m := range members {
		hosts = append(hosts, serving.Host{ID: m.ID, Location: m.Location})
	}
	return hosts
}
