package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/sapphirehaven/sapphirehaven/internal/adapter/target"
	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
	"github.com/sapphirehaven/sapphirehaven/internal/core/locality"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ratelimit"
)

// metricKey identifies a request class of a service.
type metricKey struct {
	service ident.ServiceName
	class   ident.ClassName
}

// classMetrics holds the metrics of one request class, which avoids a lookup by
// name for each request. The metrics are documented in docs/metrics.md.
type classMetrics struct {
	answered, notRun, unknown *metrics.Counter
	results                   [attempt.NumKinds]*metrics.Counter
	// limitedResponses counts the responses that stated a rate, malformedRates those with
	// a value that is no rate.
	limitedResponses, malformedRates *metrics.Counter
	// pauses counts the 503 responses with a valid Retry-After, boundedPauses those that
	// asked for a longer pause than is kept, and malformedPauses those with a value that is
	// no time.
	pauses, boundedPauses, malformedPauses *metrics.Counter
	// leavingResponses counts the responses of targets that stated to be leaving,
	// malformedLeaving those with a value without a meaning.
	leavingResponses, malformedLeaving *metrics.Counter
	addedLatency                       *metrics.Histogram
	// zoneLeft counts the attempts, and zoneLeftBytes their bytes, that left the zone of the
	// host, by target zone and reason.
	zoneLeft, zoneLeftBytes func(to ident.Zone, reason locality.Reason) *metrics.Counter
	// attemptTimes tells a stopping host whether a request can be finished.
	attemptTimes attemptTimes
}

// serverMetrics are the metrics of one server.
type serverMetrics struct {
	set         *metrics.Set
	connections atomic.Int64

	// classes is copy-on-write, so that reads need no lock.
	classes atomic.Pointer[map[metricKey]*classMetrics]
	mu      sync.Mutex
}

func newServerMetrics() *serverMetrics {
	m := &serverMetrics{set: metrics.NewSet()}
	m.classes.Store(&map[metricKey]*classMetrics{})
	return m
}

// class returns the metrics of a request class and creates them if needed.
func (m *serverMetrics) class(service ident.ServiceName, class ident.ClassName) *classMetrics {
	key := metricKey{service, class}
	if c := (*m.classes.Load())[key]; c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	old := *m.classes.Load()
	if c := old[key]; c != nil {
		return c
	}
	classes := make(map[metricKey]*classMetrics, len(old)+1)
	for k, c := range old {
		classes[k] = c
	}
	classes[key] = m.newClass(key)
	m.classes.Store(&classes)
	return classes[key]
}

func (m *serverMetrics) newClass(key metricKey) *classMetrics {
	labels := fmt.Sprintf("service=%q,class=%q", key.service, key.class)
	requests := func(outcome string) *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf("sapphirehaven_requests_total{%s,outcome=%q}", labels, outcome))
	}
	c := &classMetrics{
		answered:     requests(OutcomeAnswered),
		notRun:       requests(OutcomeNotRun),
		unknown:      requests(OutcomeUnknown),
		addedLatency: m.set.GetOrCreateHistogram(fmt.Sprintf("sapphirehaven_added_latency_seconds{%s}", labels)),
	}
	c.limitedResponses = m.set.GetOrCreateCounter(fmt.Sprintf("sapphirehaven_rate_statements_total{%s,result=\"valid\"}", labels))
	c.malformedRates = m.set.GetOrCreateCounter(fmt.Sprintf("sapphirehaven_rate_statements_total{%s,result=\"malformed\"}", labels))
	pauses := func(result string) *metrics.Counter {
		return m.set.GetOrCreateCounter(fmt.Sprintf("sapphirehaven_pauses_total{%s,result=%q}", labels, result))
	}
	c.pauses, c.boundedPauses, c.malformedPauses = pauses("valid"), pauses("bounded"), pauses("malformed")
	c.leavingResponses = m.set.GetOrCreateCounter(fmt.Sprintf("sapphirehaven_leaving_statements_total{%s,result=\"valid\"}", labels))
	c.malformedLeaving = m.set.GetOrCreateCounter(fmt.Sprintf("sapphirehaven_leaving_statements_total{%s,result=\"malformed\"}", labels))
	leaving := func(name string) func(ident.Zone, locality.Reason) *metrics.Counter {
		return func(to ident.Zone, reason locality.Reason) *metrics.Counter {
			return m.set.GetOrCreateCounter(fmt.Sprintf("sapphirehaven_zone_left_%s{%s,to=%q,reason=%q}", name, labels, to, reason))
		}
	}
	c.zoneLeft, c.zoneLeftBytes = leaving("attempts_total"), leaving("bytes_total")
	for kind := range c.results {
		c.results[kind] = m.set.GetOrCreateCounter(fmt.Sprintf("sapphirehaven_attempts_total{%s,result=%q}", labels, attempt.Kind(kind)))
	}
	return c
}

// countRefusal counts a request that was rejected without being run. The reason
// label is the problem type, which has a fixed set of values.
func (m *serverMetrics) countRefusal(p *Problem) {
	if p.Outcome == OutcomeNotRun {
		m.set.GetOrCreateCounter(fmt.Sprintf("sapphirehaven_refusals_total{reason=%q}", p.Type)).Inc()
	}
}

// countLeaving counts an attempt that left the zone of the host.
func (c *classMetrics) countLeaving(reason locality.Reason, to ident.Location, bytes int64) {
	if reason == locality.Stayed {
		return
	}
	c.zoneLeft(to.Zone, reason).Inc()
	c.zoneLeftBytes(to.Zone, reason).Add(int(bytes))
}

// countRequest counts a finished request by the outcome reported to the caller.
func (c *classMetrics) countRequest(outcome string) {
	switch outcome {
	case OutcomeAnswered:
		c.answered.Inc()
	case OutcomeNotRun:
		c.notRun.Inc()
	default:
		c.unknown.Inc()
	}
}

// countRateStatement counts a response that stated a rate or tried to.
func (c *classMetrics) countRateStatement(s ratelimit.Statement) {
	if s.Limited {
		c.limitedResponses.Inc()
	}
	if s.Malformed {
		c.malformedRates.Inc()
	}
}

// countPause counts a 503 response with a Retry-After header.
func (c *classMetrics) countPause(p target.RetryAfter) {
	switch {
	case p.Bounded:
		c.boundedPauses.Inc()
	case p.Wait > 0 || !p.Malformed:
		c.pauses.Inc()
	}
	if p.Malformed {
		c.malformedPauses.Inc()
	}
}

// countLeavingStatement counts a response that stated that its target is leaving, or tried
// to.
func (c *classMetrics) countLeavingStatement(s attempt.LeavingStatement) {
	if s.Leaving {
		c.leavingResponses.Inc()
	}
	if s.Malformed {
		c.malformedLeaving.Inc()
	}
}

// recordMetrics updates the metrics at the end of a request.
func (q *request) recordMetrics(problem *Problem) {
	outcome := OutcomeUnknown
	switch {
	case problem != nil:
		outcome = problem.Outcome
	case !q.aborted:
		outcome = q.sentOutcome()
	}
	q.metrics.countRequest(outcome)
	if !q.admittedAt.IsZero() {
		q.metrics.addedLatency.Update(max(0, time.Since(q.admittedAt)-q.attemptTime).Seconds())
	}
}

// sentOutcome returns the outcome of a request that ended with a response other
// than a problem. Without an outcome header in the dialect there are no relayed
// outcomes, so it is always OutcomeAnswered.
func (q *request) sentOutcome() string {
	if name := q.server.cfg.Dialect.Outcome; name != "" {
		return q.w.Header().Get(name)
	}
	return OutcomeAnswered
}

// Metrics returns the metrics of the data path. The caller registers the set
// once.
func (s *Server) Metrics() *metrics.Set { return s.metrics.set }

// ConnState counts open caller connections. It is used as http.Server.ConnState.
func (s *Server) ConnState(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.metrics.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.metrics.connections.Add(-1)
	}
}

// boolGauge is the value of a gauge that is either set or not.
func boolGauge(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// writeMetrics writes the metrics whose values are read from other components.
func (s *Server) writeMetrics(w io.Writer) {
	metrics.WriteGaugeUint64(w, "sapphirehaven_requests_in_flight", uint64(max(0, s.InFlight())))
	metrics.WriteGaugeUint64(w, "sapphirehaven_caller_connections", uint64(max(0, s.metrics.connections.Load())))
	metrics.WriteGaugeUint64(w, "sapphirehaven_response_buffer_bytes", uint64(max(0, s.buffers.used.Load())))
	metrics.WriteCounterUint64(w, "sapphirehaven_response_buffer_full_total", s.buffers.refused.Load())
	if active := s.active.Load(); active != nil {
		for name, b := range active.Backends {
			status, _ := b.Engine.Status()
			metrics.WriteGaugeUint64(w, fmt.Sprintf("sapphirehaven_attempts_in_flight{service=%q}", name), uint64(max(0, status.InFlight)))
			metrics.WriteGaugeUint64(w, fmt.Sprintf("sapphirehaven_requests_waiting{service=%q}", name), uint64(max(0, status.Waiting)))
			metrics.WriteGaugeUint64(w, fmt.Sprintf("sapphirehaven_floor_active{service=%q}", name), boolGauge(status.Floor.Active))
			metrics.WriteGaugeUint64(w, fmt.Sprintf(`sapphirehaven_healthy_targets{service=%q,state="all"}`, name), uint64(status.Floor.Healthy))
			metrics.WriteGaugeUint64(w, fmt.Sprintf(`sapphirehaven_healthy_targets{service=%q,state="used"}`, name), uint64(status.Floor.Used))
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("sapphirehaven_zone_shortage{service=%q}", name), status.ZoneShortage)
			metrics.WriteGaugeUint64(w, fmt.Sprintf("sapphirehaven_admission_active{service=%q}", name), boolGauge(status.Admission.Active))
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("sapphirehaven_admission_fraction{service=%q}", name), status.Admission.Fraction)
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("sapphirehaven_admission_demand{service=%q}", name), status.Admission.Demand)
			metrics.WriteGaugeFloat64(w, fmt.Sprintf("sapphirehaven_admission_capacity{service=%q}", name), status.Admission.Capacity)
			metrics.WriteGaugeUint64(w, fmt.Sprintf("sapphirehaven_rate_limited_targets{service=%q}", name), uint64(status.Rates.Limited))
			metrics.WriteGaugeUint64(w, fmt.Sprintf("sapphirehaven_paused_targets{service=%q}", name), uint64(status.Pausing))
			metrics.WriteGaugeUint64(w, fmt.Sprintf("sapphirehaven_leaving_targets{service=%q}", name), uint64(status.Leaving))
			metrics.WriteGaugeUint64(w, fmt.Sprintf("sapphirehaven_permits{service=%q}", name), uint64(status.Rates.Permits))
		}
	}
	if s.cfg.Transport == nil {
		return
	}
	pool := s.cfg.Transport.PoolStats()
	metrics.WriteGaugeUint64(w, `sapphirehaven_target_connections{state="open"}`, uint64(max(0, pool.Open)))
	metrics.WriteGaugeUint64(w, `sapphirehaven_target_connections{state="idle"}`, uint64(max(0, pool.Idle)))
	metrics.WriteCounterUint64(w, "sapphirehaven_target_dials_total", pool.Dials)
	metrics.WriteCounterUint64(w, "sapphirehaven_target_dial_failures_total", pool.DialFailures)
	metrics.WriteCounterUint64(w, "sapphirehaven_target_connection_reuses_total", pool.Reuses)
	metrics.WriteCounterUint64(w, "sapphirehaven_target_connection_suspicions_total", pool.Suspicions)
	for _, t := range s.cfg.Transport.Traffic() {
		metrics.WriteCounterUint64(w, fmt.Sprintf(`sapphirehaven_cross_region_bytes_total{class=%q,direction="sent"}`, t.Class), uint64(t.Sent))
		metrics.WriteCounterUint64(w, fmt.Sprintf(`sapphirehaven_cross_region_bytes_total{class=%q,direction="received"}`, t.Class), uint64(t.Received))
	}
}
