//go:build linux

package systemtest

import (
	"strings"
	"testing"
)

// Guards against a host without a way to the log service missing documents that
// its peers have.
func TestLogCutFromOneHost(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 2)
	relay := newRelay(t, strings.TrimPrefix(f.logURL, "http://"))
	h := f.addHost("host-3", "b", "-log-url", "http://"+relay.address)
	f.waitMembers(f.hosts...)
	relay.setCut(true)
	for base := uint64(1); base <= 3; base++ {
		f.mustApply(base, f.document("after-the-cut-"+string(rune('0'+base))))
	}
	late := f.addHost("host-4", "a", "-log-url", "http://"+relay.address)
	f.waitRevision(4, late)
	if result, code := h.apply(t, 4, f.document("through-the-cut-host")); code == 0 || !strings.Contains(result.Reason, "the log service did not take the document") {
		t.Errorf("apply through the cut host: exit code %d, %+v", code, result)
	}
}

// Guards against a cut in one direction between two hosts making one of them
// look failed.
func TestOneWayCut(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 3)
	peer := freeAddress(t)
	relay := newRelay(t, peer)
	deaf := f.hosts[0]
	relay.drop = func(source string) bool { return source == deaf.peer }
	go relay.passDatagrams()
	behind := f.addHost("host-4", "b", "-peer-listen", peer, "-peer-advertise", relay.address)
	f.list(behind, relay.address)
	f.waitMembers(f.hosts[1:]...)
	waitFor(t, "probes through the cut were lost", func() bool { return relay.dropped.Load() >= 10 })
	for _, h := range f.hosts[:3] {
		if state := h.stateOf(behind.id); state != "alive" {
			t.Errorf("%s holds the host behind the cut as %q", h.id, state)
		}
		if n := h.events("member_failed", ""); n != 0 {
			t.Errorf("%s held hosts as failed %d times", h.id, n)
		}
	}
	// Without indirect probes about half of the lost messages lead to a
	// suspicion. One is allowed for a moment in which the machine is too busy.
	if n := deaf.events("member_suspected", "member="+behind.id); n > 1 {
		t.Errorf("%s suspected the host behind the cut %d times", deaf.id, n)
	}
	f.mustApply(1, f.document("second"))
}
