package ingress

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sapphirehaven/sapphirehaven/internal/requestlog"
)

// newLoggingHost starts a host with one target that answers. text ends the log and returns
// what was written to it.
func newLoggingHost(t *testing.T, change func(*hostOptions)) (h *testHost, text func() string) {
	t.Helper()
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	requests := requestlog.New(log)
	target := newRawTarget(t, respondAlways(okResponse))
	h = newTestHostWith(t, func(o *hostOptions) {
		o.Log = requests
		change(o)
	}, 1, target.address)
	return h, func() string {
		h.awaitIdle(t)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		requests.Run(ended)
		return out.String()
	}
}

// TestLogNamesRoute guards against lines about requests that do not tell which route and
// revision decided, so that a route that is not served or is served by an old configuration
// cannot be found in the logs.
func TestLogNamesRoute(t *testing.T) {
	h, text := newLoggingHost(t, func(*hostOptions) {})
	h.expect(t, http.StatusOK, OutcomeAnswered, "GET", "/lookup", "")
	h.expect(t, http.StatusNotFound, OutcomeNotRun, "GET", "/unknown", "")
	h.expect(t, http.StatusBadRequest, OutcomeNotRun, "GET", "/lookup", "", h.cfg.Dialect.Deadline, "soon")
	log := text()
	for _, want := range []string{
		"attempt= event=attempt revision=1 route=lookup service=s",
		"event=problem problem=no_route revision=1",
		"class=lookup event=problem problem=bad_deadline revision=1 route=lookup service=s",
	} {
		if !containsLine(log, strings.Fields(want)) {
			t.Errorf("no line has all of %q in:\n%s", want, log)
		}
	}
}

// TestLateResponseIsLogged guards against responses after the deadline of their request that
// leave no trace: a caller that was answered late looks like one that was answered in time.
func TestLateResponseIsLogged(t *testing.T) {
	h, text := newLoggingHost(t, func(o *hostOptions) {
		// Stands for a host that gets no processor time before it passes the request on.
		o.AwaitSignals = func() { time.Sleep(2 * lateResponse) }
	})
	h.send(t.Context(), "GET", "/lookup", "", h.cfg.Dialect.Deadline, "10")
	if log := text(); !containsLine(log, strings.Fields("event=late_response late_ms= revision=1 route=lookup service=s")) {
		t.Errorf("the late response is not in:\n%s", log)
	}
}

// containsLine reports whether a line of text contains all parts.
func containsLine(text string, parts []string) bool {
	for line := range strings.Lines(text) {
		missing := false
		for _, part := range parts {
			missing = missing || !strings.Contains(line, part)
		}
		if !missing {
			return true
		}
	}
	return false
}
