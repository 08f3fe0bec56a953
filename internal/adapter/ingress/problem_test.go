package ingress

import (
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"net/http"
	"strings"
	"testing"
)

// TestNamedErrors guards against an error that does not name what is wrong.
func TestNamedErrors(t *testing.T) {
	h := newHost(t, 4, serveRaw(t, always(okResponse)).address)
	const own = "/.sapphirehaven/v1/"
	for _, c := range []struct {
		method, path, body string
		header             []string
		status             int
		want               []string
	}{
		{"GET", own + "addresses?service=none", "", nil, 404, []string{"unknown_service", `"service: `, "none"}},
		{"GET", own + "addresses", "", nil, 404, []string{"unknown_service"}},
		{"GET", own + "addresses?service=s&tickets=x", "", nil, 400, []string{"bad_count", "1 to 64"}},
		{"POST", own + "tickets?count=0", "", nil, 400, []string{"bad_count", "1 to 64"}},
		{"POST", own + "tickets?count=65", "", nil, 400, []string{"bad_count"}},
		{"GET", own + "tickets?count=1", "", nil, 405, []string{"bad_method", "POST"}},
		{"POST", own + "addresses?service=s", "", nil, 405, []string{"bad_method", "GET"}},
		{"GET", own + "none", "", nil, 404, []string{"unknown_resource", "none"}},
		{"GET", "/none", "", nil, 404, []string{"no_route", "GET /none"}},
		{"POST", "/order", strings.Repeat("x", 1<<20+1), nil, 413, []string{"body_too_large", "max_request_bytes", "order"}},
		{"POST", "/order", "x", []string{dialect.Native().Deadline, "x"}, 400, []string{"bad_deadline", dialect.Native().Deadline}},
	} {
		r := h.expect(t, c.status, OutcomeNotRun, c.method, c.path, c.body, c.header...)
		for _, want := range append(c.want, `"urn:sapphirehaven:problem:`) {
			if !strings.Contains(strings.ReplaceAll(r.body, `\"`, ""), want) {
				t.Errorf("%s %s: %s does not name %s", c.method, c.path, r.body, want)
			}
		}
		if r.status == 405 && r.header.Get("Allow") == "" {
			t.Errorf("%s %s: no Allow header", c.method, c.path)
		}
	}
}

// TestRefusedProtocols guards against a caller whose HTTP version can't tell a
// truncated response, and against an unbounded header.
func TestRefusedProtocols(t *testing.T) {
	h := newHost(t, 4, serveRaw(t, always(okResponse)).address)
	_, br := h.dial(t, "GET /lookup HTTP/1.0\r\nHost: h\r\n\r\n")
	expectRaw(t, br, 505, OutcomeNotRun)
	_, br = h.dial(t, "POST /order HTTP/1.0\r\nHost: h\r\nContent-Length: 0\r\n"+dialect.Native().Ticket+": x\r\n\r\n")
	expectRaw(t, br, 505, OutcomeUnknown)
	_, br = h.dial(t, "GET /lookup HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 64<<10)+"\r\n\r\n")
	expectRaw(t, br, http.StatusRequestHeaderFieldsTooLarge, "")
}
