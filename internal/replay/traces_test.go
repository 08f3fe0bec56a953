package replay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const traceDirectory = "../../testdata/replay/"

// TestReportTraces guards against a decider that misses an expected outcome of the
// traces in testdata/replay/report, which state the requirements of users. Traces
// with a short duration end there.
func TestReportTraces(t *testing.T) {
	for _, trace := range tracesOf(t, "report") {
		t.Run(trace.Name, func(t *testing.T) {
			r, err := Run(trace, SapphirehavenDecider, newSapphirehaven, Options{Short: true})
			if err != nil {
				t.Fatal(err)
			}
			for _, o := range r.Expectations {
				if !o.Pass {
					t.Errorf("%s:%d: expect %s: %s", trace.File, o.Line, o.Expect, o.Detail)
				}
			}
		})
	}
}

// TestTuneTracesAreSeparate guards against a tuning trace that cannot be parsed, and
// against constants that are tuned on the traces whose results are reported: no two
// traces may have the same seed.
func TestTuneTracesAreSeparate(t *testing.T) {
	seeds := map[uint64]string{}
	for _, trace := range append(tracesOf(t, "tune"), tracesOf(t, "report")...) {
		if other, ok := seeds[trace.Seed]; ok {
			t.Errorf("%s and %s have the same seed", other, trace.File)
		}
		seeds[trace.Seed] = trace.File
		if len(trace.Expectations) == 0 {
			t.Errorf("%s has no expect line", trace.File)
		}
	}
}

func tracesOf(t *testing.T, set string) []*Trace {
	t.Helper()
	files, err := filepath.Glob(traceDirectory + set + "/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces in set %s: %v", set, err)
	}
	var list []*Trace
	for _, name := range files {
		trace, err := ParseFile(name)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, trace)
	}
	return list
}

// TestDocumentedExample guards against an example in docs/replay.md that is not a
// valid trace.
func TestDocumentedExample(t *testing.T) {
	page, err := os.ReadFile("../../docs/replay.md")
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "### Example\n\n```\n")
	example, _, found := strings.Cut(rest, "```")
	if !found {
		t.Fatal("docs/replay.md has no example")
	}
	if trace := mustParse(t, example); len(trace.Expectations) == 0 {
		t.Error("the example has no expect line")
	}
}
