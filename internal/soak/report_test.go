package soak

import (
	"strings"
	"testing"
	"time"
)

// TestReport guards against a report that leaves out what leads to the cause of a breach.
func TestReport(t *testing.T) {
	r := Report{Seed: 7, LogDir: "logs", started: at(0), events: []event{{at: time.Second, kind: stopHost}}, history: disruptions{{cause: planned, place: none, start: at(1_000), name: "stop"}}}
	r.breaches = []breach{{ruleLost, at(2_500), "id-1", "closed"}, {ruleTwice, at(3_000), "id-2", "ran again"}}
	var text strings.Builder
	r.WriteText(&text)
	for _, want := range []string{"seed 7: failed", "first breach, of 2:   2.50s lost-request: request \"id-1\": closed", "then:   3.00s ran-twice", "1.00s stop host 1", "1.00s to the end: host 1", "explain -request id-1 logs/host-*.log"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the report lacks %q: %s", want, text.String())
		}
	}
}
