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

// countingTarget counts every request for work that reaches it. While it drains,
// it announces so and goes on answering: a refusal would make hosts pause as for
// any target that sheds, and hide that the announcement is not followed.
type countingTarget struct {
	address  string
	work     atomic.Int64
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
		c.work.Add(1)
		if c.draining.Load() {
			w.Header().Set("Sapphirehaven-Draining", "true")
		}
	}))
	t.Cleanup(server.Close)
	c.address = strings.TrimPrefix(server.URL, "http://")
	return c
}

// Guards against new work for a target that announces draining or that a new
// document leaves out.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.addTargets(2)
	draining, removed := newCountingTarget(t), newCountingTarget(t)
	remaining := f.lookups
	// Hosts prefer targets of their own zone, which is that of every second
	// target, so that each host uses both.
	f.lookups = []string{draining.address, remaining[0], removed.address, remaining[1]}
	f.addHost("host-1", "a")
	f.addHost("host-2", "a")
	f.mustApply(0, f.document("first"))
	lookups := func(count int) {
		for range count {
			if err := f.lookupEverywhere(); err != nil {
				t.Fatal(err)
			}
		}
	}
	waitFor(t, "both targets work", func() bool {
		lookups(1)
		return draining.work.Load() > 0 && removed.work.Load() > 0
	})
	draining.draining.Store(true)
	waitFor(t, "every host knows that the target drains", func() bool {
		lookups(1)
		for _, h := range f.hosts {
			if h.targetState("index-1") != "draining" {
				return false
			}
		}
		return true
	})
	before := draining.work.Load()
	lookups(60)
	if after := draining.work.Load(); after != before {
		t.Errorf("the draining target got %d more requests", after-before)
	}
	f.mustApply(1, documentOf("second", []string{draining.address, remaining[0], remaining[1]}, f.press))
	before = removed.work.Load()
	lookups(60)
	if after := removed.work.Load(); after != before {
		t.Errorf("the removed target got %d more requests", after-before)
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
