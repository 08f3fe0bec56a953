package loadgen

import (
	"fmt"
	"io"
)

// WriteText writes the report as a human-readable table.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%-8s %10s %8s %9s %9s %9s %12s %14s\n", "path", "requests", "errors", "p50_us", "p99_us", "p999_us", "per_second", "per_core_sec")
	for _, row := range []struct {
		name string
		path PathResult
	}{{"direct", r.Direct}, {"host", r.Host}} {
		fmt.Fprintf(w, "%-8s %10d %8d %9d %9d %9d %12.0f %14.0f\n", row.name, row.path.Requests, row.path.Errors, row.path.P50Us, row.path.P99Us, row.path.P999Us, row.path.SaturatedPerSecond, row.path.RequestsPerCoreSecond)
	}
	fmt.Fprintf(w, "added    %10s %8s %9d %9d %9d %12s %14s\n", "", "", r.Host.P50Us-r.Direct.P50Us, r.Host.P99Us-r.Direct.P99Us, r.Host.P999Us-r.Direct.P999Us, "", "")
	fmt.Fprintf(w, "ratio    %10s %8s %9.2f %9.2f %9.2f %12.2f %14.2f\n", "", "", intRatio(r.Host.P50Us, r.Direct.P50Us), intRatio(r.Host.P99Us, r.Direct.P99Us), intRatio(r.Host.P999Us, r.Direct.P999Us), divide(r.Host.SaturatedPerSecond, r.Direct.SaturatedPerSecond), divide(r.Host.RequestsPerCoreSecond, r.Direct.RequestsPerCoreSecond))
}

func intRatio(a, b int64) float64 { return divide(float64(a), float64(b)) }

func divide(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
