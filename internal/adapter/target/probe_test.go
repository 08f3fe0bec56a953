package target

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
)

// TestProbe guards against a probe that waits longer than its own timeout or
// succeeds without a complete 2xx response.
func TestProbe(t *testing.T) {
	for raw, ok := range map[string]bool{
		"HTTP/1.1 200 OK\r\nSapphirehaven-Request-Id: x\r\nContent-Length: 2\r\n\r\nok": true,
		"HTTP/1.1 204 OK\r\nSapphirehaven-Draining: true\r\n\r\n":                       true,
		"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n":                                   false,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok":                                false,
		"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + string(make([]byte, 5000)):  false,
	} {
		p := newTransport(t, nil).Probe(t.Context(), ProbeRequest{Address: respondRaw(t, raw, true), Path: "/p"})
		if p.OK != ok || p.Draining != (p.Status == 204) {
			t.Errorf("%.40q: %+v", raw, p)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		tr := newTransport(t, func(c *Config) {
			c.Dial = pipeDial(func(_ int, c net.Conn) { _, _ = io.Copy(io.Discard, c) })
		})
		p := tr.Probe(t.Context(), ProbeRequest{Address: "a", Path: "/p"})
		if p.OK || p.Result.Kind != attempt.TimedOut || p.Latency != time.Second {
			t.Errorf("%+v", p)
		}
	})
}

// TestLoadReport guards against a load report that is accepted although it is
// malformed.
func TestLoadReport(t *testing.T) {
	for body, want := range map[string]Load{
		`{"in_flight":3,"slots":6,"draining":true,"x":1}`: {3, 6, true},
		`{"in_flight":-1,"slots":6}`:                      {},
		`{"in_flight":1`:                                  {},
		``:                                                {},
	} {
		address := respondRaw(t, "HTTP/1.1 200 OK\r\n\r\n"+body, true)
		got, err := newTransport(t, nil).LoadReport(t.Context(), ProbeRequest{Address: address, Path: "/l"})
		if got != want || (err == nil) != (want != Load{}) {
			t.Errorf("%q: %+v %v", body, got, err)
		}
	}
	address := respondRaw(t, "HTTP/1.1 404 x\r\nContent-Length: 2\r\n\r\n{}", true)
	if _, err := newTransport(t, nil).LoadReport(t.Context(), ProbeRequest{Address: address, Path: "/l"}); err == nil {
		t.Error("a status that is not 200 is accepted")
	}
}
