package member

import (
	"testing"
	"time"
)

// TestRestartAfterClockSetBack guards against a host that never joins again when
// it restarts with a lower incarnation, because its wall clock was set back.
func TestRestartAfterClockSetBack(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	old := Info{ID: "a", Version: Version{Incarnation: 2000}, PeerAddress: "a:1"}
	b := New(now, DefaultConfig(), Info{ID: "b", Version: Version{Incarnation: 1}, PeerAddress: "b:1"}, 1)
	b.Receive(now, Message{Kind: Ping, From: old})
	b.Receive(now, Message{Kind: Ping, From: Info{ID: "c", Version: Version{Incarnation: 1}, PeerAddress: "c:1"}, Updates: []Update{{Info: old, State: Left}}})
	a := New(now, DefaultConfig(), Info{ID: "a", Version: Version{Incarnation: 1000}, PeerAddress: "a:1"}, 2)
	a.Receive(now, Message{Kind: Ping, From: b.Self()})
	list := map[string]*List{"a:1": a, "b:1": b}
	resumed := false
	for range 120 {
		now = now.Add(500 * time.Millisecond)
		actions := append(a.Tick(now), b.Tick(now)...)
		for len(actions) > 0 {
			switch action := actions[0].(type) {
			case Send:
				if l := list[action.Address]; l != nil {
					actions = append(actions, l.Receive(now, action.Message)...)
				}
			case IncarnationChanged:
				resumed = resumed || action.Current == 2001
			}
			actions = actions[1:]
		}
	}
	if n, _ := b.Node("a"); n.State != Alive || !resumed {
		t.Fatalf("a minute after the restart the host is %v at version %+v, its own version is %+v, resumed %t", n.State, n.Version, a.Self().Version, resumed)
	}
}

// TestLivingNamesakeIsNotOutbid guards against two processes with one host ID
// that raise their incarnations against each other without end.
func TestLivingNamesakeIsNotOutbid(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := New(now, DefaultConfig(), Info{ID: "a", Version: Version{Incarnation: 1000}}, 1)
	other := Info{ID: "a", Version: Version{Incarnation: 2000}}
	for _, state := range []State{Alive, Suspect} {
		a.Receive(now, Message{Kind: Ping, From: Info{ID: "b", Version: Version{Incarnation: 1}}, Updates: []Update{{Info: other, State: state}}})
		if got := a.Self().Version.Incarnation; got != 1000 {
			t.Errorf("a %s namesake raised the incarnation to %d", state, got)
		}
	}
}
