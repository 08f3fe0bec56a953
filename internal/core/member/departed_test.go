package member

import (
	"testing"
	"time"
)

// TestStartingHostLearnsSuccessors guards against a host that starts after a
// departure and does not learn which host took over the tickets of the departed
// one, whether or not the host list still contains the departed host.
func TestStartingHostLearnsSuccessors(t *testing.T) {
	now := time.Unix(1000, 0)
	departed := Info{ID: "departed", Version: Version{Incarnation: 5, Epoch: 2}, PeerAddress: "d", Successor: "old"}
	old := New(now, DefaultConfig(), Info{ID: "old", Version: Version{Incarnation: 6}, PeerAddress: "o"}, 1)
	old.Receive(now, Message{Kind: Ping, From: departed})
	old.Receive(now, Message{Kind: Ping, From: Info{ID: "other", PeerAddress: "x"}, Updates: []Update{{Info: departed, State: Left}}})
	for old.takeUpdates() != nil {
		// Exhausts the retransmissions of the departure.
	}
	for _, listed := range []bool{false, true} {
		starting := New(now, DefaultConfig(), Info{ID: "fresh", Version: Version{Incarnation: 9}, PeerAddress: "f"}, 2)
		if listed {
			starting.ApplyHostList(now, []Info{{ID: "departed", PeerAddress: "d"}})
		}
		old.removeNode("fresh")
		for _, a := range old.Receive(now, Message{Kind: Ping, From: starting.Self()}) {
			if send, ok := a.(Send); ok && send.Address == "f" {
				starting.Receive(now, send.Message)
			}
		}
		if n, _ := starting.Node("departed"); n.State != Left || n.Successor != "old" {
			t.Errorf("listed %t: the starting host holds %+v", listed, n)
		}
	}
}
