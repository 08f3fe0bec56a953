package member

import (
	"testing"
	"time"
)

// TestRestartAfterClockSetBack guards against a host that cannot rejoin after a
// restart because its wall clock was set back and its incarnation is lower than
// the previous one.
func TestRestartAfterClockSetBack(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	old := Info{ID: "a", Version: Version{Incarnation: 2000}, PeerAddress: "a:1"}
	b := New(now, DefaultConfig(), Info{ID: "b", Version: Version{Incarnation: 1}, PeerAddress: "b:1"}, 1)
	b.Receive(now, Message{Kind: Ping, From: old})
	b.Receive(now, Message{Kind: Ping, From: Info{ID: "c", Version: Version{Incarnation: 1}, PeerAddress: "c:1"}, Updates: []Update{{Info: old, State: Left}}})
	a := New(now, DefaultConfig(), Info{ID: "a", Version: Version{Incarnation: 1000}, PeerAddress: "a:1"}, 2)
	a.Receive(now, Message{Kind: Ping, From: b.Self()})
	listByAddress := map[string]*List{"a:1": a, "b:1": b}
	incarnationRaised := false
	for range 120 {
		now = now.Add(500 * time.Millisecond)
		actions := append(a.Tick(now), b.Tick(now)...)
		for len(actions) > 0 {
			switch action := actions[0].(type) {
			case Send:
				if l := listByAddress[action.Address]; l != nil {
					actions = append(actions, l.Receive(now, action.Message)...)
				}
			case IncarnationChanged:
				incarnationRaised = incarnationRaised || action.Current == 2001
			}
			actions = actions[1:]
		}
	}
	if n, _ := b.Node("a"); n.State != Alive || !incarnationRaised {
		t.Fatalf("a minute after the restart the host is %v at version %+v, its own version is %+v, incarnation raised %t", n.State, n.Version, a.Self().Version, incarnationRaised)
	}
}

// TestDuplicateIDKeepsIncarnation guards against two running processes with the
// same host ID that raise their incarnations above each other endlessly.
func TestDuplicateIDKeepsIncarnation(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a := New(now, DefaultConfig(), Info{ID: "a", Version: Version{Incarnation: 1000}}, 1)
	other := Info{ID: "a", Version: Version{Incarnation: 2000}}
	for _, state := range []State{Alive, Suspect} {
		a.Receive(now, Message{Kind: Ping, From: Info{ID: "b", Version: Version{Incarnation: 1}}, Updates: []Update{{Info: other, State: state}}})
		if got := a.Self().Version.Incarnation; got != 1000 {
			t.Errorf("an update about a %s process with the same host ID raised the incarnation to %d", state, got)
		}
	}
}
