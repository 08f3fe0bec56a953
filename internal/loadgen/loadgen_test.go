package loadgen

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestOpenLoopDoesNotWait guards against a load generator that waits for a
// response before it sends the next request, which hides stalls (coordinated
// omission). The server sends no response until all requests have arrived.
func TestOpenLoopDoesNotWait(t *testing.T) {
	const requestsPerPath = 20
	var arrived atomic.Int64
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if arrived.Add(1) == 2*requestsPerPath {
			close(release)
		}
		<-release
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cfg := Config{DirectURL: server.URL, HostURL: server.URL, Rate: 100, Duration: requestsPerPath * 10 * time.Millisecond, Timeout: time.Minute}
	report, err := Run(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	if report.Direct.Errors+report.Host.Errors > 0 || report.Direct.Requests < requestsPerPath-1 {
		t.Fatalf("report %+v", report)
	}
	// The response to the first request waits for the last request, so its
	// latency is about the duration of the run. Half of that is required.
	if minLatency := cfg.Duration.Microseconds() / 2; report.Direct.P999Us < minLatency {
		t.Fatalf("p99.9 latency: got %d us, want at least %d us", report.Direct.P999Us, minLatency)
	}
}

// TestErrorsAreCounted guards against failed requests being recorded as
// successful ones with a short latency.
func TestErrorsAreCounted(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	report, err := Run(context.Background(), Config{DirectURL: server.URL, HostURL: server.URL, Rate: 200, Duration: 50 * time.Millisecond, Timeout: time.Minute})
	if err != nil {
		t.Fatal(err)
	}
	if report.Host.Requests != 0 || report.Host.Errors == 0 {
		t.Fatalf("report %+v", report.Host)
	}
}

// TestRateIsRequired guards against an unlimited number of requests when no rate
// is set.
func TestRateIsRequired(t *testing.T) {
	if _, err := Run(context.Background(), Config{}); err == nil || !strings.Contains(err.Error(), "rate") {
		t.Fatalf("error %v", err)
	}
}

// TestCPUSeconds guards against a missing metric being read as a CPU time of 0.
func TestCPUSeconds(t *testing.T) {
	body := "process_cpu_seconds_total 1.5\n"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer server.Close()
	if got, err := cpuSeconds(context.Background(), server.Client(), server.URL); err != nil || got != 1.5 {
		t.Fatalf("got %v, %v", got, err)
	}
	body = "other 1\n"
	if _, err := cpuSeconds(context.Background(), server.Client(), server.URL); err == nil {
		t.Fatal("no error for a missing metric")
	}
}
