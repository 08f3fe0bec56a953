package loadgen

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// cpuSecondsMetric is the metric of the CPU time that a process has used.
const cpuSecondsMetric = "process_cpu_seconds_total"

// cpuSeconds returns the CPU time that a process reports at its metrics URL, or
// 0 if url is empty.
func cpuSeconds(ctx context.Context, client *http.Client, url string) (float64, error) {
	if url == "" {
		return 0, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, errors.Wrap(err, "create metrics request")
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "read metrics")
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), cpuSecondsMetric+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, errors.Errorf("metrics at %s lack %s", url, cpuSecondsMetric)
}
