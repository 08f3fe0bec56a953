package replay

import (
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// recorder counts what reaches the deciders of a run.
type recorder struct {
	merged   map[ident.HostID][]time.Duration
	loads    []dispatch.LoadReport
	loadAt   []time.Duration
	probes   map[bool]int
	canceled int
}

type recording struct {
	Decider
	r    *recorder
	self ident.HostID
}

func (d *recording) Merge(now time.Time, e health.Evidence) []dispatch.Action {
	d.r.merged[d.self] = append(d.r.merged[d.self], now.Sub(epoch))
	return nil
}

func (d *recording) LoadReport(now time.Time, l dispatch.LoadReport) []dispatch.Action {
	d.r.loads = append(d.r.loads, l)
	d.r.loadAt = append(d.r.loadAt, now.Sub(epoch))
	return nil
}

func (d *recording) ProbeResult(_ time.Time, _ ident.TargetID, ok bool, _ time.Duration) []dispatch.Action {
	d.r.probes[ok]++
	return nil
}

func (d *recording) Cancel(now time.Time, id ident.RequestID) []dispatch.Action {
	d.r.canceled++
	return d.Decider.Cancel(now, id)
}

// Tick asks for one probe of t-1 with each tick.
func (d *recording) Tick(time.Time) []dispatch.Action {
	return []dispatch.Action{dispatch.Probe{Target: "t-1"}}
}

func (d *recording) NextTick(now time.Time) time.Time {
	return now.Truncate(time.Second).Add(time.Second)
}

func record(t *testing.T, lines string) (*recorder, *Report) {
	t.Helper()
	r := &recorder{merged: map[ident.HostID][]time.Duration{}, probes: map[bool]int{}}
	build := func(now time.Time, cfg dispatch.Config, self dispatch.Self, seed uint64) Decider {
		return &recording{Decider: newBaseline(now, cfg, self, seed), r: r, self: self.Host}
	}
	report, err := Run(mustParse(t, smallHeader+lines), "recording", build, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return r, report
}

// TestCut guards against evidence that crosses a cut, and against a cut that
// stops the other direction or never ends.
func TestCut(t *testing.T) {
	r, _ := record(t, "5s cut h-1 h-2 one-way until=15s")
	for _, at := range r.merged["h-2"] {
		if at > 5100*time.Millisecond && at < 15*time.Second {
			t.Errorf("evidence of h-1 reached h-2 at %s, within the cut", at)
		}
	}
	if open, cut := len(r.merged["h-1"]), len(r.merged["h-2"]); open != 20 || cut != 10 {
		t.Errorf("h-1 got %d reports and h-2 %d, want 20 and 10", open, cut)
	}
	r, _ = record(t, "0s cut h-1 h-2 one-way delay=3s")
	if first := r.merged["h-2"][0]; first < 3*time.Second {
		t.Errorf("a report delayed by 3s arrived at %s", first)
	}
}

// TestLoadReports guards against a load report that ignores a lie, a lag or the
// end of reports.
func TestLoadReports(t *testing.T) {
	r, _ := record(t, "0s set t-1 load-report=7 load-lag=4s\n0s set t-2,t-3,t-4 load-report=off")
	if len(r.loads) == 0 {
		t.Fatal("no load reports")
	}
	for i, l := range r.loads {
		if l.Target != "t-1" || l.InFlight != 7 || r.loadAt[i] < 4*time.Second {
			t.Errorf("load report %+v at %s", l, r.loadAt[i])
		}
	}
}

// TestProbes guards against probes that ignore the target's mode.
func TestProbes(t *testing.T) {
	for lines, passing := range map[string]bool{
		"":                                        true,
		"0s set t-1 probes=fail":                  false,
		"0s fault t-1 kind=status":                false,
		"0s fault t-1 kind=status probes=pass":    true,
		"0s fault t-1 kind=slow slow=9":           true,
		"0s fault t-1 kind=slow slow=9 hosts=h-1": true,
	} {
		r, _ := record(t, lines)
		if r.probes[passing] == 0 || r.probes[!passing] != 0 {
			t.Errorf("%q: %d probes passed and %d failed, want passing=%v", lines, r.probes[true], r.probes[false], passing)
		}
	}
}

// TestHostsAndCallers guards against requests of killed hosts or of callers
// that gave up that count as the decider's failures.
func TestHostsAndCallers(t *testing.T) {
	r, report := record(t, "0s set * latency=constant:1s\n1s request get hosts=h-1 cancel=300ms\n2s request get hosts=h-1\n2500ms kill h-1\n3s request get hosts=h-1\n4s leave h-2\n5s request get hosts=h-2\n6s join h-2\n7s request get hosts=h-2 deadline=5s\n")
	want := Requests{Arrived: 3, Canceled: 1, Interrupted: 1, Failures: 1}
	if report.Requests != want || r.canceled != 1 {
		t.Errorf("requests %+v, want %+v; %d cancellations", report.Requests, want, r.canceled)
	}
}
