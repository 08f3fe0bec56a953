package loadgen

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// cpuMetric is the processor time of a process in its /metrics.
const cpuMetric = "process_cpu_seconds_total"

// cpuSeconds reads the processor time of a process, or 0 without a URL.
func cpuSeconds(ctx context.Context, client *http.Client, url string) (float64, error) {
	if url == "" {
		return 0, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, errors.Wrap(err, "metrics")
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "metrics")
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), cpuMetric+" "); ok {
			return strconv.ParseFloat(value, 64)
		}
	}
	return 0, errors.Errorf("metrics: %s has no %s", url, cpuMetric)
}
