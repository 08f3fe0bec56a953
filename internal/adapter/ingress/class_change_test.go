package ingress

import (
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"net"
	"net/http"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
)

// TestClassBecomesIdempotent checks that a request accepted as non-idempotent is
// executed at most once if a new revision makes its class idempotent before the
// request reaches the dispatcher. A slow request body can delay the request in
// this way until its deadline.
func TestClassBecomesIdempotent(t *testing.T) {
	closeWithoutResponse := func(int, net.Conn, *http.Request) bool { return false }
	first, second := newRawTarget(t, closeWithoutResponse), newRawTarget(t, closeWithoutResponse)
	h := newTestHost(t, 2, first.address, second.address)
	next := dispatchConfig(2, 2)
	next.Revision = 2
	next.Classes = append([]dispatch.Class(nil), next.Classes...)
	for i := range next.Classes {
		next.Classes[i].Idempotent = true
	}
	h.engine.Configure(next)
	h.expect(t, http.StatusBadGateway, OutcomeUnknown, http.MethodPost, "/order", "x", "X-Key", "k", dialect.Native().Ticket, h.tickets.issueOne(t))
	if n := first.count("k") + second.count("k"); n != 1 {
		t.Fatalf("the targets got the request %d times", n)
	}
}
