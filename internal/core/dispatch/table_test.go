package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sapphirehaven/sapphirehaven/internal/core/attempt"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// table drives a dispatcher from a file in testdata. Events of the timeline
// are not printed, since they belong to health.
type table struct {
	d   *Dispatcher
	now time.Time
	out strings.Builder
}

// TestTables guards against changed decisions in the cases of testdata.
func TestTables(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		tb := &table{now: epoch}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			tb.out.Reset()
			tb.run(t, td)
			if tb.out.Len() == 0 {
				return "no action\n"
			}
			return tb.out.String()
		})
	})
}

func (tb *table) run(t *testing.T, td *datadriven.TestData) {
	ms := func(key string) time.Duration { return time.Duration(scan(t, td, key, 0)) * time.Millisecond }
	// "in" advances the time without a tick before the event.
	tb.now = tb.now.Add(ms("in"))
	switch td.Cmd {
	case "config":
		tb.configure(tb.config(t, td))
	case "arrive":
		r := Request{ID: ident.RequestID(scan(t, td, "r", 0)), BodyBytes: int64(scan(t, td, "body", -1))}
		td.ScanArgs(t, "class", (*string)(&r.Class))
		if left := ms("deadline"); left != 0 {
			r.Deadline = tb.now.Add(left)
		}
		tb.print(tb.d.Arrive(tb.now, r))
	case "finish":
		res := Result{Kind: kindNamed(t, td), NotSent: td.HasArg("not-sent"), NotRun: td.HasArg("not-run"), RetryAfter: ms("retry-after")}
		tb.print(tb.d.Finish(tb.now, ident.AttemptID(scan(t, td, "a", 0)), res))
	case "commit":
		tb.d.Commit(tb.now, ident.AttemptID(scan(t, td, "a", 0)))
	case "cancel":
		tb.print(tb.d.Cancel(tb.now, ident.RequestID(scan(t, td, "r", 0))))
	case "load":
		tb.print(tb.d.LoadReport(tb.now, LoadReport{Target: targetArg(t, td), InFlight: scan(t, td, "in-flight", 0), Slots: scan(t, td, "slots", 0), Draining: td.HasArg("draining")}))
	case "evidence":
		tb.print(tb.d.Merge(tb.now, health.Evidence{Host: "peer", Sequence: uint64(scan(t, td, "seq", 0)), Targets: []health.TargetEvidence{{Target: targetArg(t, td), InFlight: uint32(scan(t, td, "in-flight", 0))}}}))
	case "trial":
		tb.d.trials = append(tb.d.trials, tb.d.targets[targetArg(t, td)])
	case "probed":
		tb.print(tb.d.ProbeResult(tb.now, targetArg(t, td), true, time.Millisecond))
	case "tick":
		tb.advance(ms("ms"))
	case "in-flight":
		for _, s := range tb.d.Status() {
			fmt.Fprintf(&tb.out, "%s in-flight=%d paused=%v\n", s.Target, s.InFlight, s.Paused)
		}
	case "status":
		tb.status()
	default:
		t.Fatalf("unknown command %s", td.Cmd)
	}
}

// config reads lines "target NAME REGION ZONE SLOTS" and "class NAME OPTION...".
func (tb *table) config(t *testing.T, td *datadriven.TestData) Config {
	cfg := Config{Service: "s", QueueLength: scan(t, td, "queue", 0), ProbeInterval: time.Duration(scan(t, td, "probe-ms", 0)) * time.Millisecond}
	for _, line := range strings.Split(td.Input, "\n") {
		f := strings.Fields(line)
		if f[0] == "target" {
			target := Target{ID: ident.TargetID(f[1]), Location: ident.Location{Region: ident.Region(f[2]), Zone: ident.Zone(f[3])}}
			if _, err := fmt.Sscan(f[4], &target.Slots); err != nil {
				t.Fatal(err)
			}
			cfg.Targets = append(cfg.Targets, target)
			continue
		}
		options := strings.Join(f[2:], " ")
		cfg.Classes = append(cfg.Classes, Class{
			Name: ident.ClassName(f[1]), Deadline: time.Second,
			Idempotent: strings.Contains(options, "idempotent"), Upload: strings.Contains(options, "upload"),
		})
	}
	return cfg
}

func (tb *table) configure(cfg Config) {
	if tb.d == nil {
		tb.d = New(tb.now, cfg, Self{Host: "self", Location: ident.Location{Region: "r1", Zone: "z1"}}, 1)
		return
	}
	tb.print(tb.d.Configure(tb.now, cfg))
}

// advance ticks whenever the dispatcher asks for it.
func (tb *table) advance(d time.Duration) {
	end := tb.now.Add(d)
	for next := tb.d.NextTick(tb.now); !next.After(end); next = tb.d.NextTick(tb.now) {
		tb.now = next
		tb.print(tb.d.Tick(tb.now))
	}
	tb.now = end
}

func (tb *table) print(actions []Action) {
	for _, a := range actions {
		if _, ok := a.(Record); ok {
			continue
		}
		name := strings.TrimPrefix(fmt.Sprintf("%T", a), "dispatch.")
		// A dispatcher gives no reasons; one that does shows in the table.
		text := strings.Replace(fmt.Sprintf("%+v", a), fmt.Sprintf("Why:%+v ", Selection{}), "", 1)
		fmt.Fprintf(&tb.out, "%v %s%s\n", tb.now.Sub(epoch).Round(time.Millisecond), name, text)
	}
}

func (tb *table) status() {
	for _, s := range tb.d.Status() {
		fmt.Fprintf(&tb.out, "%s in-flight=%d limit=%d others=%.1f paused=%v\n", s.Target, s.InFlight, s.Limit, s.OtherLoad, s.Paused)
	}
	s := tb.d.ServiceStatus(tb.now)
	fmt.Fprintf(&tb.out, "in-flight=%d uploads=%d waiting=%d/%d retries-left=%.1f\n", s.InFlight, s.Uploads, s.Waiting, s.QueueLength, s.RetriesLeft)
	for _, c := range s.Classes {
		fmt.Fprintf(&tb.out, "%s queued=%d capacity=%d service-time=%v crossed=%d bytes=%d\n", c.Class, c.Queued, c.Capacity, c.ServiceTime, c.CrossRegionAttempts, c.CrossRegionBytes)
	}
}

func scan(t *testing.T, td *datadriven.TestData, key string, value int) int {
	if td.HasArg(key) {
		td.ScanArgs(t, key, &value)
	}
	return value
}

func targetArg(t *testing.T, td *datadriven.TestData) ident.TargetID {
	var id string
	td.ScanArgs(t, "target", &id)
	return ident.TargetID(id)
}

func kindNamed(t *testing.T, td *datadriven.TestData) attempt.Kind {
	var name string
	td.ScanArgs(t, "kind", &name)
	for k := attempt.Answered; k <= attempt.Canceled; k++ {
		if k.String() == name {
			return k
		}
	}
	t.Fatalf("unknown kind %s", name)
	return 0
}
