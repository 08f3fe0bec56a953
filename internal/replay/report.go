package replay

import (
	"time"
)

// Report is the result of one run. Durations are in milliseconds.
type Report struct {
	Trace           string    `json:"trace"`
	File            string    `json:"file"`
	Decider         string    `json:"decider"`
	Seed            uint64    `json:"seed"`
	DurationSeconds float64   `json:"duration_seconds"`
	Events          uint64    `json:"events"`
	Detection       Detection `json:"detection"`
	FalseEjections           FalseEjections     `json:"false_ejections"`
	Capacity        Capacity  `json:"capacity"`
	Requests        Requests  `json:"requests"`
	Attempts        Attempts  `json:"attempts"`
	LatencyP50      float64   `json:"latency_p50_ms"`
	LatencyP99      float64   `json:"latency_p99_ms"`
	Expectations        []ExpectationResult `json:"expected_outcomes"`
}

// Detection holds detection times over pairs of host and target that sent or
// got work during a fault.
type Detection struct {
	Samples int     `json:"samples"`
	Median  float64 `json:"median_ms"`
	P99     float64 `json:"p99_ms"`
	Worst   float64 `json:"worst_ms"`
}

// False holds false ejections.
type FalseEjections struct {
	Targets     int     `json:"targets"`
	Pairs       int     `json:"pairs"`
	TargetHours float64 `json:"target_hours"`
	TargetRate  float64 `json:"targets_per_1000_target_hours"`
	PairRate    float64 `json:"pairs_per_1000_target_hours"`
}

// Capacity holds the lowest capacity in rotation on any host and the highest
// floor of a class, as shares of the declared slots.
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

// Attempts counts attempts.
type Attempts struct {
	Started int     `json:"started"`
	Trials  int     `json:"trials"`
	Mean    float64 `json:"mean_per_request"`
	Max    int     `json:"most_per_request"`
	// Repeats counts new attempts of non-idempotent requests that may have run.
	Repeats int `json:"repeats"`
	// RanTwice counts non-idempotent requests that targets ran twice.
	RanTwice int `json:"ran_twice"`
}

// Outcome is the verdict on one expect line.
type ExpectationResult struct {
	Line   int    `json:"line"`
	Expect string `json:"expect"`
	Pass   bool   `json:"pass"`
	Detail string `json:"detail"`
}

// Pass tells whether every expected outcome came true.
func (r *Report) Passed() bool {
	for _, o := range r.Expectations {
		if !o.Pass {
			return false
		}
	}
	return true
}

func (p *player) report(decider string) *Report {
	m := p.measure
	m.close(p)
	hours := m.targetHours(p)
	r := &Report{
		Trace:           p.trace.Name,
		File:            p.trace.File,
		Decider:         decider,
		Seed:            p.trace.Seed,
		DurationSeconds: p.end.Seconds(),
		Events:          p.events,
		Detection:       summarize(m.detections(anyTarget, anyHosts)),
		Capacity:        Capacity{Lowest: m.lowest, Floor: m.floor, Violations: len(m.shortages)},
		LatencyP50:      float64(m.latency.ValueAtQuantile(50)) / 1000,
		LatencyP99:      float64(m.latency.ValueAtQuantile(99)) / 1000,
	}
	r.FalseEjections = FalseEjections{
		Targets:     m.falseOnce,
		Pairs:       m.falsePair,
		TargetHours: hours,
		TargetRate:  perThousand(m.falseOnce, hours),
		PairRate:    perThousand(m.falsePair, hours),
	}
	r.Requests = m.requests()
	r.Attempts = m.attemptCounts()
	for _, c := range p.checks {
		r.Expectations = append(r.Expectations, p.outcome(len(r.Expectations), c))
	}
	return r
}

func (p *player) outcome(i int, c check) ExpectationResult {
	pass, detail := c.verdict(p)
	e := p.trace.Expectations[i]
	return ExpectationResult{Line: e.Line, Expect: e.Text, Pass: pass, Detail: detail}
}

func (m *measure) requests() Requests {
	return Requests{
		Arrived:     m.arrived,
		Successes:   m.outcomes[outcomeSuccess],
		Refusals:    m.outcomes[outcomeRefused],
		Failures:    m.outcomes[outcomeFailed],
		Canceled:    m.outcomes[outcomeCanceled],
		Interrupted: m.outcomes[outcomeInterrupted],
		Unfinished:  m.outcomes[outcomeUnfinished],
	}
}

func (m *measure) attemptCounts() Attempts {
	a := Attempts{Started: m.attempts, Trials: m.trials, Max: m.maxTries, Repeats: m.repeats, RanTwice: m.ranTwice}
	if m.arrived > 0 {
		a.Mean = float64(m.attempts) / float64(m.arrived)
	}
	return a
}

// summarize returns quantiles of a sorted list by the nearest rank.
func summarize(list []time.Duration) Detection {
	n := len(list)
	if n == 0 {
		return Detection{}
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	rank := func(percent int) time.Duration { return list[(n*percent+99)/100-1] }
	return Detection{Samples: n, Median: ms(rank(50)), P99: ms(rank(99)), Worst: ms(list[n-1])}
}
