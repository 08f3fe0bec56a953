package ingress

import (
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"net"
	"net/http"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// TestClassBecomesIdempotent guards against a second execution of a request that
// this host accepted as non-idempotent, when a new revision makes its class
// idempotent before the request reaches the dispatcher. A slow request body
// keeps this window open for as long as the deadline.
func TestClassBecomesIdempotent(t *testing.T) {
	breakOff := func(int, net.Conn, *http.Request) bool { return false }
	first, second := serveRaw(t, breakOff), serveRaw(t, breakOff)
	h := newHost(t, 2, first.address, second.address)
	next := dispatchConfig(2, 2)
	next.Revision = 2
	next.Classes = append([]dispatch.Class(nil), next.Classes...)
	for i := range next.Classes {
		next.Classes[i].Idempotent = true
	}
	h.engine.Configure(next)
	h.expect(t, http.StatusBadGateway, OutcomeUnknown, http.MethodPost, "/order", "x", "X-Key", "k", dialect.Native().Ticket, h.tickets.draw(t))
	if n := first.count("k") + second.count("k"); n != 1 {
		t.Fatalf("the targets got the request %d times", n)
	}
}
