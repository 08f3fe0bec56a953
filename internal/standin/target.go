package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// TargetFaults configures the gray failures of a target. Shares are fractions of
// requests, from 0 to 1.
type TargetFaults struct {
	// ErrorShare is the share of requests that get a 500 response.
	ErrorShare float64 `json:"error_share"`
	// TimeoutShare is the share of requests that get no response.
	TimeoutShare float64 `json:"timeout_share"`
	// TruncateShare is the share of responses whose body is shorter than their
	// Content-Length.
	TruncateShare float64 `json:"truncate_share"`
	// SwapShare is the share of requests that get the response to the preceding
	// request.
	SwapShare float64 `json:"swap_share"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// OnlyHosts limits the faults to requests whose Via header names one of these
	// hosts; empty means all requests.
	OnlyHosts []string `json:"only_hosts"`
	// ProbesFail makes health probes fail.
	ProbesFail bool `json:"probes_fail"`
	// Draining announces draining and rejects requests with 503.
	Draining bool `json:"draining"`
	// ReportedInFlight overrides the in-flight count in the load report.
	ReportedInFlight *int `json:"reported_in_flight"`
}

// TargetConfig configures the behaviour of a target without faults.
type TargetConfig struct {
	Name string
	// Slots is the number of requests served concurrently. Up to QueueLength
	// more wait; the rest are shed with 503.
	Slots       int
	QueueLength int
	// MedianLatency is the median of the lognormal service time and LatencySigma
	// its shape parameter.
	MedianLatency time.Duration
	LatencySigma  float64
	// ColdStart is the period after startup during which the service time is
	// tripled.
	ColdStart time.Duration
	// ReportLag is the interval between updates of the load report.
	ReportLag time.Duration
	Seed      uint64
}

// Target is a simulated target.
type Target struct {
	cfg     TargetConfig
	started time.Time
	slots   chan struct{}

	mu                sync.Mutex
	rng               *rand.Rand
	faults            TargetFaults
	inFlight          int
	waiting           int
	reported          int
	reportedAt        time.Time
	executions        map[string]int
	served            int
	previousBody      string
	previousRequestID string
}

// NewTarget returns a target with at least one slot and no faults; its cold start begins now.
func NewTarget(cfg TargetConfig) *Target {
	return &Target{
		cfg:        cfg,
		started:    time.Now(),
		slots:      make(chan struct{}, max(1, cfg.Slots)),
		rng:        rand.New(rand.NewPCG(cfg.Seed, 7)),
		executions: map[string]int{},
	}
}

// RunKeyHeader carries the key under which executions of a request are counted.
const RunKeyHeader = "X-Run-Key"

// Handler returns the HTTP handler of the target.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", t.serveProbe)
	mux.HandleFunc("GET /load", t.serveLoad)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WriteProcessMetrics(w) })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		t.mu.Lock()
		defer t.mu.Unlock()
		writeJSON(w, map[string]any{"served": t.served, "runs": t.executions})
	})
	mux.HandleFunc("GET "+FaultPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, t.currentFaults()) })
	mux.HandleFunc("PUT "+FaultPath, func(w http.ResponseWriter, r *http.Request) {
		var f TargetFaults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetFaults(f)
	})
	mux.HandleFunc("/", t.serveRequest)
	return mux
}

// SetFaults replaces the configured faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

func (t *Target) currentFaults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Executions returns how many requests with the run key were executed.
func (t *Target) Executions(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executions[key]
}

func (t *Target) serveProbe(w http.ResponseWriter, _ *http.Request) {
	f := t.currentFaults()
	if f.ProbesFail || f.Draining {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
	}
}

func (t *Target) serveLoad(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := time.Now(); now.Sub(t.reportedAt) >= t.cfg.ReportLag {
		t.reported, t.reportedAt = t.inFlight, now
	}
	n := t.reported
	if t.faults.ReportedInFlight != nil {
		n = *t.faults.ReportedInFlight
	}
	writeJSON(w, map[string]any{"in_flight": n, "slots": t.cfg.Slots, "draining": t.faults.Draining})
}

func (t *Target) serveRequest(w http.ResponseWriter, r *http.Request) {
	f := t.currentFaults()
	if f.Draining {
		w.Header().Set("Sapphirehaven-Draining", "true")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if !t.acquireSlot(r) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer t.releaseSlot()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if !faultsApply(f, r) {
		f = TargetFaults{}
	}
	if t.randomFloat() < f.TimeoutShare {
		<-r.Context().Done()
		return
	}
	if !t.simulateService(r, f) {
		return
	}
	t.countExecution(r.Header.Get(RunKeyHeader))
	t.respond(w, r, f, size)
}

func faultsApply(f TargetFaults, r *http.Request) bool {
	for _, host := range f.OnlyHosts {
		if strings.Contains(r.Header.Get("Via"), host) {
			return true
		}
	}
	return len(f.OnlyHosts) == 0
}

func (t *Target) acquireSlot(r *http.Request) bool {
	select {
	case t.slots <- struct{}{}:
		t.addInFlight(1)
		return true
	default:
	}
	t.mu.Lock()
	if t.waiting >= t.cfg.QueueLength {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.waiting--
		t.mu.Unlock()
	}()
	select {
	case t.slots <- struct{}{}:
		t.addInFlight(1)
		return true
	case <-r.Context().Done():
		return false
	}
}

func (t *Target) releaseSlot() {
	t.addInFlight(-1)
	<-t.slots
}

func (t *Target) addInFlight(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight += n
}

func (t *Target) randomFloat() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64()
}

// simulateService waits for the service time. It returns false when the request
// is canceled first.
func (t *Target) simulateService(r *http.Request, f TargetFaults) bool {
	t.mu.Lock()
	factor := math.Exp(t.cfg.LatencySigma * t.rng.NormFloat64())
	t.mu.Unlock()
	if f.SlowFactor > 0 {
		factor *= f.SlowFactor
	}
	if time.Since(t.started) < t.cfg.ColdStart {
		factor *= 3 // see ColdStart
	}
	wait := time.Duration(float64(t.cfg.MedianLatency) * factor)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (t *Target) countExecution(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served++
	if key != "" {
		t.executions[key]++
	}
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, f TargetFaults, size int64) {
	id := r.Header.Get("Sapphirehaven-Request-Id")
	body := fmt.Sprintf("%s answered %s %s (%d bytes) for %s\n", t.cfg.Name, r.Method, r.URL.Path, size, id)
	if n, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil && n > len(body) {
		body += string(bytes.Repeat([]byte("."), min(n, 64<<20)-len(body)))
	}
	t.mu.Lock()
	previousID, previousBody := t.previousRequestID, t.previousBody
	t.previousRequestID, t.previousBody = id, body
	t.mu.Unlock()
	if previousBody != "" && t.randomFloat() < f.SwapShare {
		id, body = previousID, previousBody
	}
	if id != "" {
		w.Header().Set("Sapphirehaven-Request-Id", id)
	}
	if t.randomFloat() < f.ErrorShare {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if t.randomFloat() < f.TruncateShare {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+10))
		_, _ = io.WriteString(w, body)
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}
