package replay

import (
	"time"
)

// Report is the result of one run. Latencies are in milliseconds.
type Report struct {
	Trace           string              `json:"trace"`
	File            string              `json:"file"`
	Decider         string              `json:"decider"`
	Seed            uint64              `json:"seed"`
	DurationSeconds float64             `json:"duration_seconds"`
	Events          uint64              `json:"events"`
	Detection       Detection           `json:"detection"`
	FalseEjections  FalseEjections      `json:"false_ejections"`
	Capacity        Capacity            `json:"capacity"`
	Requests        Requests            `json:"requests"`
	Attempts        Attempts            `json:"attempts"`
	LatencyP50      float64             `json:"latency_p50_ms"`
	LatencyP99      float64             `json:"latency_p99_ms"`
	Expectations    []ExpectationResult `json:"expected_outcomes"`
}

// Detection summarizes the detection times of the (host, target) pairs in which the
// host sent attempts to the target during a fault. Times are in milliseconds.
type Detection struct {
	Samples int     `json:"samples"`
	Median  float64 `json:"median_ms"`
	P99     float64 `json:"p99_ms"`
	Worst   float64 `json:"worst_ms"`
}

// FalseEjections counts the ejections of targets without a fault, by target and by
// (host, target) pair, with their rates per 1,000 target-hours.
type FalseEjections struct {
	Targets     int     `json:"targets"`
	Pairs       int     `json:"pairs"`
	TargetHours float64 `json:"target_hours"`
	TargetRate  float64 `json:"targets_per_1000_target_hours"`
	PairRate    float64 `json:"pairs_per_1000_target_hours"`
}

// Capacity holds the lowest capacity in rotation on any host and the highest floor
// of any class, as shares of the declared slots.
type Capacity struct {
	Lowest     float64 `json:"lowest"`
	Floor      float64 `json:"floor"`
	Violations int     `json:"floor_violations"`
}

// Requests counts requests by outcome.
type Requests struct {
	Arrived     int `json:"arrived"`
	Successes   int `json:"successes"`
	Refusals    int `json:"refusals"`
	Failures    int `json:"failures"`
	Canceled    int `json:"canceled"`
	Interrupted int `json:"interrupted"`
	// Unfinished requests got no outcome by their deadline.
	Unfinished int `json:"unfinished"`
}

// Attempts counts the attempts of a run and relates them to its requests.
type Attempts struct {
	Started int     `json:"started"`
	Trials  int     `json:"trials"`
	Mean    float64 `json:"mean_per_request"`
	Max     int     `json:"most_per_request"`
	// Repeats counts new attempts of non-idempotent requests that may have run.
	Repeats int `json:"repeats"`
	// RanTwice counts non-idempotent requests that targets ran twice.
	RanTwice int `json:"ran_twice"`
}

// ExpectationResult is the result of one expect line.
type ExpectationResult struct {
	Line   int    `json:"line"`
	Expect string `json:"expect"`
	Pass   bool   `json:"pass"`
	Detail string `json:"detail"`
}

// Passed reports whether every expected outcome was met.
func (r *Report) Passed() bool {
	for _, o := range r.Expectations {
		if !o.Pass {
			return false
		}
	}
	return true
}

func (sim *simulation) report(decider string) *Report {
	m := sim.metrics
	m.finish(sim)
	hours := m.targetHours(sim)
	r := &Report{
		Trace:           sim.trace.Name,
		File:            sim.trace.File,
		Decider:         decider,
		Seed:            sim.trace.Seed,
		DurationSeconds: sim.end.Seconds(),
		Events:          sim.eventCount,
		Detection:       summarize(m.detectionTimes(anyTarget, anyHosts)),
		Capacity:        Capacity{Lowest: m.lowestCapacity, Floor: m.floor, Violations: len(m.floorViolations)},
		LatencyP50:      float64(m.latency.ValueAtQuantile(50)) / 1000,
		LatencyP99:      float64(m.latency.ValueAtQuantile(99)) / 1000,
	}
	r.FalseEjections = FalseEjections{
		Targets:     m.falseTargets,
		Pairs:       m.falsePairs,
		TargetHours: hours,
		TargetRate:  perThousand(m.falseTargets, hours),
		PairRate:    perThousand(m.falsePairs, hours),
	}
	r.Requests = m.requestFigures()
	r.Attempts = m.attemptFigures()
	for _, c := range sim.checks {
		r.Expectations = append(r.Expectations, sim.expectationResult(len(r.Expectations), c))
	}
	return r
}

func (sim *simulation) expectationResult(i int, c expectationCheck) ExpectationResult {
	pass, detail := c.verdict(sim)
	e := sim.trace.Expectations[i]
	return ExpectationResult{Line: e.Line, Expect: e.Text, Pass: pass, Detail: detail}
}

func (m *runMetrics) requestFigures() Requests {
	return Requests{
		Arrived:     m.requestCount,
		Successes:   m.outcomes[outcomeSuccess],
		Refusals:    m.outcomes[outcomeRefused],
		Failures:    m.outcomes[outcomeFailed],
		Canceled:    m.outcomes[outcomeCanceled],
		Interrupted: m.outcomes[outcomeInterrupted],
		Unfinished:  m.outcomes[outcomeUnfinished],
	}
}

func (m *runMetrics) attemptFigures() Attempts {
	a := Attempts{Started: m.attemptCount, Trials: m.trialCount, Max: m.maxAttempts, Repeats: m.repeats, RanTwice: m.ranTwice}
	if m.requestCount > 0 {
		a.Mean = float64(m.attemptCount) / float64(m.requestCount)
	}
	return a
}

// summarize returns nearest-rank quantiles of a sorted list.
func summarize(list []time.Duration) Detection {
	n := len(list)
	if n == 0 {
		return Detection{}
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	rank := func(percent int) time.Duration { return list[(n*percent+99)/100-1] }
	return Detection{Samples: n, Median: ms(rank(50)), P99: ms(rank(99)), Worst: ms(list[n-1])}
}
