package ingress

import (
	"net/http"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// TestDrainingHeaderOutweighsReport checks that a target that announced draining
// in a response header remains draining when a stale load report follows.
func TestDrainingHeaderOutweighsReport(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nSapphirehaven-Draining: true\r\nContent-Length: 2\r\n\r\nok"
	drainingTarget := newRawTarget(t, respondAlways(response))
	h := newTestHost(t, 2, drainingTarget.address)
	h.expect(t, http.StatusOK, OutcomeAnswered, http.MethodGet, "/lookup", "")
	h.engine.LoadReport(dispatch.LoadReport{Target: targetID(0), Slots: 2})
	_, targets := h.engine.Status()
	if got := targets[0].State.String(); got != "draining" {
		t.Fatalf("the state after a stale load report is %s", got)
	}
}
