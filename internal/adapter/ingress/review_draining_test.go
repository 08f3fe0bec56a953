package ingress

import (
	"net/http"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// TestDrainingHeaderOutweighsReport guards against new work for a leaving target
// that announces draining in the header of a complete answer, when a stale load
// report follows.
func TestDrainingHeaderOutweighsReport(t *testing.T) {
	const draining = "HTTP/1.1 200 OK\r\nSapphirehaven-Draining: true\r\nContent-Length: 2\r\n\r\nok"
	leaving := serveRaw(t, always(draining))
	h := newHost(t, 2, leaving.address)
	h.expect(t, http.StatusOK, OutcomeAnswered, http.MethodGet, "/lookup", "")
	h.engine.LoadReport(dispatch.LoadReport{Target: targetID(0), Slots: 2})
	_, targets := h.engine.Status()
	if got := targets[0].State.String(); got != "draining" {
		t.Fatalf("the state after a stale load report is %s", got)
	}
}
