package ingress

import (
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"net/http"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// TestRepeatAfterRevision guards against a second run, and against a false "not
// run", when a revision changes the class between a request and its repeat.
func TestRepeatAfterRevision(t *testing.T) {
	for name, change := range map[string]func(*document.Class){
		"upload":     func(c *document.Class) { c.Upload = &document.Upload{MinBytesPerSecond: 1} },
		"idempotent": func(c *document.Class) { c.Idempotent = true },
		"size":       func(c *document.Class) { c.MaxRequestBytes = 1 },
	} {
		target := serveRaw(t, always(okResponse))
		h := newHost(t, 2, target.address)
		ticket := h.tickets.draw(t)
		h.expect(t, http.StatusOK, OutcomeAnswered, http.MethodPost, "/order", "xy", "X-Key", "k", dialect.Native().Ticket, ticket)
		active := *h.ActiveConfig()
		b := *active.Backends["s"]
		class := *b.Classes["order"]
		change(&class)
		b.Classes["order"] = &class
		active.Backends["s"] = &b
		active.Revision = 2
		h.Activate(&active)
		r := h.send(t.Context(), http.MethodPost, "/order", "xy", "X-Key", "k", dialect.Native().Ticket, ticket)
		if target.count("k") != 1 || r.outcome == OutcomeNotRun {
			t.Errorf("%s: repeat got status %d outcome %s %s; the target got it %d times", name, r.status, r.outcome, r.body, target.count("k"))
		}
	}
}
