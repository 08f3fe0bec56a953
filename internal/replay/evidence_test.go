package replay

import (
	"testing"
	"time"

	"github.com/sapphirehaven/sapphirehaven/internal/core/dispatch"
	"github.com/sapphirehaven/sapphirehaven/internal/core/health"
	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// recordedCalls records calls to the deciders of a run.
type recordedCalls struct {
	merged   map[ident.HostID][]time.Duration
	loads    []dispatch.LoadReport
	loadAt   []time.Duration
	probes   map[bool]int
	canceled int
}

type recordingDecider struct {
	Decider
	calls *recordedCalls
	self  ident.HostID
}

func (d *recordingDecider) Merge(now time.Time, e health.Evidence) []dispatch.Action {
	d.calls.merged[d.self] = append(d.calls.merged[d.self], now.Sub(epoch))
	return nil
}

func (d *recordingDecider) LoadReport(now time.Time, l dispatch.LoadReport) []dispatch.Action {
	d.calls.loads = append(d.calls.loads, l)
	d.calls.loadAt = append(d.calls.loadAt, now.Sub(epoch))
	return nil
}

func (d *recordingDecider) ProbeResult(_ time.Time, _ ident.TargetID, ok bool, _ time.Duration) []dispatch.Action {
	d.calls.probes[ok]++
	return nil
}

func (d *recordingDecider) Cancel(now time.Time, id ident.RequestID) []dispatch.Action {
	d.calls.canceled++
	return d.Decider.Cancel(now, id)
}

// Tick requests one probe of t-1.
func (d *recordingDecider) Tick(time.Time) []dispatch.Action {
	return []dispatch.Action{dispatch.Probe{Target: "t-1"}}
}

func (d *recordingDecider) NextTick(now time.Time) time.Time {
	return now.Truncate(time.Second).Add(time.Second)
}

func runRecorded(t *testing.T, lines string) (*recordedCalls, *Report) {
	t.Helper()
	r := &recordedCalls{merged: map[ident.HostID][]time.Duration{}, probes: map[bool]int{}}
	build := func(now time.Time, cfg dispatch.Config, self dispatch.Self, seed uint64) Decider {
		return &recordingDecider{Decider: newBaseline(now, cfg, self, seed), calls: r, self: self.Host}
	}
	report, err := Run(mustParse(t, smallHeader+lines), "recording", build, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return r, report
}

// TestEvidenceCut guards against evidence that passes a cut, and against a one-way
// cut that also blocks the other direction or never ends.
func TestEvidenceCut(t *testing.T) {
	r, _ := runRecorded(t, "5s cut h-1 h-2 one-way until=15s")
	for _, at := range r.merged["h-2"] {
		if at > 5100*time.Millisecond && at < 15*time.Second {
			t.Errorf("evidence of h-1 reached h-2 at %s, within the cut", at)
		}
	}
	if toH1, toH2 := len(r.merged["h-1"]), len(r.merged["h-2"]); toH1 != 20 || toH2 != 10 {
		t.Errorf("h-1 got %d reports and h-2 %d, want 20 and 10", toH1, toH2)
	}
	r, _ = runRecorded(t, "0s cut h-1 h-2 one-way delay=3s")
	if first := r.merged["h-2"][0]; first < 3*time.Second {
		t.Errorf("a report delayed by 3s arrived at %s", first)
	}
}

// TestLoadReports guards against load reports that ignore the settings load-report
// and load-lag of a target.
func TestLoadReports(t *testing.T) {
	r, _ := runRecorded(t, "0s set t-1 load-report=7 load-lag=4s\n0s set t-2,t-3,t-4 load-report=off")
	if len(r.loads) == 0 {
		t.Fatal("got no load reports")
	}
	for i, l := range r.loads {
		if l.Target != "t-1" || l.InFlight != 7 || r.loadAt[i] < 4*time.Second {
			t.Errorf("unexpected load report %+v at %s", l, r.loadAt[i])
		}
	}
}

// TestProbes guards against probes that ignore the target's probe mode or its
// faults.
func TestProbes(t *testing.T) {
	for lines, passing := range map[string]bool{
		"":                                        true,
		"0s set t-1 probes=fail":                  false,
		"0s fault t-1 kind=status":                false,
		"0s fault t-1 kind=status probes=pass":    true,
		"0s fault t-1 kind=slow slow=9":           true,
		"0s fault t-1 kind=slow slow=9 hosts=h-1": true,
	} {
		r, _ := runRecorded(t, lines)
		if r.probes[passing] == 0 || r.probes[!passing] != 0 {
			t.Errorf("%q: %d probes passed and %d failed, want passing=%v", lines, r.probes[true], r.probes[false], passing)
		}
	}
}

// TestKilledHostsAndCanceledRequests guards against requests that count as failures
// of the decider although their host was killed or their caller canceled them.
func TestKilledHostsAndCanceledRequests(t *testing.T) {
	r, report := runRecorded(t, "0s set * latency=constant:1s\n1s request get hosts=h-1 cancel=300ms\n2s request get hosts=h-1\n2500ms kill h-1\n3s request get hosts=h-1\n4s leave h-2\n5s request get hosts=h-2\n6s join h-2\n7s request get hosts=h-2 deadline=5s\n")
	want := Requests{Arrived: 3, Canceled: 1, Interrupted: 1, Failures: 1}
	if report.Requests != want || r.canceled != 1 {
		t.Errorf("requests %+v, want %+v; %d cancellations", report.Requests, want, r.canceled)
	}
}
