package replay

import (
	"reflect"
	"strings"
	"testing"
)

const faultTrace = smallHeader + `policy probe=1s
0s arrivals get rate=40
0s arrivals put rate=20
3s fault t-2 kind=one-way hosts=h-1 until=9s
5s fault t-3 kind=status share=40% until=15s
6s silence t-1
8s restart t-4 down=1s cold=5 cold-for=3s
10s kill h-2
12s join h-2
`

// TestSameSeedSameReport guards against a run that depends on map iteration order or
// on the real clock, and against a seed that has no effect.
func TestSameSeedSameReport(t *testing.T) {
	for _, name := range []string{SapphirehavenDecider, BaselineDecider} {
		first := mustRun(t, "seed 5\n"+faultTrace, name)
		if second := mustRun(t, "seed 5\n"+faultTrace, name); !reflect.DeepEqual(first, second) {
			t.Errorf("%s: two runs with the same seed differ:\n%+v\n%+v", name, first, second)
		}
		other := mustRun(t, "seed 6\n"+faultTrace, name)
		if other.Requests == first.Requests && other.Events == first.Events {
			t.Errorf("%s: a different seed gives the same run", name)
		}
	}
}

// TestDecidersReceiveSameArrivals guards against an unfair comparison, in which the
// decisions of a decider change the requests that arrive.
func TestDecidersReceiveSameArrivals(t *testing.T) {
	sapphirehaven := mustRun(t, faultTrace, SapphirehavenDecider)
	baseline := mustRun(t, faultTrace, BaselineDecider)
	if sapphirehaven.Requests.Arrived != baseline.Requests.Arrived || sapphirehaven.Requests.Arrived == 0 {
		t.Errorf("arrivals differ: %d and %d", sapphirehaven.Requests.Arrived, baseline.Requests.Arrived)
	}
}

// TestModel guards against errors in the model of targets and connections. Each
// trace sends a few requests to one target with the baseline decider.
func TestModel(t *testing.T) {
	header := strings.Replace(smallHeader, "count=4", "count=1", 1)
	const requests = "\n1s request put count=2 hosts=h-1\n2s request put hosts=h-1\n"
	for _, c := range []struct {
		name, lines         string
		successes, failures int
	}{
		{"healthy", requests, 3, 0},
		{"open connections stop delivering, the next one is new", "2s silence t-1 hosts=h-1" + requests + "4s request put hosts=h-1", 3, 1},
		{"a dial fault does not affect open connections", "1500ms fault t-1 kind=dial" + requests + "2s request put hosts=h-2", 3, 1},
		{"responses to one host are lost", "0s fault t-1 kind=one-way hosts=h-1" + requests + "2s request put hosts=h-2", 1, 3},
		{"requests are shed when slots and queue are full", "0s set t-1 queue=1" + requests + "4s request put count=5 hosts=h-1", 6, 2},
		{"a restart breaks requests in progress", "0s set t-1 latency=constant:500ms\n1200ms restart t-1 down=1s" + requests + "4s request put hosts=h-1", 1, 3},
		{"a draining target refuses requests", "1500ms drain t-1" + requests, 2, 1},
	} {
		r := mustRun(t, header+c.lines, BaselineDecider)
		if r.Requests.Successes != c.successes || r.Requests.Failures != c.failures {
			t.Errorf("%s: %d successes and %d failures, want %d and %d", c.name, r.Requests.Successes, r.Requests.Failures, c.successes, c.failures)
		}
	}
}

// BenchmarkRun measures the simulation. It uses the baseline, whose decisions take
// little time.
func BenchmarkRun(b *testing.B) {
	trace := mustParse(b, strings.Replace(faultTrace, "duration 20s", "duration 10m", 1))
	events := uint64(0)
	for b.Loop() {
		r, err := Run(trace, BaselineDecider, newBaseline, Options{})
		if err != nil {
			b.Fatal(err)
		}
		events += r.Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}

func mustRun(t testing.TB, text, decider string) *Report {
	t.Helper()
	build, err := DeciderByName(decider)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(mustParse(t, text), decider, build, Options{})
	if err != nil {
		t.Fatal(err)
	}
	return r
}
