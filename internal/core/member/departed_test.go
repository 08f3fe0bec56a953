package member

import (
	"testing"
	"time"
)

// Guards against a host that starts after a departure not knowing who took over
// the tickets of the departed host, whether or not the host list still has it.
func TestStartingHostLearnsSuccessors(t *testing.T) {
	now := time.Unix(1000, 0)
	departed := Info{ID: "departed", Version: Version{Incarnation: 5, Epoch: 2}, PeerAddress: "d", Successor: "old"}
	old := New(now, DefaultConfig(), Info{ID: "old", Version: Version{Incarnation: 6}, PeerAddress: "o"}, 1)
	old.Receive(now, Message{Kind: Ping, From: departed})
	old.Receive(now, Message{Kind: Ping, From: Info{ID: "other", PeerAddress: "x"}, Updates: []Update{{Info: departed, State: Left}}})
	for old.takeUpdates() != nil {
		// The departure is no longer passed on with other messages.
	}
	for _, listed := range []bool{false, true} {
		fresh := New(now, DefaultConfig(), Info{ID: "fresh", Version: Version{Incarnation: 9}, PeerAddress: "f"}, 2)
		if listed {
			fresh.ApplyHostList(now, []Info{{ID: "departed", PeerAddress: "d"}})
		}
		old.forget("fresh")
		for _, a := range old.Receive(now, Message{Kind: Ping, From: fresh.Self()}) {
			if send, ok := a.(Send); ok && send.Address == "f" {
				fresh.Receive(now, send.Message)
			}
		}
		if n, _ := fresh.Node("departed"); n.State != Left || n.Successor != "old" {
			t.Errorf("listed %t: the starting host holds %+v", listed, n)
		}
	}
}
