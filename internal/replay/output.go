package replay

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteJSON writes reports as one JSON array.
func WriteJSON(w io.Writer, reports []*Report) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(reports)
}

// WriteText writes the reports of one trace side by side, one column for each
// decider.
func WriteText(w io.Writer, reports []*Report) error {
	first := reports[0]
	if _, err := fmt.Fprintf(w, "trace %s (%s), seed %d, %.0f s\n", first.Trace, first.File, first.Seed, first.DurationSeconds); err != nil {
		return err
	}
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		cells := make([]string, len(reports))
		for i, r := range reports {
			cells[i] = row.cell(r)
		}
		fmt.Fprintf(tab, "  %s\t%s\n", row.name, strings.Join(cells, "\t"))
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	return writeOutcomes(w, reports)
}

func writeOutcomes(w io.Writer, reports []*Report) error {
	for i, o := range reports[0].Expectations {
		if _, err := fmt.Fprintf(w, "  line %d: expect %s\n", o.Line, o.Expect); err != nil {
			return err
		}
		for _, r := range reports {
			verdict := "FAIL"
			if r.Expectations[i].Pass {
				verdict = "PASS"
			}
			if _, err := fmt.Fprintf(w, "    %s %s: %s\n", verdict, r.Decider, r.Expectations[i].Detail); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintln(w)
	return err
}

type row struct {
	name string
	cell func(r *Report) string
}

var rows = []row{
	{"decider", func(r *Report) string { return r.Decider }},
	{"events", func(r *Report) string { return fmt.Sprint(r.Events) }},
	{"detection samples (host, target)", func(r *Report) string { return fmt.Sprint(r.Detection.Samples) }},
	{"detection median / p99 / worst", func(r *Report) string { return detectionCell(r.Detection) }},
	{"false ejections, targets", func(r *Report) string { return falseCell(r.FalseEjections.Targets, r.FalseEjections.TargetRate) }},
	{"false ejections, (host, target)", func(r *Report) string { return falseCell(r.FalseEjections.Pairs, r.FalseEjections.PairRate) }},
	{"healthy target-hours", func(r *Report) string { return fmt.Sprintf("%.1f", r.FalseEjections.TargetHours) }},
	{"lowest capacity / floor", func(r *Report) string { return fmt.Sprintf("%.2f / %.2f", r.Capacity.Lowest, r.Capacity.Floor) }},
	{"attempts per request, mean / most", func(r *Report) string { return fmt.Sprintf("%.3f / %d", r.Attempts.Mean, r.Attempts.Max) }},
	{"trials", func(r *Report) string { return fmt.Sprint(r.Attempts.Trials) }},
	{"repeats / ran twice", func(r *Report) string { return fmt.Sprintf("%d / %d", r.Attempts.Repeats, r.Attempts.RanTwice) }},
	{"requests", func(r *Report) string { return fmt.Sprint(r.Requests.Arrived) }},
	{"successes", func(r *Report) string { return fmt.Sprint(r.Requests.Successes) }},
	{"refusals", func(r *Report) string { return fmt.Sprint(r.Requests.Refusals) }},
	{"failures", func(r *Report) string { return fmt.Sprint(r.Requests.Failures) }},
	{"unfinished / canceled / interrupted", func(r *Report) string {
		return fmt.Sprintf("%d / %d / %d", r.Requests.Unfinished, r.Requests.Canceled, r.Requests.Interrupted)
	}},
	{"latency p50 / p99", func(r *Report) string { return fmt.Sprintf("%.1f / %.1f ms", r.LatencyP50, r.LatencyP99) }},
}

func detectionCell(d Detection) string {
	if d.Samples == 0 {
		return "none"
	}
	return fmt.Sprintf("%.0f / %.0f / %.0f ms", d.Median, d.P99, d.Worst)
}

func falseCell(count int, rate float64) string {
	return fmt.Sprintf("%d (%.2f per 1,000 target-hours)", count, rate)
}
