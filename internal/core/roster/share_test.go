package roster

import (
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// shares returns the sum of the parts of all coordinators.
func (n *network) shares() float64 {
	sum := 0.0
	for _, id := range n.ids() {
		if !n.down[id] {
			sum += n.hosts[id].FollowerShare(n.now)
		}
	}
	return sum
}

// TestFollowerShareOfOneCoordinator guards against a region whose only coordinator may not
// hand out everything.
func TestFollowerShareOfOneCoordinator(t *testing.T) {
	for _, perZone := range []int{1, 18, 80} {
		n := newNetwork(region(perZone))
		n.run(3 * time.Second)
		if got := n.shares(); got != 1 {
			t.Errorf("%d hosts: the parts add up to %v", 2*perZone, got)
		}
	}
}

// TestFollowerShareInPartition guards against two coordinators on the two sides of a
// partition that each hand out everything.
func TestFollowerShareInPartition(t *testing.T) {
	n := newNetwork(region(18))
	n.run(3 * time.Second)
	inA := func(id ident.HostID) bool { return id[0] == 'a' }
	n.cut = func(from, to ident.HostID) bool { return inA(from) != inA(to) }
	for range 100 {
		n.run(50 * time.Millisecond)
		if got := n.shares(); got > 1 {
			t.Fatalf("the parts add up to %v", got)
		}
	}
	if got := n.shares(); got < 0.9 {
		t.Errorf("the parts add up to %v only", got)
	}
	n.cut = nil
	n.run(3 * time.Second)
	if got := n.shares(); got != 1 {
		t.Errorf("after the partition the parts add up to %v", got)
	}
}

// TestFollowerShareAfterLoss guards against a region that never hands out everything again
// after hosts were removed for good.
func TestFollowerShareAfterLoss(t *testing.T) {
	n := newNetwork(region(2))
	n.run(3 * time.Second)
	for _, id := range []ident.HostID{"a0"} {
		n.down[id] = true
	}
	n.run(5 * time.Second)
	if got := n.shares(); got != 0.75 {
		t.Errorf("the parts add up to %v after the loss of one of four hosts", got)
	}
	for _, r := range n.hosts {
		r.regionSizeAt = n.now.Add(-hostForgetTime)
	}
	n.run(time.Second)
	if got := n.shares(); got != 1 {
		t.Errorf("the parts add up to %v after %v", got, hostForgetTime)
	}
}
