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

// TargetFaults are the gray failures of a target. Shares are from 0 to 1.
type TargetFaults struct {
	// ErrorShare answers with 500.
	ErrorShare float64 `json:"error_share"`
	// TimeoutShare never answers.
	TimeoutShare float64 `json:"timeout_share"`
	// TruncateShare announces a longer body than it sends.
	TruncateShare float64 `json:"truncate_share"`
	// SwapShare answers with the response of the request before.
	SwapShare float64 `json:"swap_share"`
	// SlowFactor multiplies the latency; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// OnlyHosts limits the faults to requests from these hosts, as named in
	// the Via header; empty means all.
	OnlyHosts []string `json:"only_hosts"`
	// ProbesFail makes probes fail too.
	ProbesFail bool `json:"probes_fail"`
	// Draining announces draining and refuses new work with 503.
	Draining bool `json:"draining"`
	// ReportedInFlight replaces the load report's value when set.
	ReportedInFlight *int `json:"reported_in_flight"`
}

// TargetConfig is the regular behaviour of a target.
type TargetConfig struct {
	Name string
	// Slots is the number of requests served at once; more wait up to Queue,
	// then are shed with 503.
	Slots       int
	QueueLength int
	// Latency is the median service time; Sigma spreads it lognormally.
	MedianLatency time.Duration
	LatencySigma  float64
	// ColdStart is the time after the start during which service takes three
	// times as long.
	ColdStart time.Duration
	// ReportLag is the age of the load report.
	ReportLag time.Duration
	Seed      uint64
}

// Target is a stand-in target.
type Target struct {
	cfg     TargetConfig
	started time.Time
	slots   chan struct{}

	mu        sync.Mutex
	rng       *rand.Rand
	faults    TargetFaults
	inFlight  int
	waiting   int
	reported  int
	reportAt  time.Time
	runs      map[string]int
	served    int
	previous  string
	previousN string
}

// NewTarget returns a target.
func NewTarget(cfg TargetConfig) *Target {
	return &Target{
		cfg:     cfg,
		started: time.Now(),
		slots:   make(chan struct{}, max(1, cfg.Slots)),
		rng:     rand.New(rand.NewPCG(cfg.Seed, 7)),
		runs:    map[string]int{},
	}
}

// RunKeyHeader names a request for the count of its executions.
const RunKeyHeader = "X-Run-Key"

// Handler returns the HTTP interface of the target.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", t.serveProbe)
	mux.HandleFunc("GET /load", t.serveLoad)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WriteProcessMetrics(w) })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		t.mu.Lock()
		defer t.mu.Unlock()
		writeJSON(w, map[string]any{"served": t.served, "runs": t.runs})
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
	mux.HandleFunc("/", t.serveWork)
	return mux
}

// SetFaults replaces the faults.
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

// Runs returns how often the request of a run key was executed.
func (t *Target) Executions(key string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[key]
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
	if now := time.Now(); now.Sub(t.reportAt) >= t.cfg.ReportLag {
		t.reported, t.reportAt = t.inFlight, now
	}
	n := t.reported
	if t.faults.ReportedInFlight != nil {
		n = *t.faults.ReportedInFlight
	}
	writeJSON(w, map[string]any{"in_flight": n, "slots": t.cfg.Slots, "draining": t.faults.Draining})
}

func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	f := t.currentFaults()
	if f.Draining {
		w.Header().Set("Sapphirehaven-Draining", "true")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "draining", http.StatusServiceUnavailable)
		return
	}
	if !t.takeSlot(r) {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer t.releaseSlot()
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	if !affects(f, r) {
		f = TargetFaults{}
	}
	if t.draw() < f.TimeoutShare {
		<-r.Context().Done()
		return
	}
	if !t.work(r, f) {
		return
	}
	t.countRun(r.Header.Get(RunKeyHeader))
	t.answer(w, r, f, size)
}

func affects(f TargetFaults, r *http.Request) bool {
	for _, host := range f.OnlyHosts {
		if strings.Contains(r.Header.Get("Via"), host) {
			return true
		}
	}
	return len(f.OnlyHosts) == 0
}

func (t *Target) takeSlot(r *http.Request) bool {
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

func (t *Target) draw() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rng.Float64()
}

// work waits for the service time and returns false when the caller is gone.
func (t *Target) work(r *http.Request, f TargetFaults) bool {
	t.mu.Lock()
	scale := math.Exp(t.cfg.LatencySigma * t.rng.NormFloat64())
	t.mu.Unlock()
	if f.SlowFactor > 0 {
		scale *= f.SlowFactor
	}
	if time.Since(t.started) < t.cfg.ColdStart {
		scale *= 3
	}
	wait := time.Duration(float64(t.cfg.MedianLatency) * scale)
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

func (t *Target) countRun(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served++
	if key != "" {
		t.runs[key]++
	}
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, f TargetFaults, size int64) {
	id := r.Header.Get("Sapphirehaven-Request-Id")
	body := fmt.Sprintf("%s answered %s %s (%d bytes) for %s\n", t.cfg.Name, r.Method, r.URL.Path, size, id)
	if n, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil && n > len(body) {
		body += string(bytes.Repeat([]byte("."), min(n, 64<<20)-len(body)))
	}
	t.mu.Lock()
	previousID, previous := t.previousN, t.previous
	t.previousN, t.previous = id, body
	t.mu.Unlock()
	if previous != "" && t.draw() < f.SwapShare {
		id, body = previousID, previous
	}
	if id != "" {
		w.Header().Set("Sapphirehaven-Request-Id", id)
	}
	if t.draw() < f.ErrorShare {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	if t.draw() < f.TruncateShare {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+10))
		_, _ = io.WriteString(w, body)
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}
