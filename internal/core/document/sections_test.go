package document

import (
	"errors"
	"flag"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

// A fixed seed makes the property tests reproducible in CI.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func sampleDocument(routes int) *Document {
	doc := &Document{
		Format:  FormatVersion,
		Name:    "errata-desk",
		Regions: []Region{{Name: "alex", Zones: []ident.Zone{"alex-smouha", "alex-raml"}}},
		Services: []Service{{
			Name:    "errata-index",
			Targets: []Target{{Name: "t1", Address: "10.0.0.1:80", Zone: "alex-raml", Slots: 6}, {Name: "t2", Address: "10.0.0.2:80", Zone: "alex-raml", Slots: 6}},
			Classes: []Class{{Name: "lookup", Idempotent: true, Deadline: Duration(time.Second)}, {Name: "notice"}},
		}},
	}
	for i := range routes {
		name := fmt.Sprintf("route-%05d", i)
		doc.Routes = append(doc.Routes, Route{Name: name, PathPrefix: "/team/" + name, Methods: []string{"GET", "HEAD"}, Service: "errata-index", Class: "lookup"})
	}
	return doc
}

func mustSections(t testing.TB, doc *Document) SectionSet {
	t.Helper()
	set, err := Sections(doc)
	if err != nil {
		t.Fatal(err)
	}
	return set
}

// TestSectionsRoundTrip guards against fields that are lost when a document is
// split into sections, and against a hash that depends on the order of targets.
func TestSectionsRoundTrip(t *testing.T) {
	doc := sampleDocument(3)
	set := mustSections(t, doc)
	back, err := FromSections(set)
	if err != nil || !reflect.DeepEqual(back, doc) {
		t.Fatalf("got %+v, %v, want %+v", back, err, doc)
	}
	targets := doc.Services[0].Targets
	targets[0], targets[1] = targets[1], targets[0]
	if mustSections(t, doc).Hash() != set.Hash() {
		t.Error("the hash depends on the order of targets")
	}
	classes := doc.Services[0].Classes
	classes[0], classes[1] = classes[1], classes[0]
	if mustSections(t, doc).Hash() == set.Hash() {
		t.Error("the order of classes is lost")
	}
}

// TestApplyDiff guards against a delta whose application yields another content or
// hash than splitting the changed document into sections.
func TestApplyDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) SectionSet {
			doc := sampleDocument(rapid.IntRange(0, 6).Draw(t, label))
			for i := range doc.Routes {
				doc.Routes[i].PathPrefix = rapid.SampledFrom([]string{"/a", "/b"}).Draw(t, "prefix")
			}
			set, err := Sections(doc)
			if err != nil {
				t.Fatal(err)
			}
			return set
		}
		a, b := draw("a"), draw("b")
		got, err := Apply(a, Diff(a, b))
		if err != nil || got.Hash() != b.Hash() || !reflect.DeepEqual(got.Sections(), b.Sections()) {
			t.Fatalf("apply: %v, hash %s, want %s", err, got.Hash(), b.Hash())
		}
		if (DiffText(a, b) == "") != (a.Hash() == b.Hash()) {
			t.Fatalf("DiffText returned %q, which contradicts the comparison of the hashes", DiffText(a, b))
		}
	})
}

// TestDiffText guards against changes that are missing in the text for operators.
func TestDiffText(t *testing.T) {
	before, after := sampleDocument(2), sampleDocument(3)
	after.Routes = after.Routes[1:]
	after.Services[0].Classes[0].Deadline = Duration(2 * time.Second)
	after.Services[0].Targets[1].Slots = 2
	want := `removed route/route-00000
added route/route-00002
changed service/errata-index
  classes[lookup].deadline: 1s -> 2s
changed target/errata-index/t2
  target.slots: 6 -> 2
`
	if got := DiffText(mustSections(t, before), mustSections(t, after)); got != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

// TestApplyRejectsInvalidDeltas guards against accepting sections that other
// builds could decode differently, and against reporting a newer format as an
// invalid document.
func TestApplyRejectsInvalidDeltas(t *testing.T) {
	set := mustSections(t, sampleDocument(1))
	section := func(key, data string) Delta { return Delta{Changed: []Section{{Key: key, Data: []byte(data)}}} }
	for name, d := range map[string]Delta{
		"unknown field":     section("route/x", `{"Name":"x","Weight":3}`),
		"trailing data":     section("route/x", `{"Name":"x"} {}`),
		"key differs":       section("route/x", `{"Name":"y"}`),
		"unknown kind":      section("team/x", `{"Name":"x"}`),
		"missing deletion":  {Deleted: []string{"route/absent"}},
		"repeated deletion": {Deleted: []string{"route/route-00000", "route/route-00000"}},
		"nested targets":    section("service/s", `{"Name":"s","Targets":[]}`),
	} {
		if _, err := Apply(set, d); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	d := section("header", `{"Format":2,"Motto":"x"}`)
	d.Changed = append([]Section{{Key: "route/x", Data: []byte(`{"Weight":3}`)}}, d.Changed...)
	var newer *NewerFormatError
	if _, err := Apply(set, d); !errors.As(err, &newer) || newer.Format != 2 {
		t.Errorf("got %v, want a NewerFormatError", err)
	}
}

// BenchmarkApplyOneOf70000 measures applying a delta of one section, including the
// content hash.
func BenchmarkApplyOneOf70000(b *testing.B) {
	set := mustSections(b, sampleDocument(70_000))
	changed := sampleDocument(70_000)
	changed.Routes[35_000].PathPrefix = "/changed"
	d := Diff(set, mustSections(b, changed))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Apply(set, d); err != nil {
			b.Fatal(err)
		}
	}
}
