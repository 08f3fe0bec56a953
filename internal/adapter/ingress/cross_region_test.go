package ingress

import (
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/standin"
)

// newCrossRegionHost starts a host whose target is in another region.
func newCrossRegionHost(tb testing.TB, cfg standin.LinkConfig, rate int64) (*testHost, *standin.Link) {
	tb.Helper()
	srv := httptest.NewServer(standin.NewTarget(standin.TargetConfig{Name: "t", Slots: 64}).Handler())
	link, err := standin.NewLink(srv.Listener.Addr().String(), cfg)
	if err != nil {
		tb.Fatal(err)
	}
	h := newTestHostWith(tb, func(o *hostOptions) { o.target.CrossRegionBytesPerSecond = rate }, 64, link.Address())
	active := newActive(h.engine, nil)
	active.Backends["s"].Targets["t0"] = Endpoint{Address: link.Address(), Region: "other"}
	h.Activate(active)
	tb.Cleanup(func() {
		link.Close()
		srv.CloseClientConnections()
		srv.Close()
	})
	return h, link
}

// TestBytesAcrossRegions checks that cross-region traffic, which is billed, is
// counted for the class of its request.
func TestBytesAcrossRegions(t *testing.T) {
	h, _ := newCrossRegionHost(t, standin.LinkConfig{}, 0)
	h.expect(t, 200, OutcomeAnswered, "GET", "/lookup?size=50000", "")
	h.expect(t, 200, OutcomeAnswered, "POST", "/upload", strings.Repeat("x", 100_000))
	list := h.cfg.Transport.Traffic()
	if len(list) != 2 || list[0].Class != "lookup" || list[0].Received < 50_000 || list[0].Sent > 2000 ||
		list[1].Class != "upload" || list[1].Sent < 100_000 || list[1].Received > 2000 {
		t.Fatalf("%+v", list)
	}
}

// TestFrozenConnections checks that a request on an unresponsive connection does
// not wait until its deadline, and that the other idle connections to the target
// are not used after one has become unresponsive.
func TestFrozenConnections(t *testing.T) {
	h, link := newCrossRegionHost(t, standin.LinkConfig{}, 0)
	responses := make(chan testResponse)
	for range 6 {
		go func() { responses <- h.send(t.Context(), "GET", "/lookup", "") }()
	}
	for range 6 {
		if r := <-responses; r.outcome != OutcomeAnswered {
			t.Fatalf("%+v", r)
		}
	}
	link.StallConnections()
	start := time.Now()
	h.expect(t, 200, OutcomeAnswered, "GET", "/lookup", "", dialect.Native().Deadline, "5000")
	firstLatency := time.Since(start)
	for range 6 {
		h.expect(t, 200, OutcomeAnswered, "GET", "/lookup", "", dialect.Native().Deadline, "500")
	}
	t.Logf("the first request took %v, the next 6 together %v", firstLatency, time.Since(start)-firstLatency)
}

// BenchmarkLookupAcrossLink reports the latency of lookups over a cross-region
// link, without other traffic and with a concurrent large upload.
func BenchmarkLookupAcrossLink(b *testing.B) {
	for _, c := range []struct {
		name   string
		upload bool
		rate   int64
	}{{"alone", false, 0}, {"upload-unpaced", true, 0}, {"upload-paced-1MiB", true, 1 << 20}} {
		b.Run(c.name, func(b *testing.B) {
			h, _ := newCrossRegionHost(b, standin.CrossRegionLinkConfig(), c.rate)
			if c.upload {
				body, stop := io.Pipe()
				defer stop.Close()
				go h.upload(body)
				go func() { _, _ = io.Copy(stop, endlessReader{}) }()
				time.Sleep(time.Second)
			}
			var took []time.Duration
			for b.Loop() {
				start := time.Now()
				h.expect(b, 200, OutcomeAnswered, "GET", "/lookup", "", dialect.Native().Deadline, "60000")
				took = append(took, time.Since(start))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "ms-p50")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "ms-p99")
		})
	}
}

// upload sends a request body of unlimited length until the body is closed.
func (h *testHost) upload(body io.Reader) {
	req, err := http.NewRequest("POST", h.url+"/upload", body)
	if err != nil {
		return
	}
	req.Header.Set(dialect.Native().Deadline, "60000")
	if res, err := h.client.Do(req); err == nil {
		res.Body.Close()
	}
}
