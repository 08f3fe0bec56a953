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

// scenario drives a dispatcher from a file in testdata. Timeline events are not
// printed, since the tests of package health cover them.
type scenario struct {
	d   *Dispatcher
	now time.Time
	out strings.Builder
}

// TestTables guards against changed decisions in the cases in testdata.
func TestTables(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &scenario{now: epoch}
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			sc.out.Reset()
			sc.run(t, td)
			if sc.out.Len() == 0 {
				return "no action\n"
			}
			return sc.out.String()
		})
	})
}

func (sc *scenario) run(t *testing.T, td *datadriven.TestData) {
	ms := func(key string) time.Duration { return time.Duration(intArg(t, td, key, 0)) * time.Millisecond }
	// "in" advances the time without a tick before the event.
	sc.now = sc.now.Add(ms("in"))
	switch td.Cmd {
	case "config":
		sc.configure(sc.config(t, td))
	case "arrive":
		r := Request{ID: ident.RequestID(intArg(t, td, "r", 0)), BodyBytes: int64(intArg(t, td, "body", -1))}
		td.ScanArgs(t, "class", (*string)(&r.Class))
		if left := ms("deadline"); left != 0 {
			r.Deadline = sc.now.Add(left)
		}
		sc.print(sc.d.Arrive(sc.now, r))
	case "finish":
		res := Result{Kind: kindArg(t, td), NotSent: td.HasArg("not-sent"), NotRun: td.HasArg("not-run"), RetryAfter: ms("retry-after")}
		sc.print(sc.d.Finish(sc.now, ident.AttemptID(intArg(t, td, "a", 0)), res))
	case "commit":
		sc.d.Commit(sc.now, ident.AttemptID(intArg(t, td, "a", 0)))
	case "cancel":
		sc.print(sc.d.Cancel(sc.now, ident.RequestID(intArg(t, td, "r", 0))))
	case "load":
		sc.print(sc.d.LoadReport(sc.now, LoadReport{Target: targetArg(t, td), InFlight: intArg(t, td, "in-flight", 0), Slots: intArg(t, td, "slots", 0), Draining: td.HasArg("draining")}))
	case "evidence":
		sc.print(sc.d.Merge(sc.now, health.Evidence{Host: "peer", Sequence: uint64(intArg(t, td, "seq", 0)), Targets: []health.TargetEvidence{{Target: targetArg(t, td), InFlight: uint32(intArg(t, td, "in-flight", 0))}}}))
	case "trial":
		sc.d.dueTrials = append(sc.d.dueTrials, sc.d.targets[targetArg(t, td)])
	case "probed":
		sc.print(sc.d.ProbeResult(sc.now, targetArg(t, td), true, time.Millisecond))
	case "tick":
		sc.advance(ms("ms"))
	case "in-flight":
		for _, s := range sc.d.Status() {
			fmt.Fprintf(&sc.out, "%s in-flight=%d paused=%v\n", s.Target, s.InFlight, s.Paused)
		}
	case "status":
		sc.status()
	default:
		t.Fatalf("unknown command %s", td.Cmd)
	}
}

// config reads lines "target NAME REGION ZONE SLOTS" and "class NAME OPTION...".
func (sc *scenario) config(t *testing.T, td *datadriven.TestData) Config {
	cfg := Config{Service: "s", QueueLength: intArg(t, td, "queue", 0), ProbeInterval: time.Duration(intArg(t, td, "probe-ms", 0)) * time.Millisecond}
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

func (sc *scenario) configure(cfg Config) {
	if sc.d == nil {
		sc.d = New(sc.now, cfg, Self{Host: "self", Location: ident.Location{Region: "r1", Zone: "z1"}}, 1)
		return
	}
	sc.print(sc.d.Configure(sc.now, cfg))
}

// advance moves the time forward and calls Tick whenever NextTick is due.
func (sc *scenario) advance(d time.Duration) {
	end := sc.now.Add(d)
	for next := sc.d.NextTick(sc.now); !next.After(end); next = sc.d.NextTick(sc.now) {
		sc.now = next
		sc.print(sc.d.Tick(sc.now))
	}
	sc.now = end
}

func (sc *scenario) print(actions []Action) {
	for _, a := range actions {
		if _, ok := a.(Record); ok {
			continue
		}
		name := strings.TrimPrefix(fmt.Sprintf("%T", a), "dispatch.")
		// A Dispatcher leaves Selection empty, so it is printed only if set.
		text := strings.Replace(fmt.Sprintf("%+v", a), fmt.Sprintf("Selection:%+v ", Selection{}), "", 1)
		fmt.Fprintf(&sc.out, "%v %s%s\n", sc.now.Sub(epoch).Round(time.Millisecond), name, text)
	}
}

func (sc *scenario) status() {
	for _, s := range sc.d.Status() {
		fmt.Fprintf(&sc.out, "%s in-flight=%d limit=%d others=%.1f paused=%v\n", s.Target, s.InFlight, s.Limit, s.OtherLoad, s.Paused)
	}
	s := sc.d.ServiceStatus(sc.now)
	fmt.Fprintf(&sc.out, "in-flight=%d uploads=%d waiting=%d/%d retries-left=%.1f\n", s.InFlight, s.Uploads, s.Waiting, s.QueueLength, s.RetriesLeft)
	for _, c := range s.Classes {
		fmt.Fprintf(&sc.out, "%s queued=%d capacity=%d service-time=%v crossed=%d bytes=%d\n", c.Class, c.Queued, c.Capacity, c.ServiceTime, c.CrossRegionAttempts, c.CrossRegionBytes)
	}
}

func intArg(t *testing.T, td *datadriven.TestData, key string, value int) int {
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

func kindArg(t *testing.T, td *datadriven.TestData) attempt.Kind {
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
