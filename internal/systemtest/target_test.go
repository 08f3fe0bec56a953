//go:build linux

package systemtest

import (
	"fmt"
	"github.com/sapphirehaven/sapphirehaven/internal/dialect"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
)

// countingTarget counts the requests that it receives, except probes and load
// reports. While draining it sets the draining header but still serves requests:
// if it rejected them, hosts would back off as for any target that sheds load,
// which would hide that they ignore the header.
type countingTarget struct {
	address  string
	requests atomic.Int64
	draining atomic.Bool
}

func newCountingTarget(t *testing.T) *countingTarget {
	c := &countingTarget{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(dialect.Native().RequestID, r.Header.Get(dialect.Native().RequestID))
		switch r.URL.Path {
		case "/healthz":
			return
		case "/load":
			fmt.Fprintf(w, `{"in_flight":0,"slots":6,"draining":%t}`, c.draining.Load())
			return
		}
		c.requests.Add(1)
		if c.draining.Load() {
			w.Header().Set("Sapphirehaven-Draining", "true")
		}
	}))
	t.Cleanup(server.Close)
	c.address = strings.TrimPrefix(server.URL, "http://")
	return c
}

// TestDrainingAndRemovedTargets guards against new requests to a target that
// announces draining or that a new document no longer contains.
func TestDrainingAndRemovedTargets(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addTargets(2)
	draining, removed := newCountingTarget(t), newCountingTarget(t)
	remaining := f.lookupTargets
	// Hosts prefer targets in their own zone. Every second target is in zone a, so
	// both hosts use the draining and the removed target.
	f.lookupTargets = []string{draining.address, remaining[0], removed.address, remaining[1]}
	f.addHost("host-1", "a")
	f.addHost("host-2", "a")
	f.mustApply(0, f.document("first"))
	sendLookups := func(count int) {
		for range count {
			if err := f.lookupOnAllHosts(); err != nil {
				t.Fatal(err)
			}
		}
	}
	waitFor(t, "both targets receive requests", func() bool {
		sendLookups(1)
		return draining.requests.Load() > 0 && removed.requests.Load() > 0
	})
	draining.draining.Store(true)
	waitFor(t, "all hosts consider the target draining", func() bool {
		sendLookups(1)
		for _, h := range f.hosts {
			if h.targetState("index-1") != "draining" {
				return false
			}
		}
		return true
	})
	before := draining.requests.Load()
	sendLookups(60)
	if after := draining.requests.Load(); after != before {
		t.Errorf("the draining target received %d more requests", after-before)
	}
	f.mustApply(1, newDocument("second", []string{draining.address, remaining[0], remaining[1]}, f.noticeTargets))
	before = removed.requests.Load()
	sendLookups(60)
	if after := removed.requests.Load(); after != before {
		t.Errorf("the removed target received %d more requests", after-before)
	}
}

func (h *host) targetState(target string) string {
	for _, s := range h.status().Services {
		for _, t := range s.Targets {
			if t.Name == target {
				return t.State
			}
		}
	}
	return ""
}
