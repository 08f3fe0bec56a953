package target

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// maxReportBytes bounds the body of a probe response or a load report.
const maxReportBytes = 4 << 10

// ProbeRequest is a request that this host itself sends to a target, to probe it
// or to fetch its load report.
type ProbeRequest struct {
	Address string
	Path    string
	// NewConnection forces a new connection.
	NewConnection bool
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	// OK reports whether a complete response with a 2xx status arrived in time.
	OK       bool
	Status   int
	Draining bool
	Latency  time.Duration
	Result   attempt.Result
}

// Load is the load that a target reports.
type Load struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Draining bool `json:"draining"`
}

// Probe sends a probe, bounded by Config.ProbeTimeout.
func (t *Transport) Probe(ctx context.Context, q ProbeRequest) ProbeResult {
	start := time.Now()
	resp, _, res := t.query(ctx, q)
	p := ProbeResult{Latency: time.Since(start), Result: res}
	if resp != nil {
		p.Status, p.Draining = resp.Status, resp.Draining
		p.OK = res.Kind == attempt.Answered && resp.Status >= 200 && resp.Status < 300
	}
	return p
}

// LoadReport fetches a load report, bounded by Config.ProbeTimeout.
func (t *Transport) LoadReport(ctx context.Context, q ProbeRequest) (Load, error) {
	resp, body, res := t.query(ctx, q)
	if resp == nil || res.Kind != attempt.Answered {
		return Load{}, fmt.Errorf("target: load report of %s: %s", q.Address, res.Kind)
	}
	if resp.Status != http.StatusOK {
		return Load{}, fmt.Errorf("target: load report of %s: status %d", q.Address, resp.Status)
	}
	return parseLoad(body)
}

// query sends a GET request and reads at most maxReportBytes of the body.
func (t *Transport) query(ctx context.Context, q ProbeRequest) (*Response, []byte, attempt.Result) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.ProbeTimeout)
	defer cancel()
	resp, res := t.Do(ctx, Attempt{
		Address: q.Address, Method: http.MethodGet, URI: q.Path, Idempotent: true, NewConnection: q.NewConnection,
	})
	if resp == nil {
		return nil, nil, res
	}
	// A read error or a longer body makes the attempt fail in Finish.
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	return resp, body, resp.Finish()
}

// maxLoad bounds the numbers of a load, so that their sums do not overflow.
const maxLoad = 1 << 20

// parseLoadHeader parses a load of the form "running,waiting,slots". It returns nil
// if the value is empty or malformed.
func parseLoadHeader(value string) *Load {
	parts := strings.Split(value, ",")
	if len(parts) != 3 {
		return nil
	}
	var numbers [3]int
	for i, part := range parts {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return nil
		}
		numbers[i] = min(n, maxLoad)
	}
	return &Load{InFlight: numbers[0] + numbers[1], Slots: numbers[2]}
}

// parseLoad decodes and validates a load report. Unknown fields are allowed, since
// targets may add fields independently of this project.
func parseLoad(body []byte) (Load, error) {
	var l Load
	if err := json.Unmarshal(body, &l); err != nil {
		return Load{}, fmt.Errorf("target: load report: %w", err)
	}
	if l.InFlight < 0 || l.Slots < 0 {
		return Load{}, errors.New("target: load report: in_flight and slots must not be negative")
	}
	l.InFlight, l.Slots = min(l.InFlight, maxLoad), min(l.Slots, maxLoad)
	return l, nil
}
