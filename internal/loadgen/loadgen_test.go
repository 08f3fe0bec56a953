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

// TestOpenLoopDoesNotWait guards against a generator that sends the next
// request only after an earlier one has ended, which hides stalls: the server
// answers nothing until all requests have arrived.
func TestOpenLoopDoesNotWait(t *testing.T) {
	const perPath = 20
	var arrived atomic.Int64
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if arrived.Add(1) == 2*perPath {
			close(release)
		}
		<-release
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cfg := Config{DirectURL: server.URL, HostURL: server.URL, Rate: 100, Duration: perPath * 10 * time.Millisecond, Timeout: time.Minute}
	report, err := Run(ctx, cfg)
	if err != nil {
		t.Fatal(err)
	}
	if report.Direct.Errors+report.Host.Errors > 0 || report.Direct.Requests < perPath-1 {
		t.Fatalf("report %+v", report)
	}
	// The first request waited for all others: with the time between arrivals,
	// its latency is at least the length of the run.
	if least := cfg.Duration.Microseconds() / 2; report.Direct.P999Us < least {
		t.Fatalf("the longest latency is %d us, want at least %d", report.Direct.P999Us, least)
	}
}

// TestErrorsAreCounted guards against failed requests that count as fast ones.
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

// TestRateIsRequired guards against an endless burst without a rate.
func TestRateIsRequired(t *testing.T) {
	if _, err := Run(context.Background(), Config{}); err == nil || !strings.Contains(err.Error(), "rate") {
		t.Fatalf("error %v", err)
	}
}

// TestCPUSeconds guards against requests per core from a missing metric.
func TestCPUSeconds(t *testing.T) {
	body := "process_cpu_seconds_total 1.5\n"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
	defer server.Close()
	if got, err := cpuSeconds(context.Background(), server.Client(), server.URL); err != nil || got != 1.5 {
		t.Fatalf("got %v, %v", got, err)
	}
	body = "other 1\n"
	if _, err := cpuSeconds(context.Background(), server.Client(), server.URL); err == nil {
		t.Fatal("a missing metric is no error")
	}
}
