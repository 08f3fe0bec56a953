package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// TestLeavingTakesEffectAtHead guards against requests to a target that states to be
// leaving while a long response of it is still being forwarded.
func TestLeavingTakesEffectAtHead(t *testing.T) {
	headSent, release := make(chan struct{}), make(chan struct{})
	leaving := newRawTarget(t, func(_ int, c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nContent-Length: 4\r\n\r\nok")
		close(headSent)
		<-release
		_, _ = io.WriteString(c, "ok")
		return false
	})
	h := newTestHostWith(t, func(o *hostOptions) {
		o.target.Dialect.Leaving = "X-Leaving"
		o.Dialect = o.target.Dialect
		o.dispatch.SelectByCost = true
	}, 8, leaving.address)
	done := make(chan testResponse)
	go func() { done <- h.send(t.Context(), http.MethodGet, "/lookup", "", "X-Key", "first") }()
	<-headSent
	waitFor(t, "the statement has no effect before the end of the response", func() bool {
		status, _ := h.engine.Status()
		return status.Leaving == 1
	})
	for i := range 3 {
		key := fmt.Sprint(i)
		r := h.send(t.Context(), http.MethodGet, "/lookup", "", "X-Key", key)
		if r.status != http.StatusServiceUnavailable || leaving.count(key) != 0 {
			t.Errorf("status %d, the leaving target got the request %d times", r.status, leaving.count(key))
		}
	}
	close(release)
	if r := <-done; r.err != nil || r.body != "okok" {
		t.Errorf("the first request: %+v", r)
	}
}
