// Package loadgen measures what a host adds to requests: it sends requests at a
// fixed rate directly to a target and through a host, in turn in one run, and
// compares latency and the processor time of the processes that serve them.
package loadgen

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Config describes a run.
type Config struct {
	// DirectURL and HostURL are the same resource at the target and through a
	// host.
	DirectURL string
	HostURL   string
	// Rate is the number of requests a second to each of the two.
	Rate float64
	// Duration is the length of the run.
	Duration time.Duration
	// Warmup is the time at the start that is not counted.
	Warmup time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// Saturate is the length of the closed-loop phases that find the greatest
	// throughput; 0 leaves them out.
	SaturationDuration time.Duration
	// Connections is the number of connections of a closed-loop phase.
	Connections int
	// DirectMetricsURL and HostMetricsURL give the processor time of the
	// target and the host; empty leaves requests per core out.
	DirectMetricsURL string
	HostMetricsURL   string
}

// maxLatency is the largest latency that the histograms record.
const maxLatency = time.Minute

// Path is what was measured on one of the two ways.
type PathResult struct {
	Requests              int64   `json:"requests"`
	Errors                int64   `json:"errors"`
	P50Us                 int64   `json:"p50_us"`
	P99Us                 int64   `json:"p99_us"`
	P999Us                int64   `json:"p999_us"`
	SaturatedPerSecond    float64 `json:"saturated_per_second"`
	RequestsPerCoreSecond float64 `json:"requests_per_core_second"`
}

// Report is the result of a run.
type Report struct {
	Direct PathResult `json:"direct"`
	Host   PathResult `json:"host"`
}

// Run measures both ways.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	client := newClient(cfg)
	defer client.CloseIdleConnections()
	direct, host := newRecorder(), newRecorder()
	if err := openLoop(ctx, cfg, client, direct, host); err != nil {
		return nil, err
	}
	report := &Report{Direct: direct.path(), Host: host.path()}
	if cfg.SaturationDuration > 0 {
		if err := saturate(ctx, cfg, client, report); err != nil {
			return nil, err
		}
	}
	return report, nil
}

func newClient(cfg Config) *http.Client {
	transport := &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: 4096,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport, Timeout: cfg.Timeout}
}

// openLoop sends requests at their scheduled times, whether or not earlier ones
// have ended, and measures each from its scheduled time, so that a stall is
// counted against every request that it delays.
func openLoop(ctx context.Context, cfg Config, client *http.Client, direct, host *recorder) error {
	if cfg.Rate <= 0 {
		return errors.New("rate: want more than 0 requests a second")
	}
	interval := time.Duration(float64(time.Second) / (2 * cfg.Rate))
	start := time.Now()
	counted := start.Add(cfg.Warmup)
	end := counted.Add(cfg.Duration)
	var pending sync.WaitGroup
	for n := 0; ; n++ {
		due := start.Add(time.Duration(n) * interval)
		if due.After(end) {
			break
		}
		if err := sleepUntil(ctx, due); err != nil {
			return err
		}
		url, rec := cfg.DirectURL, direct
		if n%2 == 1 {
			url, rec = cfg.HostURL, host
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			err := get(ctx, client, url)
			if due.After(counted) {
				rec.add(time.Since(due), err)
			}
		}()
	}
	pending.Wait()
	return nil
}

// saturate alternates closed-loop phases and reads the processor time that the
// target and the host spend on their own phase.
func saturate(ctx context.Context, cfg Config, client *http.Client, report *Report) error {
	const rounds = 3
	phase := cfg.SaturationDuration / (2 * rounds)
	for range rounds {
		if err := closedLoop(ctx, cfg, client, cfg.DirectURL, cfg.DirectMetricsURL, phase, &report.Direct); err != nil {
			return err
		}
		if err := closedLoop(ctx, cfg, client, cfg.HostURL, cfg.HostMetricsURL, phase, &report.Host); err != nil {
			return err
		}
	}
	report.Direct.SaturatedPerSecond /= rounds
	report.Host.SaturatedPerSecond /= rounds
	report.Direct.RequestsPerCoreSecond /= rounds
	report.Host.RequestsPerCoreSecond /= rounds
	return nil
}

func closedLoop(ctx context.Context, cfg Config, client *http.Client, url, metricsURL string, length time.Duration, p *PathResult) error {
	before, err := cpuSeconds(ctx, client, metricsURL)
	if err != nil {
		return err
	}
	var done atomic.Int64
	var workers sync.WaitGroup
	start := time.Now()
	for range max(1, cfg.Connections) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for time.Since(start) < length && ctx.Err() == nil {
				if get(ctx, client, url) == nil {
					done.Add(1)
				}
			}
		}()
	}
	workers.Wait()
	elapsed := time.Since(start).Seconds()
	after, err := cpuSeconds(ctx, client, metricsURL)
	if err != nil {
		return err
	}
	p.SaturatedPerSecond += float64(done.Load()) / elapsed
	if after > before {
		p.RequestsPerCoreSecond += float64(done.Load()) / (after - before)
	}
	return nil
}

func get(ctx context.Context, client *http.Client, url string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", res.StatusCode)
	}
	return nil
}

func sleepUntil(ctx context.Context, due time.Time) error {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type recorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	errors    int64
}

func newRecorder() *recorder {
	return &recorder{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), 3)}
}

func (r *recorder) add(latency time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.errors++
		return
	}
	_ = r.histogram.RecordValue(min(latency, maxLatency).Microseconds())
}

func (r *recorder) path() PathResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	return PathResult{
		Requests: r.histogram.TotalCount(),
		Errors:   r.errors,
		P50Us:    r.histogram.ValueAtQuantile(50),
		P99Us:    r.histogram.ValueAtQuantile(99),
		P999Us:   r.histogram.ValueAtQuantile(99.9),
	}
}
