package member

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestScenarios guards against hosts that fail unnoticed, and against healthy
// hosts that are held as failed after cuts, losses and pauses.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var n *network
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var args []string
			for _, a := range d.CmdArgs {
				args = append(args, a.Key)
			}
			switch d.Cmd {
			case "hosts":
				n = newNetwork(7, args...)
			case "advance":
				length, err := time.ParseDuration(args[0])
				if err != nil {
					t.Fatal(err)
				}
				n.events = nil
				n.advance(length)
				slices.Sort(n.events)
				return strings.Join(slices.Compact(n.events), "\n")
			case "kill":
				n.kill(args[0])
			case "start":
				n.start(args[0])
			case "pause":
				n.paused[args[0]] = true
			case "continue":
				n.paused[args[0]] = false
			case "leave":
				n.run(args[0], n.hosts[args[0]].Leave())
			case "stop":
				n.run(args[0], n.hosts[args[0]].Stop())
				n.kill(args[0])
			case "cut", "heal":
				for _, from := range strings.Split(args[0], "+") {
					for _, to := range strings.Split(args[1], "+") {
						n.cut[from+">"+to] = d.Cmd == "cut"
					}
				}
			case "view":
				return n.viewTable()
			default:
				t.Fatalf("unknown command %s", d.Cmd)
			}
			return ""
		})
	})
}

func (n *network) viewTable() string {
	var b strings.Builder
	for _, of := range n.names {
		fmt.Fprintf(&b, "%s:", of)
		for _, about := range n.names {
			if of != about {
				fmt.Fprintf(&b, " %s=%s", about, n.view(of, about))
			}
		}
		b.WriteString("\n")
	}
	return b.String()
}

// TestAllAgreeAfterHealing guards against states that losses, cuts, pauses,
// crashes and restarts in any order leave behind for good.
func TestAllAgreeAfterHealing(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(rapid.Uint64().Draw(t, "seed"), names...)
		steps := rapid.IntRange(1, 12).Draw(t, "steps")
		for range steps {
			name := rapid.SampledFrom(names).Draw(t, "host")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				n.kill(name)
			case 1:
				n.start(name)
			case 2:
				n.paused[name] = true
			case 3:
				n.paused[name] = false
			case 4:
				n.cut[name+">"+rapid.SampledFrom(names).Draw(t, "to")] = true
			case 5:
				n.loss = rapid.Float64Range(0, 0.5).Draw(t, "loss")
			}
			n.advance(time.Duration(rapid.IntRange(0, 9000).Draw(t, "ms")) * time.Millisecond)
		}
		n.loss, n.cut, n.paused = 0, map[string]bool{}, map[string]bool{}
		n.advance(90 * time.Second)
		if got := n.disagreement(); got != "" {
			t.Fatalf("after healing %s", got)
		}
	})
}

// TestMessageCostIsFlat guards against a protocol whose messages for each host
// grow with the number of hosts.
func TestMessageCostIsFlat(t *testing.T) {
	perHost := func(count int) float64 {
		var names []string
		for i := range count {
			names = append(names, fmt.Sprintf("h%03d", i))
		}
		n := newNetwork(1, names...)
		n.advance(40 * time.Second)
		n.sent = 0
		n.advance(20 * time.Second)
		return float64(n.sent) / float64(count) / 20
	}
	small, large := perHost(8), perHost(64)
	if large > 1.2*small {
		t.Fatalf("messages a second for each host: %.2f with 8 hosts, %.2f with 64", small, large)
	}
}

// BenchmarkTick measures one tick and its replies at a number of hosts.
func BenchmarkTick(b *testing.B) {
	for _, count := range []int{36, 320, 3200} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			n := newNetwork(1)
			l := New(n.now, DefaultConfig(), n.info("self"), 1)
			for i := range count {
				info := n.info(fmt.Sprintf("h%04d", i))
				l.Receive(n.now, Message{Kind: Ack, From: info})
			}
			for b.Loop() {
				n.now = n.now.Add(time.Second)
				l.lastHeard = n.now
				for _, a := range l.Tick(n.now) {
					if s, ok := a.(Send); ok {
						l.Receive(n.now, Message{Kind: Ack, Sequence: s.Message.Sequence, ToIncarnation: l.self.Version.Incarnation, From: n.info(s.Address)})
					}
				}
			}
		})
	}
}
