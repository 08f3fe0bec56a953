package capacity

import (
	"strings"
	"testing"
	"time"
)

// TestRolesUseMeasuredSlopes guards against a formula that names a slope which
// is not measured, and against a measurement that costs nothing.
func TestRolesUseMeasuredSlopes(t *testing.T) {
	size := Size{Hosts: 36, Zones: 4, Regions: 2, Targets: 400, Services: 20, Routes: 500, SlotsPerTarget: 2}
	s, err := Measure(Config{MeasureTime: time.Millisecond, Size: size})
	if err != nil {
		t.Fatal(err)
	}
	for _, slope := range s.list {
		if slope.Value <= 0 && slope.Unit != "bytes" {
			t.Errorf("%s is %g", slope.ID, slope.Value)
		}
	}
	text := RoleTables(s)
	for _, r := range roles {
		if !strings.Contains(text, "### "+r.name+"\n") {
			t.Errorf("there is no table of %q", r.name)
		}
	}
}

// TestVerdict guards against a need above its limit that is reported as reached.
func TestVerdict(t *testing.T) {
	m := &model{Size: TargetSize()}
	need := row{unit: "bytes/s", limit: fixed(4000)}
	for value, want := range map[float64]string{4000: "yes", 8000: "**no**, 2 times"} {
		need.value = fixed(value)
		if cells := need.cells(m, m); cells[5] != want {
			t.Errorf("%g against 4000 is %q, want %q", value, cells[5], want)
		}
	}
}

// TestReplace guards against a page that loses text outside of its markers, and
// against missing markers that go unnoticed.
func TestReplace(t *testing.T) {
	page := "a\n<!-- capacity:x -->\nold\n<!-- /capacity:x -->\nb\n"
	got, err := ReplaceSection(page, "x", "new\n")
	if want := strings.Replace(page, "old", "new", 1); err != nil || got != want {
		t.Errorf("got %q, %v, want %q", got, err, want)
	}
	for _, bad := range []string{"", page + page, "<!-- /capacity:x --> <!-- capacity:x -->"} {
		if _, err := ReplaceSection(bad, "x", "new"); err == nil {
			t.Errorf("%q was accepted", bad)
		}
	}
}
