package health

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// TestScenarios guards against wrong decisions in simulated faults of targets and network
// links. Each file in testdata states which failure it guards against.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *sim
		shown := 0
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "new":
				s, shown = scenarioSim(t, d), 0
				return ""
			case "fault":
				for _, id := range scenarioTargets(s, stringArg(d, "target", "")) {
					*s.targets[id] = scenarioFault(t, d)
				}
				return ""
			case "run":
				s.run(durationArg(t, d, "for", "1s"))
			case "probe":
				for range intArg(t, d, "times", 1) {
					s.run(2 * time.Second)
					s.t.ProbeStarted(s.now, ident.TargetID(stringArg(d, "target", "")))
					s.recordChanges(s.t.ProbeFinished(s.now, ident.TargetID(stringArg(d, "target", "")), stringArg(d, "ok", "true") == "true", 0))
				}
			case "probe-start":
				s.t.ProbeStarted(s.now, ident.TargetID(stringArg(d, "target", "")))
			case "probe-end":
				s.recordChanges(s.t.ProbeFinished(s.now, ident.TargetID(stringArg(d, "target", "")), stringArg(d, "ok", "true") == "true", durationArg(t, d, "took", "25ms")))
			case "verify":
				return fmt.Sprintln(s.t.DueProbes(s.now))
			case "trials":
				return fmt.Sprintln(s.t.DueTrials(s.now))
			case "drain":
				s.recordChanges(s.t.SetDraining(s.now, ident.TargetID(stringArg(d, "target", "")), stringArg(d, "on", "true") == "true"))
			case "merge":
				te := TargetEvidence{Target: ident.TargetID(stringArg(d, "target", "")), Score: floatArg(t, d, "score", 0), Attempts: 20, Draining: stringArg(d, "draining", "") == "true"}
				e := Evidence{Host: ident.HostID(stringArg(d, "host", "")), Incarnation: ident.Incarnation(intArg(t, d, "incarnation", 1)), Sequence: uint64(intArg(t, d, "sequence", 1)), Targets: []TargetEvidence{te, te}}
				if delay := durationArg(t, d, "delay", "0s"); delay > 0 {
					e.SentMicros = s.now.Add(-delay).UnixMicro()
				}
				s.recordChanges(s.t.Merge(s.now, e))
			case "configure":
				cfg := s.t.cfg
				if drop := stringArg(d, "drop", ""); drop != "" {
					cfg.Targets = nil
					for _, target := range s.t.cfg.Targets {
						if string(target.ID) != drop {
							cfg.Targets = append(cfg.Targets, target)
						}
					}
				}
				if d.HasArg("replace") {
					cfg.Targets = []Target{{ID: "new", Slots: 6}}
				}
				if add := stringArg(d, "add", ""); add != "" {
					cfg.Targets = append(cfg.Targets, Target{ID: ident.TargetID(add), Location: cfg.Targets[0].Location, Slots: 6})
					s.targets[ident.TargetID(add)] = &targetBehaviour{slow: 1}
					s.scheduleArrival(ident.TargetID(add))
				}
				s.recordChanges(s.t.Configure(s.now, cfg))
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			out := printChanges(s, shown)
			shown = len(s.changes)
			return out
		})
	})
}

func scenarioSim(t *testing.T, d *datadriven.TestData) *sim {
	cfg := simConfig(floatArg(t, d, "balance", 0.5), intArg(t, d, "targets", 10), intArg(t, d, "zones", 2))
	cfg.Floors[0].Floor = floatArg(t, d, "floor", 0.5)
	cfg.ProbeInterval = durationArg(t, d, "probes", "0s")
	if stringArg(d, "trials", "true") == "false" {
		cfg.IdempotentTrials = false
		cfg.ProbeInterval = 2 * time.Second
	}
	s := newSim(cfg, uint64(intArg(t, d, "seed", 1)))
	s.rps = floatArg(t, d, "rps", 5)
	s.regular = true
	s.run(time.Minute)
	s.start = s.now
	return s
}

// scenarioTargets returns the target of a name, the targets of a zone, or all targets for
// the name "all".
func scenarioTargets(s *sim, name string) []ident.TargetID {
	var ids []ident.TargetID
	for _, target := range s.t.cfg.Targets {
		if name == "all" || name == string(target.ID) || name == string(target.Location.Zone) {
			ids = append(ids, target.ID)
		}
	}
	return ids
}

func scenarioFault(t *testing.T, d *datadriven.TestData) targetBehaviour {
	on := func(name string) bool { return d.HasArg(name) }
	return targetBehaviour{
		errors: floatArg(t, d, "errors", 0), slow: floatArg(t, d, "slow", 1), shed: floatArg(t, d, "shed", 0),
		silent: on("silent") || on("reused-silent"), reused: on("reused-silent"), lost: on("reused-lost"),
		draining: on("draining"),
	}
}

func stringArg(d *datadriven.TestData, name, otherwise string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name && len(a.Vals) == 1 {
			return a.Vals[0]
		}
	}
	return otherwise
}

func floatArg(t *testing.T, d *datadriven.TestData, name string, otherwise float64) float64 {
	x, err := strconv.ParseFloat(stringArg(d, name, fmt.Sprint(otherwise)), 64)
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return x
}

func intArg(t *testing.T, d *datadriven.TestData, name string, otherwise int) int {
	return int(floatArg(t, d, name, float64(otherwise)))
}

func durationArg(t *testing.T, d *datadriven.TestData, name, otherwise string) time.Duration {
	x, err := time.ParseDuration(stringArg(d, name, otherwise))
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return x
}

// printChanges returns the changes since the last command, the targets that are not
// healthy, and the size of the rotation.
func printChanges(s *sim, from int) string {
	var b strings.Builder
	for i, c := range s.changes[from:] {
		fmt.Fprintf(&b, "%.1fs %s %s", s.changeTimes[from+i].Seconds(), c.Kind, c.Target)
		for _, f := range c.Fields {
			switch f.Key {
			case "scope", "cause", "hosts_agreeing", "source", "from", "successes":
				fmt.Fprintf(&b, " %s=%s", f.Key, f.Value)
			}
		}
		b.WriteByte('\n')
	}
	for _, st := range s.t.Status() {
		if st.State != Healthy {
			fmt.Fprintf(&b, "%s %s weight=%.1f\n", st.Target, st.State, st.Weight)
		}
	}
	members, _ := s.t.Rotation("lookup")
	fmt.Fprintf(&b, "rotation of %d\n", len(members))
	return b.String()
}
