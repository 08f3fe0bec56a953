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

// TestScenarios guards the decisions in the faults that targets and links have.
// Each file says which failure it guards against.
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
				for _, id := range scenarioTargets(s, arg(d, "target", "")) {
					*s.targets[id] = scenarioFault(t, d)
				}
				return ""
			case "run":
				s.run(duration(t, d, "for", "1s"))
			case "probe":
				for range number(t, d, "times", 1) {
					s.run(2 * time.Second)
					s.t.ProbeStarted(s.now, ident.TargetID(arg(d, "target", "")))
					s.took(s.t.ProbeFinished(s.now, ident.TargetID(arg(d, "target", "")), arg(d, "ok", "true") == "true", 0))
				}
			case "probe-start":
				s.t.ProbeStarted(s.now, ident.TargetID(arg(d, "target", "")))
			case "probe-end":
				s.took(s.t.ProbeFinished(s.now, ident.TargetID(arg(d, "target", "")), arg(d, "ok", "true") == "true", duration(t, d, "took", "25ms")))
			case "verify":
				return fmt.Sprintln(s.t.DueProbes(s.now))
			case "trials":
				return fmt.Sprintln(s.t.DueTrials(s.now))
			case "drain":
				s.took(s.t.SetDraining(s.now, ident.TargetID(arg(d, "target", "")), arg(d, "on", "true") == "true"))
			case "merge":
				te := TargetEvidence{Target: ident.TargetID(arg(d, "target", "")), Score: real(t, d, "score", 0), Attempts: 20, Draining: arg(d, "draining", "") == "true"}
				e := Evidence{Host: ident.HostID(arg(d, "host", "")), Incarnation: ident.Incarnation(number(t, d, "incarnation", 1)), Sequence: uint64(number(t, d, "sequence", 1)), Targets: []TargetEvidence{te, te}}
				if delay := duration(t, d, "delay", "0s"); delay > 0 {
					e.SentMicros = s.now.Add(-delay).UnixMicro()
				}
				s.took(s.t.Merge(s.now, e))
			case "configure":
				cfg := s.t.cfg
				if drop := arg(d, "drop", ""); drop != "" {
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
				if add := arg(d, "add", ""); add != "" {
					cfg.Targets = append(cfg.Targets, Target{ID: ident.TargetID(add), Location: cfg.Targets[0].Location, Slots: 6})
					s.targets[ident.TargetID(add)] = &behavior{slow: 1}
					s.arrive(ident.TargetID(add))
				}
				s.took(s.t.Configure(s.now, cfg))
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			out := show(s, shown)
			shown = len(s.changes)
			return out
		})
	})
}

func scenarioSim(t *testing.T, d *datadriven.TestData) *sim {
	cfg := simConfig(real(t, d, "balance", 0.5), number(t, d, "targets", 10), number(t, d, "zones", 2))
	cfg.Floors[0].Floor = real(t, d, "floor", 0.5)
	cfg.ProbeInterval = duration(t, d, "probes", "0s")
	if arg(d, "trials", "true") == "false" {
		cfg.IdempotentTrials = false
		cfg.ProbeInterval = 2 * time.Second
	}
	s := newSim(cfg, uint64(number(t, d, "seed", 1)))
	s.rps = real(t, d, "rps", 5)
	s.regular = true
	s.run(time.Minute)
	s.start = s.now
	return s
}

// scenarioTargets returns the target of a name, the targets of a zone, or all.
func scenarioTargets(s *sim, name string) []ident.TargetID {
	var ids []ident.TargetID
	for _, target := range s.t.cfg.Targets {
		if name == "all" || name == string(target.ID) || name == string(target.Location.Zone) {
			ids = append(ids, target.ID)
		}
	}
	return ids
}

func scenarioFault(t *testing.T, d *datadriven.TestData) behavior {
	on := func(name string) bool { return d.HasArg(name) }
	return behavior{
		errors: real(t, d, "errors", 0), slow: real(t, d, "slow", 1), shed: real(t, d, "shed", 0),
		silent: on("silent") || on("reused-silent"), reused: on("reused-silent"), lost: on("reused-lost"),
		draining: on("draining"),
	}
}

func arg(d *datadriven.TestData, name, otherwise string) string {
	for _, a := range d.CmdArgs {
		if a.Key == name && len(a.Vals) == 1 {
			return a.Vals[0]
		}
	}
	return otherwise
}

func real(t *testing.T, d *datadriven.TestData, name string, otherwise float64) float64 {
	x, err := strconv.ParseFloat(arg(d, name, fmt.Sprint(otherwise)), 64)
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return x
}

func number(t *testing.T, d *datadriven.TestData, name string, otherwise int) int {
	return int(real(t, d, name, float64(otherwise)))
}

func duration(t *testing.T, d *datadriven.TestData, name, otherwise string) time.Duration {
	x, err := time.ParseDuration(arg(d, name, otherwise))
	if err != nil {
		d.Fatalf(t, "%s: %v", name, err)
	}
	return x
}

// show prints the changes since the last command and the targets that are not
// healthy.
func show(s *sim, from int) string {
	var b strings.Builder
	for i, c := range s.changes[from:] {
		fmt.Fprintf(&b, "%.1fs %s %s", s.at[from+i].Seconds(), c.Kind, c.Target)
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
