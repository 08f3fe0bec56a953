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

// maxReportBytes bounds the body of a probe response or load report.
const maxReportBytes = 4 << 10

// Query is a request of this host itself to an endpoint of a target.
type ProbeRequest struct {
	Address string
	Path    string
	// Fresh asks for a new connection.
	Fresh bool
}

// ProbeResult is the end of a probe.
type ProbeResult struct {
	// OK tells that a complete response with a 2xx status arrived in time.
	OK       bool
	Status   int
	Draining bool
	Latency  time.Duration
	Result   attempt.Result
}

// Load is a target's load report.
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

// query sends a GET and reads the bounded body.
func (t *Transport) query(ctx context.Context, q ProbeRequest) (*Response, []byte, attempt.Result) {
	ctx, cancel := context.WithTimeout(ctx, t.cfg.ProbeTimeout)
	defer cancel()
	resp, res := t.Do(ctx, Attempt{
		Address: q.Address, Method: http.MethodGet, URI: q.Path, Idempotent: true, Fresh: q.Fresh,
	})
	if resp == nil {
		return nil, nil, res
	}
	// An error, or a longer body, shows in the result.
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	return resp, body, resp.Finish()
}

// parseLoadHeader reads a load of the form "running,waiting,slots"; nil when the
// value is absent or malformed.
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
		numbers[i] = n
	}
	return &Load{InFlight: numbers[0] + numbers[1], Slots: numbers[2]}
}

// parseLoad checks a load report. Unknown fields are allowed, since targets
// change without us.
func parseLoad(body []byte) (Load, error) {
	var l Load
	if err := json.Unmarshal(body, &l); err != nil {
		return Load{}, fmt.Errorf("target: load report: %w", err)
	}
	if l.InFlight < 0 || l.Slots < 0 {
		return Load{}, errors.New("target: load report: in_flight and slots must not be negative")
	}
	return l, nil
}
