package replay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const traceDir = "../../testdata/replay/"

// TestReportTraces guards the users' needs: it replays the report half of the
// traces, the long ones shortened, and fails on every outcome that does not
// come true.
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

// TestTuneTracesAreSeparate guards against a tuning trace that cannot be read,
// and against constants that are adjusted on the traces that are reported.
func TestTuneTracesAreSeparate(t *testing.T) {
	seeds := map[uint64]string{}
	for _, trace := range append(tracesOf(t, "tune"), tracesOf(t, "report")...) {
		if twin, ok := seeds[trace.Seed]; ok {
			t.Errorf("%s and %s have the same seed", twin, trace.File)
		}
		seeds[trace.Seed] = trace.File
		if len(trace.Expectations) == 0 {
			t.Errorf("%s expects nothing", trace.File)
		}
	}
}

func tracesOf(t *testing.T, half string) []*Trace {
	t.Helper()
	files, err := filepath.Glob(traceDir + half + "/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces in %s: %v", half, err)
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

// TestDocumentedExample guards against a page whose example is refused.
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
		t.Error("the example expects nothing")
	}
}
