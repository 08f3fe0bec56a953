package registry

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

var epoch = time.Unix(1_700_000_000, 0)

func ready(id ident.TargetID, offset int64) TargetRecord {
	return TargetRecord{ID: id, Offset: offset, Target: &Target{ID: id, Service: "s", Address: "10.0.0.1:1", Zone: "z", Slots: 2}}
}

func draining(id ident.TargetID, offset int64) TargetRecord {
	r := ready(id, offset)
	r.Target.Draining = true
	return r
}

func gone(id ident.TargetID, offset int64) TargetRecord { return TargetRecord{ID: id, Offset: offset} }

func ids(list []Entry) []ident.TargetID {
	var out []ident.TargetID
	for _, e := range list {
		out = append(out, e.ID)
	}
	return out
}

// TestHeartbeatIsNoChange guards against work and messages in every host for a
// heartbeat that says nothing new.
func TestHeartbeatIsNoChange(t *testing.T) {
	l := NewTargets()
	if !l.Apply(epoch, []TargetRecord{ready("a", 0)}, 1) {
		t.Error("a new target is no change")
	}
	if l.Apply(epoch, []TargetRecord{ready("a", 1), ready("a", 2)}, 3) || l.Changed() != 0 || l.Position() != 3 {
		t.Errorf("changed %d, position %d after two heartbeats", l.Changed(), l.Position())
	}
	if !l.Apply(epoch, []TargetRecord{draining("a", 3)}, 4) || !l.Usable()[0].Draining {
		t.Error("draining is no change")
	}
}

// TestLapse guards against the loss of targets whose entries lapsed while the store
// was away, and against ones that are kept although they are gone.
func TestLapse(t *testing.T) {
	l := NewTargets()
	l.Apply(epoch, []TargetRecord{ready("back", 0), ready("gone", 1)}, 2)
	l.MarkStoreUnavailable(epoch)
	l.Apply(epoch, []TargetRecord{gone("back", 2), gone("gone", 3)}, 4)
	now := epoch.Add(1900 * time.Millisecond)
	l.Tick(now)
	if list := l.Usable(); len(list) != 2 || list[0].RemovedAt.IsZero() {
		t.Fatalf("1.9 s after the return of the store: %+v", list)
	}
	l.Apply(now, []TargetRecord{ready("back", 4)}, 5)
	l.Tick(epoch.Add(2300 * time.Millisecond))
	if list := l.Usable(); len(list) != 1 || list[0].ID != "back" || !list[0].RemovedAt.IsZero() {
		t.Errorf("2.3 s after the return of the store: %+v", list)
	}
}

// TestVanishedWhileStoreIsWell guards against a target that gets work long after
// its entry was removed.
func TestVanishedWhileStoreIsWell(t *testing.T) {
	l := NewTargets()
	l.Apply(epoch, []TargetRecord{ready("a", 0)}, 1)
	l.Apply(epoch, []TargetRecord{gone("a", 1)}, 2)
	l.Tick(epoch.Add(time.Second))
	if list := l.Usable(); len(list) != 0 {
		t.Errorf("a second after its removal: %+v", list)
	}
}

// TestReplace guards against targets that stay after a whole read that lacks them,
// and against a late whole read that takes back newer records.
func TestReplace(t *testing.T) {
	l := NewTargets()
	l.Apply(epoch, []TargetRecord{ready("a", 0), ready("b", 1)}, 2)
	if !l.Replace(epoch, []TargetRecord{ready("a", 5)}, 9) {
		t.Error("a missing target is no change")
	}
	l.Tick(epoch.Add(time.Minute))
	if got := ids(l.Usable()); !reflect.DeepEqual(got, []ident.TargetID{"a"}) {
		t.Errorf("after a whole read with a alone: %v", got)
	}
	if l.Replace(epoch, nil, 3) || len(l.Usable()) != 1 {
		t.Error("an older whole read removed a target")
	}
}

// TestAllHostsAgree guards against hosts whose lists differ although they have
// heard of the same changes, by the store or by each other, in any order.
func TestAllHostsAgree(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for round := range 200 {
		var log []TargetRecord
		for offset := range int64(40) {
			id := ident.TargetID(rune('a' + rng.IntN(5)))
			switch rng.IntN(4) {
			case 0:
				log = append(log, gone(id, offset))
			case 1:
				log = append(log, draining(id, offset))
			default:
				log = append(log, ready(id, offset))
			}
		}
		reader, follower := NewTargets(), NewTargets()
		for at := 0; at < len(log); {
			end := min(len(log), at+1+rng.IntN(6))
			reader.Apply(epoch, log[at:end], int64(end))
			at = end
			if rng.IntN(3) == 0 {
				have := follower.Changed()
				if rng.IntN(4) == 0 {
					have = -1
				}
				follower.Merge(epoch, reader.Since(epoch, have), reader.Position())
			}
		}
		follower.Merge(epoch, reader.Since(epoch, follower.Changed()), reader.Position())
		if a, b := registered(reader), registered(follower); !reflect.DeepEqual(a, b) || reader.Changed() != follower.Changed() {
			t.Fatalf("round %d: the reader has %s (%d), the follower %s (%d)", round, describe(a), reader.Changed(), describe(b), follower.Changed())
		}
	}
}

func describe(list []Entry) (text string) {
	for _, e := range list {
		text += fmt.Sprintf("%s@%d draining=%v warm=%v; ", e.ID, e.Offset, e.Draining, e.WarmUntil)
	}
	return text
}

// registered returns the entries that are not gone. A host that never knew a target
// need not hold it when it vanishes.
func registered(l *Targets) []Entry {
	return slices.DeleteFunc(l.Usable(), func(e Entry) bool { return !e.RemovedAt.IsZero() })
}

// TestHosts guards against a restart that makes every host fetch the list again,
// and against an older record that replaces what a host said of itself.
func TestHosts(t *testing.T) {
	l := NewHosts()
	old := Host{ID: "h", Incarnation: 1, PeerAddress: "p:1"}
	l.Apply(HostRecord{ID: "h", Offset: 7, Host: &old})
	hash := l.Hash()
	restarted := old
	restarted.Incarnation = 2
	l.Apply(HostRecord{ID: "h", Host: &restarted})
	if l.Hash() != hash {
		t.Error("a restart changed the hash")
	}
	if l.Apply(HostRecord{ID: "h", Offset: 7, Host: &old}); l.List()[0].Incarnation != 2 {
		t.Error("the store's older record replaced what the host said of itself")
	}
	moved := restarted
	moved.PeerAddress = "p:2"
	if !l.Apply(HostRecord{ID: "h", Host: &moved}) || l.Hash() == hash {
		t.Error("a new address is no change")
	}
}

// TestDelayedRecord guards against a heartbeat that the store takes late, after the
// target said that it drains or was removed, and that brings it back
// (errata-desk-grown trouble-2 at 14.5 s).
func TestDelayedRecord(t *testing.T) {
	write := func(r TargetRecord, born, sequence int64) TargetRecord {
		r.Target.StartUnixMilli, r.Target.Sequence = born, sequence
		return r
	}
	for _, merge := range []bool{false, true} {
		l := NewTargets()
		take := func(r TargetRecord) {
			if merge {
				l.Merge(epoch, []TargetRecord{r}, r.Offset+1)
				return
			}
			l.Apply(epoch, []TargetRecord{r}, r.Offset+1)
		}
		take(write(ready("a", 0), 7, 1))
		take(write(draining("a", 1), 7, 3))
		take(write(ready("a", 2), 7, 2))
		if !l.Usable()[0].Draining {
			t.Errorf("merge %v: a delayed heartbeat ended the draining", merge)
		}
		take(gone("a", 3))
		take(write(ready("a", 4), 7, 2))
		if list := ids(l.Usable()); len(list) > 0 {
			t.Errorf("merge %v: a delayed heartbeat brought back %v", merge, list)
		}
		take(write(ready("a", 5), 8, 0))
		if list := l.Usable(); len(list) != 1 || list[0].Draining || list[0].StartUnixMilli != 8 {
			t.Errorf("merge %v: the next start of the target is %+v", merge, list)
		}
	}
}
