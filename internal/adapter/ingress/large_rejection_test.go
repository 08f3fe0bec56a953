package ingress

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestLargeRejection checks that a rejection that is too large to be buffered is not
// forwarded with its status, which tells callers that the request did not run, if the
// target does not state so or its response is cut.
func TestLargeRejection(t *testing.T) {
	body := strings.Repeat("x", 200<<10)
	for name, tt := range map[string]struct{ header, body string }{
		"without statement": {"", body},
		"cut":               {"X-Not-Run: 1\r\n", body[1:]},
		"complete":          {"X-Not-Run: 1\r\n", body},
	} {
		for _, status := range []string{"503 Full", "429 Many", "421 Other", "408 Late"} {
			t.Run(name+"/"+status, func(t *testing.T) {
				rejecting := respondingTarget(t, func(r *http.Request) string {
					return "HTTP/1.1 " + status + "\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nConnection: close\r\n" + tt.header + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + tt.body
				})
				h := newRepeatingHost(t, true, []string{rejecting})
				backend := h.ActiveConfig().Backends["s"]
				backend.Service.Health.ShedStatuses = []int{408, 421, 429, 503}
				backend.Classes["order"].NotRunStatuses = nil
				r := h.send(t.Context(), "POST", "/order", "body", "X-Id", "id-1", "X-Left", "900")
				if impliesNotRun(r.status) && name != "complete" {
					t.Errorf("status %d without proof that the request did not run (%d bytes, %v)", r.status, len(r.body), r.err)
				}
			})
		}
	}
}
