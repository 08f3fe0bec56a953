package loadgen

import (
	"fmt"
	"io"
)

// WriteText prints the report for people.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%-8s %10s %8s %9s %9s %9s %12s %14s\n", "path", "requests", "errors", "p50_us", "p99_us", "p999_us", "per_second", "per_core_sec")
	for _, p := range []struct {
		name string
		path PathResult
	}{{"direct", r.Direct}, {"host", r.Host}} {
		fmt.Fprintf(w, "%-8s %10d %8d %9d %9d %9d %12.0f %14.0f\n", p.name, p.path.Requests, p.path.Errors, p.path.P50Us, p.path.P99Us, p.path.P999Us, p.path.SaturatedPerSecond, p.path.RequestsPerCoreSecond)
	}
	fmt.Fprintf(w, "added    %10s %8s %9d %9d %9d %12s %14s\n", "", "", r.Host.P50Us-r.Direct.P50Us, r.Host.P99Us-r.Direct.P99Us, r.Host.P999Us-r.Direct.P999Us, "", "")
	fmt.Fprintf(w, "ratio    %10s %8s %9.2f %9.2f %9.2f %12.2f %14.2f\n", "", "", ratio(r.Host.P50Us, r.Direct.P50Us), ratio(r.Host.P99Us, r.Direct.P99Us), ratio(r.Host.P999Us, r.Direct.P999Us), quotient(r.Host.SaturatedPerSecond, r.Direct.SaturatedPerSecond), quotient(r.Host.RequestsPerCoreSecond, r.Direct.RequestsPerCoreSecond))
}

func ratio(a, b int64) float64 { return quotient(float64(a), float64(b)) }

func quotient(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
