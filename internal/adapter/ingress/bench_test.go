package ingress

import (
	"testing"
)

// BenchmarkRequest measures a small request from a caller through the host to a
// target, all in one process.
func BenchmarkRequest(b *testing.B) {
	h := newHost(b, 64, serveRaw(b, always(okResponse)).address)
	b.ReportAllocs()
	for b.Loop() {
		h.expect(b, 200, OutcomeAnswered, "GET", "/lookup", "")
	}
}
