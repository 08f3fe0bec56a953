package revision_test

import (
	"runtime"
	"testing"

	"github.com/sapphirehaven/sapphirehaven/internal/core/revision"
	"github.com/sapphirehaven/sapphirehaven/internal/logcodec"
)

const benchRoutes = 70_000

// BenchmarkApplyProposal measures applying a one-section change from the record's
// bytes: decoding, content hash, validation and chain hash.
func BenchmarkApplyProposal(b *testing.B) {
	s := largeState(b, benchRoutes)
	snap := s.Snapshot()
	changed := withRoute(snap.Sections, "route-00007", "/changed")
	data := must(logcodec.Encode(proposal("p1", 1, snap.Sections, changed)))
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		s = revision.New(logcodec.Decode)
		if _, err := s.Adopt(snap); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		if out := s.Apply(revision.Record{Offset: snap.AsOf + 1, Data: data}); !out.Activated {
			b.Fatal(out)
		}
	}
}

// BenchmarkSnapshotEncode measures the time to encode a snapshot and its encoded
// size.
func BenchmarkSnapshotEncode(b *testing.B) {
	snap := largeState(b, benchRoutes).Snapshot()
	size := 0
	for b.Loop() {
		size = len(must(logcodec.EncodeSnapshot(snap)))
	}
	b.ReportMetric(float64(size), "encoded-bytes")
}

// BenchmarkSnapshotDecode measures decoding and adopting a snapshot, as a
// starting host does.
func BenchmarkSnapshotDecode(b *testing.B) {
	data := must(logcodec.EncodeSnapshot(largeState(b, benchRoutes).Snapshot()))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := revision.New(logcodec.Decode).Adopt(must(logcodec.DecodeSnapshot(data))); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMemoryPerRoute measures the live heap that a state occupies.
func BenchmarkMemoryPerRoute(b *testing.B) {
	data := must(logcodec.EncodeSnapshot(largeState(b, benchRoutes).Snapshot()))
	var total float64
	for b.Loop() {
		before := heapBytes()
		s := revision.New(logcodec.Decode)
		if _, err := s.Adopt(must(logcodec.DecodeSnapshot(data))); err != nil {
			b.Fatal(err)
		}
		total += heapBytes() - before
		runtime.KeepAlive(s)
	}
	b.ReportMetric(total/float64(b.N)/benchRoutes, "bytes/route")
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
