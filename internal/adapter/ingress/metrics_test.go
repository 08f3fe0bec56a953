package ingress

import (
	"bytes"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/standin"
)

// TestMetrics checks that requests, attempts and rejections are counted correctly
// and that docs/metrics.md lists every metric.
func TestMetrics(t *testing.T) {
	h, _ := newCrossRegionHost(t, standin.LinkConfig{}, 0)
	h.expect(t, 200, OutcomeAnswered, "GET", "/lookup", "")
	h.expect(t, 200, OutcomeAnswered, "GET", "/lookup", "")
	h.expect(t, 400, OutcomeNotRun, "GET", "/lookup", "", dialect.Native().Deadline, "x")
	h.expect(t, 404, OutcomeNotRun, "GET", "/nowhere", "")
	h.expect(t, 400, OutcomeUnknown, "POST", "/order", "x", dialect.Native().Deadline, "x", dialect.Native().Ticket, h.tickets.issueOne(t))
	h.Activate(newActive(h.engine, []string{newRawTarget(t, respondOnce("")).address}))
	h.expect(t, 502, OutcomeUnknown, "POST", "/order", "x")
	h.awaitIdle(t)
	var out bytes.Buffer
	h.Metrics().WritePrometheus(&out)
	for _, want := range []string{
		`sapphirehaven_requests_total{service="s",class="lookup",outcome="answered"} 2`,
		`sapphirehaven_requests_total{service="s",class="lookup",outcome="not-run"} 1`,
		`sapphirehaven_requests_total{service="s",class="order",outcome="unknown"} 2`,
		`sapphirehaven_attempts_total{service="s",class="lookup",result="answered"} 2`,
		`sapphirehaven_attempts_total{service="s",class="order",result="connection_lost"} 1`,
		`sapphirehaven_refusals_total{reason="bad_deadline"} 1`,
		`sapphirehaven_refusals_total{reason="no_route"} 1`,
		`sapphirehaven_added_latency_seconds_count{service="s",class="lookup"} 2`,
		`sapphirehaven_requests_in_flight 0`,
		`sapphirehaven_attempts_in_flight{service="s"} 0`,
		`sapphirehaven_requests_waiting{service="s"} 0`,
		`sapphirehaven_floor_active{service="s"} 0`,
		`sapphirehaven_healthy_targets{service="s",state="used"} 0`,
		`sapphirehaven_target_dials_total 2`,
		`sapphirehaven_cross_region_bytes_total{class="lookup",direction="received"} `,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in\n%s", want, &out)
		}
	}
	page, err := os.ReadFile("../../../docs/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range regexp.MustCompile(`(?m)^sapphirehaven_\w+`).FindAllString(out.String(), -1) {
		name = regexp.MustCompile(`_(bucket|sum|count)$`).ReplaceAllString(name, "")
		if !bytes.Contains(page, []byte("`"+name+"`")) {
			t.Errorf("docs/metrics.md does not list %s", name)
		}
	}
}
