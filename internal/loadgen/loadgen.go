// Package loadgen measures the overhead that a host adds to requests. In one run
// it alternates requests sent directly to a target with requests sent through a
// host, at a fixed rate, and compares latency and the CPU time of the serving
// processes.
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

// Config configures a run.
type Config struct {
	// DirectURL and HostURL identify the same resource, directly at the target
	// and through a host.
	DirectURL string
	HostURL   string
	// Rate is the number of requests per second sent to each of the two URLs.
	Rate float64
	// Duration is the length of the measured open-loop period.
	Duration time.Duration
	// Warmup is the initial period whose requests are not recorded.
	Warmup time.Duration
	// Timeout limits the duration of a request.
	Timeout time.Duration
	// SaturationDuration is the total length of the closed-loop phases that
	// measure maximum throughput; 0 skips them.
	SaturationDuration time.Duration
	// Connections is the number of concurrent connections in a closed-loop phase.
	Connections int
	// DirectMetricsURL and HostMetricsURL are the metrics endpoints that report
	// the CPU time of the target and the host. If one is empty, its requests per
	// core-second are not measured.
	DirectMetricsURL string
	HostMetricsURL   string
}

// maxLatency is the upper limit of the histograms; longer latencies are recorded
// as this value.
const maxLatency = time.Minute

// PathResult holds the measurements of one of the two paths.
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

// Run measures both paths.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	client := newClient(cfg)
	defer client.CloseIdleConnections()
	direct, host := newRecorder(), newRecorder()
	if err := runOpenLoop(ctx, cfg, client, direct, host); err != nil {
		return nil, err
	}
	report := &Report{Direct: direct.result(), Host: host.result()}
	if cfg.SaturationDuration > 0 {
		if err := runClosedLoop(ctx, cfg, client, report); err != nil {
			return nil, err
		}
	}
	return report, nil
}

func newClient(cfg Config) *http.Client {
	transport := &http.Transport{
		MaxIdleConns: 0,
		// The default of 2 would close most connections instead of reusing them.
		MaxIdleConnsPerHost: 4096,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport, Timeout: cfg.Timeout}
}

// runOpenLoop sends requests at their scheduled times, whether or not earlier
// ones have completed. Latency is measured from the scheduled time, so that a
// stall counts towards every request that it delays.
func runOpenLoop(ctx context.Context, cfg Config, client *http.Client, direct, host *recorder) error {
	if cfg.Rate <= 0 {
		return errors.New("rate must be greater than 0 requests per second")
	}
	interval := time.Duration(float64(time.Second) / (2 * cfg.Rate))
	start := time.Now()
	warmupEnd := start.Add(cfg.Warmup)
	end := warmupEnd.Add(cfg.Duration)
	var pending sync.WaitGroup
	for n := 0; ; n++ {
		scheduledAt := start.Add(time.Duration(n) * interval)
		if scheduledAt.After(end) {
			break
		}
		if err := sleepUntil(ctx, scheduledAt); err != nil {
			return err
		}
		url, pathRecorder := cfg.DirectURL, direct
		if n%2 == 1 {
			url, pathRecorder = cfg.HostURL, host
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			err := sendRequest(ctx, client, url)
			if scheduledAt.After(warmupEnd) {
				pathRecorder.add(time.Since(scheduledAt), err)
			}
		}()
	}
	pending.Wait()
	return nil
}

// runClosedLoop alternates closed-loop phases between the direct path and the
// host. For each phase it measures the CPU time used by the process under load.
func runClosedLoop(ctx context.Context, cfg Config, client *http.Client, report *Report) error {
	const rounds = 3
	phase := cfg.SaturationDuration / (2 * rounds)
	for range rounds {
		if err := runClosedLoopPhase(ctx, cfg, client, cfg.DirectURL, cfg.DirectMetricsURL, phase, &report.Direct); err != nil {
			return err
		}
		if err := runClosedLoopPhase(ctx, cfg, client, cfg.HostURL, cfg.HostMetricsURL, phase, &report.Host); err != nil {
			return err
		}
	}
	report.Direct.SaturatedPerSecond /= rounds
	report.Host.SaturatedPerSecond /= rounds
	report.Direct.RequestsPerCoreSecond /= rounds
	report.Host.RequestsPerCoreSecond /= rounds
	return nil
}

// runClosedLoopPhase adds the throughput of one phase to result.
func runClosedLoopPhase(ctx context.Context, cfg Config, client *http.Client, url, metricsURL string, duration time.Duration, result *PathResult) error {
	before, err := cpuSeconds(ctx, client, metricsURL)
	if err != nil {
		return err
	}
	var completed atomic.Int64
	var workers sync.WaitGroup
	start := time.Now()
	for range max(1, cfg.Connections) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for time.Since(start) < duration && ctx.Err() == nil {
				if sendRequest(ctx, client, url) == nil {
					completed.Add(1)
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
	result.SaturatedPerSecond += float64(completed.Load()) / elapsed
	if after > before {
		result.RequestsPerCoreSecond += float64(completed.Load()) / (after - before)
	}
	return nil
}

func sendRequest(ctx context.Context, client *http.Client, url string) error {
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

func sleepUntil(ctx context.Context, deadline time.Time) error {
	wait := time.Until(deadline)
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

// recorder collects the latencies and errors of one path.
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

func (r *recorder) result() PathResult {
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
