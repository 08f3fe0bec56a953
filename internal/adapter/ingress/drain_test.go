package ingress

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
)

// TestLatestStart guards against a stopping host that passes on requests which it may be unable to answer
// before its end, and against one that rejects requests which end in time anyway.
func TestLatestStart(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	d := newDrain()
	d.startedAt, d.deadline = start, at(5.5)
	for _, c := range []struct {
		name                        string
		deadline, objective, latest float64
		limited                     bool
	}{
		{"deadline within the stop", 5.4, 0, 0, false},
		{"deadline at the end of the stop", 5.5, 1, 0, false},
		{"deadline after the stop, no objective", 5.6, 0, 0, true},
		{"deadline after the stop, short objective", 20, 0.5, 2.75, true},
		{"deadline after the stop, long objective", 20, 4, 1.5, true},
		{"objective longer than the stop", 20, 8, -2.5, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, limited := d.latestStart(at(c.deadline), time.Duration(c.objective*float64(time.Second)))
			if limited != c.limited || limited && !got.Equal(at(c.latest)) {
				t.Errorf("latest start %s after the start of the stop (limited: %v), want %v s (%v)", got.Sub(start), limited, c.latest, c.limited)
			}
		})
	}
	d.deadline = at(30)
	if got, _ := d.latestStart(at(40), time.Second); !got.Equal(start.Add(maxTypicalTime)) {
		t.Errorf("latest start %s after the start of a long stop, want %s", got.Sub(start), maxTypicalTime)
	}
}

// TestStopRejectsRequestsThatNeedLonger guards against a stopping host that passes on a request, or lets it
// wait for a target, whose deadline lies after the stop, and against one that rejects requests which end
// in time.
func TestStopRejectsRequestsThatNeedLonger(t *testing.T) {
	handle, started, _ := silentHandler()
	h := newTestHost(t, 1, newRawTarget(t, handle).address)
	go h.send(t.Context(), http.MethodPost, "/order", "x", dialect.Native().Deadline, "3000")
	<-started
	waiting := make(chan testResponse, 1)
	go func() { waiting <- h.send(t.Context(), http.MethodPost, "/order", "x") }()
	waitFor(t, "the second request does not wait", func() bool {
		status, _ := h.engine.Status()
		return status.Waiting == 1
	})
	begin := time.Now()
	h.Drain(begin.Add(2 * time.Second))
	if r := <-waiting; r.status != http.StatusServiceUnavailable || r.outcome != OutcomeNotRun {
		t.Errorf("response to the waiting request: %+v", r)
	}
	h.expect(t, http.StatusServiceUnavailable, OutcomeNotRun, http.MethodPost, "/order", "x")
	if took := time.Since(begin); took > time.Second {
		t.Errorf("the rejections took %s, want none to wait", took)
	}
	if r := h.send(t.Context(), http.MethodPost, "/order", "x", dialect.Native().Deadline, "100"); r.err != nil || strings.Contains(r.body, "host_stopping") {
		t.Errorf("response to a request that ends in time: %+v", r)
	}
	if len(started) != 0 {
		t.Errorf("%d requests were passed on", len(started))
	}
}
