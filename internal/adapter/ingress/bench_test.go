package ingress

import (
	"testing"
)

// BenchmarkRequest measures a small request from a caller through a host to a
// target, with all three in one process.
func BenchmarkRequest(b *testing.B) {
	h := newTestHost(b, 64, newRawTarget(b, respondAlways(okResponse)).address)
	b.ReportAllocs()
	for b.Loop() {
		h.expect(b, 200, OutcomeAnswered, "GET", "/lookup", "")
	}
}
