package health

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// TestFloorInvariant guards against any sequence of events that violates the floor of a
// class, changes a rotation without its version or the reverse, or leaves wrong counters
// of attempts in flight.
func TestFloorInvariant(t *testing.T) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1_000_000, 0)
		tr := New(now, rapidConfig(rt), "self", rapid.Uint64().Draw(rt, "seed"))
		var lastID ident.AttemptID
		open := map[ident.AttemptID]ident.TargetID{}
		target := func(rt *rapid.T) ident.TargetID {
			return ident.TargetID(fmt.Sprint("t", rapid.IntRange(0, 12).Draw(rt, "target")))
		}
		finish := func(rt *rapid.T, ids []ident.AttemptID, kinds []attempt.Kind) {
			for _, id := range ids {
				res := attempt.Result{Kind: rapid.SampledFrom(kinds).Draw(rt, "kind"), FreshConnection: rapid.Bool().Draw(rt, "fresh")}
				tr.AttemptFinished(now, id, res)
				delete(open, id)
			}
		}
		start := func(id ident.TargetID, trial bool) ident.AttemptID {
			lastID++
			tr.AttemptStarted(now, Attempt{ID: lastID, Target: id, Class: "a", Trial: trial})
			open[lastID] = id
			return lastID
		}
		anyKind := []attempt.Kind{attempt.Answered, attempt.ServerError, attempt.Shed, attempt.Draining, attempt.DialFailed, attempt.TimedOut, attempt.ConnectionLost, attempt.BadAnswer, attempt.Canceled}
		before := snapshot(tr)
		rt.Repeat(map[string]func(*rapid.T){
			"pass": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "ms")) * time.Millisecond)
				tr.Tick(now)
			},
			"burst": func(rt *rapid.T) {
				id := target(rt)
				kind := rapid.SampledFrom(anyKind).Draw(rt, "kind")
				for range rapid.IntRange(1, 8).Draw(rt, "n") {
					finish(rt, []ident.AttemptID{start(id, false)}, []attempt.Kind{kind})
				}
			},
			"open": func(rt *rapid.T) { start(target(rt), rapid.Bool().Draw(rt, "trial")) },
			"finish": func(rt *rapid.T) {
				if len(open) > 0 {
					finish(rt, []ident.AttemptID{slices.Min(slices.Collect(maps.Keys(open)))}, anyKind)
				}
			},
			"trials": func(rt *rapid.T) {
				for _, id := range tr.DueTrials(now) {
					finish(rt, []ident.AttemptID{start(id, true)}, anyKind[:2])
				}
			},
			"probe": func(rt *rapid.T) { tr.ProbeFinished(now, target(rt), rapid.Bool().Draw(rt, "ok"), 0) },
			"drain": func(rt *rapid.T) { tr.SetDraining(now, target(rt), rapid.Bool().Draw(rt, "draining")) },
			"merge": func(rt *rapid.T) {
				te := TargetEvidence{Target: target(rt), Score: rapid.Float64().Draw(rt, "score"), Attempts: 20, Draining: rapid.Bool().Draw(rt, "draining")}
				host := ident.HostID(rapid.SampledFrom([]string{"b", "c", "d", "self"}).Draw(rt, "host"))
				tr.Merge(now, Evidence{Host: host, Sequence: uint64(rapid.IntRange(1, 9).Draw(rt, "sequence")), Targets: []TargetEvidence{te}})
			},
			"configure": func(rt *rapid.T) { tr.Configure(now, rapidConfig(rt)) },
			"": func(rt *rapid.T) {
				checkFloor(rt, tr)
				after := snapshot(tr)
				if (before.rotations != after.rotations) != (before.version != after.version) {
					rt.Fatalf("version went from %d to %d, rotations from\n%s\nto\n%s", before.version, after.version, before.rotations, after.rotations)
				}
				before = after
				checkAttempts(rt, tr)
			},
		})
	})
}

func rapidConfig(rt *rapid.T) Config {
	cfg := Config{Balance: rapid.Float64Range(0, 1).Draw(rt, "balance"), IdempotentTrials: rapid.Bool().Draw(rt, "trials")}
	if rapid.Bool().Draw(rt, "probes") {
		cfg.ProbeInterval = time.Second
	}
	for i := range rapid.IntRange(1, 12).Draw(rt, "targets") {
		zone := ident.Zone(fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "zone")))
		cfg.Targets = append(cfg.Targets, Target{ID: ident.TargetID(fmt.Sprint("t", i)), Location: ident.Location{Zone: zone}, Slots: rapid.IntRange(0, 6).Draw(rt, "slots")})
	}
	for _, class := range []ident.ClassName{"a", "b"} {
		cfg.Floors = append(cfg.Floors, ClassFloor{Class: class, Floor: rapid.Float64Range(0, 1).Draw(rt, "floor")})
	}
	return cfg
}

type rotationSnapshot struct {
	rotations string
	version   uint64
}

func snapshot(tr *Tracker) rotationSnapshot {
	a, version := tr.Rotation("a")
	b, _ := tr.Rotation("b")
	other, _ := tr.Rotation("other")
	return rotationSnapshot{fmt.Sprint(a, b, other), version}
}

func checkFloor(rt *rapid.T, tr *Tracker) {
	slots := map[ident.TargetID]float64{}
	declared := 0.0
	for _, st := range tr.Status() {
		if st.State != Draining {
			slots[st.Target] = float64(max(tr.targets[st.Target].Slots, 1))
			declared += slots[st.Target]
		}
	}
	for _, f := range tr.cfg.Floors {
		members, _ := tr.Rotation(f.Class)
		capacity := 0.0
		for _, m := range members {
			if slots[m.Target] == 0 || !(m.Weight > 0 && m.Weight <= 1) {
				rt.Fatalf("class %s: member %+v has a draining or unknown target or a weight out of range", f.Class, m)
			}
			capacity += slots[m.Target] * m.Weight
		}
		if capacity < f.Floor*declared-1e-6 {
			rt.Fatalf("class %s: capacity %v is below the floor %v of %v slots", f.Class, capacity, f.Floor, declared)
		}
	}
}

// checkAttempts compares the targets' counters of attempts in flight with the list of
// attempts.
func checkAttempts(rt *rapid.T, tr *Tracker) {
	count := map[*target]uint32{}
	for a := tr.open.first; a != nil; a = a.next {
		count[a.target]++
	}
	for _, target := range tr.order {
		if target.open != count[target] {
			rt.Fatalf("%s: %d attempts in flight counted, %d listed", target.ID, target.open, count[target])
		}
	}
}
