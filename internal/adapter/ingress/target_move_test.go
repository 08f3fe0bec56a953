package ingress

import (
	"net"
	"net/http"
	"testing"
)

// TestMovedTargetAfterWait checks that a request that was waiting while a new
// revision changed the address of its target is sent to the new address.
func TestMovedTargetAfterWait(t *testing.T) {
	started, release := make(chan struct{}, 1), make(chan struct{})
	before := newRawTarget(t, func(n int, c net.Conn, r *http.Request) bool {
		started <- struct{}{}
		<-release
		return respondAlways(okResponse)(n, c, r)
	})
	after := newRawTarget(t, respondAlways(okResponse))
	h := newTestHost(t, 1, before.address)
	done := make(chan testResponse, 2)
	go func() { done <- h.send(t.Context(), http.MethodPost, "/order", "x", "X-Key", "first") }()
	<-started
	go func() { done <- h.send(t.Context(), http.MethodPost, "/order", "x", "X-Key", "second") }()
	waitFor(t, "the second request does not wait", func() bool {
		s, _ := h.engine.Status()
		return s.Waiting == 1
	})
	cfg := dispatchConfig(1, 1)
	cfg.Revision = 2
	h.engine.Configure(cfg)
	h.Activate(newActive(h.engine, []string{after.address}))
	close(release)
	for range 2 {
		if r := <-done; r.err != nil || r.status != http.StatusOK {
			t.Fatalf("%+v", r)
		}
	}
	if before.count("second") != 0 || after.count("second") != 1 {
		t.Fatalf("the old address received the waiting request %d times, the new one %d times", before.count("second"), after.count("second"))
	}
}
