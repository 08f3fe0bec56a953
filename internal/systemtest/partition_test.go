//go:build linux

package systemtest

import (
	"strings"
	"testing"
)

// TestLogUnreachableFromOneHost guards against a host that can't reach the log
// service missing documents that its peers have.
func TestLogUnreachableFromOneHost(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 2)
	proxy := newProxy(t, strings.TrimPrefix(f.logURL, "http://"))
	h := f.addHost("host-3", "b", "-log-url", "http://"+proxy.address)
	f.waitMembers(f.hosts...)
	proxy.setTCPBlocked(true)
	for base := uint64(1); base <= 3; base++ {
		f.mustApply(base, f.document("after-partition-"+string(rune('0'+base))))
	}
	late := f.addHost("host-4", "a", "-log-url", "http://"+proxy.address)
	f.waitRevision(4, late)
	if result, code := h.apply(t, 4, f.document("through-partitioned-host")); code == 0 || !strings.Contains(result.Reason, "the log service did not take the document") {
		t.Errorf("apply through the partitioned host: exit code %d, %+v", code, result)
	}
}

// TestOneWayPartition guards against a one-way network partition between two
// hosts causing one of them to be considered failed.
func TestOneWayPartition(t *testing.T) {
	t.Parallel()
	f := newServingFleet(t, 3)
	peer := freeAddress(t)
	proxy := newProxy(t, peer)
	blocked := f.hosts[0]
	proxy.drop = func(source string) bool { return source == blocked.peer }
	go proxy.forwardDatagrams()
	proxied := f.addHost("host-4", "b", "-peer-listen", peer, "-peer-advertise", proxy.address)
	f.registerHost(proxied, proxy.address)
	f.waitMembers(f.hosts[1:]...)
	waitFor(t, "at least 10 probes were dropped", func() bool { return proxy.dropped.Load() >= 10 })
	for _, h := range f.hosts[:3] {
		if state := h.memberState(proxied.id); state != "alive" {
			t.Errorf("%s considers the host behind the partition %q, want alive", h.id, state)
		}
		if n := h.countEvents("member_failed", ""); n != 0 {
			t.Errorf("%s considered hosts failed %d times", h.id, n)
		}
	}
	// Without indirect probes, about half of the lost messages cause a suspicion.
	// One suspicion is allowed because the machine may be temporarily overloaded.
	if n := blocked.countEvents("member_suspected", "member="+proxied.id); n > 1 {
		t.Errorf("%s suspected the host behind the partition %d times", blocked.id, n)
	}
	f.mustApply(1, f.document("second"))
}
