package replay

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

const smallHeader = `duration 20s
service s
zone a region=r
zone b region=q
class get idempotent timeout=1s
class put non-idempotent timeout=1s
targets t count=4 zones=a,b slots=2 latency=constant:10ms
hosts h count=2 zones=a,b
`

// TestParse guards against lines that are accepted with a wrong meaning, and
// against errors without the place and what was expected. "after-header" parses the
// input after the lines of smallHeader, which are lines 1 to 8.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse.txt", func(t *testing.T, d *datadriven.TestData) string {
		text := d.Input
		if d.Cmd == "after-header" {
			text = smallHeader + text
		}
		trace, err := Parse("x.trace", strings.NewReader(text))
		if err != nil {
			return err.Error() + "\n"
		}
		return fmt.Sprintf("%d targets, %d hosts, %d faults, %d steps, %d expects\n",
			len(trace.Targets), len(trace.Hosts), len(trace.Faults), len(trace.Steps), len(trace.Expectations))
	})
}

// TestPolicyOverride guards against an override that resets values it does not
// mention, or that changes a trace although a line was refused.
func TestPolicyOverride(t *testing.T) {
	trace := mustParse(t, smallHeader+"0s arrivals get rate=1")
	err := trace.ApplyPolicy("p", strings.NewReader("policy balance=0.9\nclass put floor=0.25 # comment\n"))
	if err != nil {
		t.Fatal(err)
	}
	put := trace.Config.Classes[1]
	if trace.Config.Balance != 0.9 || trace.Config.QueueLength != 64 || put.Floor != 0.25 || put.AttemptTimeout.Seconds() != 1 || put.Idempotent {
		t.Errorf("config after override: %+v", trace.Config)
	}
	for text, want := range map[string]string{
		"policy balance=0.1\nseed 4": "p:2: line \"seed\" in a policy file; expected policy or class lines",
		"class other floor=1":        "p:1: unknown class \"other\"; expected a class that a class line declares",
	} {
		if err := trace.ApplyPolicy("p", strings.NewReader(text)); err == nil || err.Error() != want {
			t.Errorf("override %q: got %v, want %s", text, err, want)
		}
	}
	if trace.Config.Balance != 0.9 {
		t.Errorf("a refused override changed the balance to %v", trace.Config.Balance)
	}
}

// FuzzParse guards against a panic, and against an error that does not say
// where and what was expected.
func FuzzParse(f *testing.F) {
	for _, half := range []string{"tune", "report"} {
		files, _ := filepath.Glob("../../testdata/replay/" + half + "/*.trace")
		for _, name := range files {
			text, err := os.ReadFile(name)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(string(text))
		}
	}
	f.Add(smallHeader + "1s cut h-1 h-2 one-way\n1s restart t-1 cold=3\n2s drain t-*\nexpect detect t-1 within=1s")
	f.Fuzz(func(t *testing.T, text string) {
		trace, err := Parse("x.trace", strings.NewReader(text))
		var refused *ParseError
		if err != nil && (!errors.As(err, &refused) || refused.Line < 1 || refused.Expected == "") {
			t.Fatalf("error without a line or an expectation: %v", err)
		}
		if err == nil && (len(trace.Targets) == 0 || len(trace.Hosts) == 0 || trace.Duration <= 0) {
			t.Fatalf("accepted an incomplete trace: %+v", trace)
		}
	})
}

func mustParse(t testing.TB, text string) *Trace {
	t.Helper()
	trace, err := Parse("x.trace", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return trace
}
