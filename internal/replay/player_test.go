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

// TestSameSeedSameReport guards against a run that depends on map order or on
// the machine's clock, and against a seed without effect.
func TestSameSeedSameReport(t *testing.T) {
	for _, name := range []string{SapphirehavenDecider, BaselineDecider} {
		first := mustRun(t, "seed 5\n"+faultTrace, name)
		if again := mustRun(t, "seed 5\n"+faultTrace, name); !reflect.DeepEqual(first, again) {
			t.Errorf("%s: two runs with the same seed differ:\n%+v\n%+v", name, first, again)
		}
		other := mustRun(t, "seed 6\n"+faultTrace, name)
		if other.Requests == first.Requests && other.Events == first.Events {
			t.Errorf("%s: another seed gives the same run", name)
		}
	}
}

// TestDecidersFaceSameArrivals guards against a comparison in which a decider's
// choices change the requests that arrive.
func TestDecidersFaceSameArrivals(t *testing.T) {
	a := mustRun(t, faultTrace, SapphirehavenDecider)
	b := mustRun(t, faultTrace, BaselineDecider)
	if a.Requests.Arrived != b.Requests.Arrived || a.Requests.Arrived == 0 {
		t.Errorf("arrivals differ: %d and %d", a.Requests.Arrived, b.Requests.Arrived)
	}
}

// TestModel guards against faults of the model itself. Each trace sends a few
// requests to one target with the baseline decider.
func TestModel(t *testing.T) {
	header := strings.Replace(smallHeader, "count=4", "count=1", 1)
	const work = "\n1s request put count=2 hosts=h-1\n2s request put hosts=h-1\n"
	for _, c := range []struct {
		name, lines         string
		successes, failures int
	}{
		{"healthy", work, 3, 0},
		{"connections that are open become silent, the next one is new", "2s silence t-1 hosts=h-1" + work + "4s request put hosts=h-1", 3, 1},
		{"a dial fault leaves open connections alone", "1500ms fault t-1 kind=dial" + work + "2s request put hosts=h-2", 3, 1},
		{"responses to one host are lost", "0s fault t-1 kind=one-way hosts=h-1" + work + "2s request put hosts=h-2", 1, 3},
		{"full slots and queue shed", "0s set t-1 queue=1" + work + "4s request put count=5 hosts=h-1", 6, 2},
		{"a restart breaks work", "0s set t-1 latency=constant:500ms\n1200ms restart t-1 down=1s" + work + "4s request put hosts=h-1", 1, 3},
		{"a draining target refuses", "1500ms drain t-1" + work, 2, 1},
	} {
		r := mustRun(t, header+c.lines, BaselineDecider)
		if r.Requests.Successes != c.successes || r.Requests.Failures != c.failures {
			t.Errorf("%s: %d successes and %d failures, want %d and %d", c.name, r.Requests.Successes, r.Requests.Failures, c.successes, c.failures)
		}
	}
}

// BenchmarkRun measures the player with the baseline, whose decisions cost
// little.
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
