package document

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"go.yaml.in/yaml/v3"
)

// TestParse guards against errors without a position or field path, and against
// invalid input that is accepted.
func TestParse(t *testing.T) {
	datadriven.RunTest(t, "testdata/parse.txt", func(t *testing.T, d *datadriven.TestData) string {
		doc, err := Parse([]byte(d.Input))
		if err != nil {
			return err.Error() + "\n"
		}
		out, err := yaml.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		return string(out)
	})
}

// TestExamples guards against example documents that Parse rejects, or that change
// when they are marshaled and parsed again.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*.yaml")
	if err != nil || len(files) < 2 {
		t.Fatalf("examples: %v %v", files, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		doc, err := Parse(data)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		first, _ := yaml.Marshal(doc)
		again, err := Parse(first)
		if err != nil {
			t.Fatalf("%s: parsing after marshaling: %v", file, err)
		}
		if second, _ := yaml.Marshal(again); string(first) != string(second) {
			t.Errorf("%s: the YAML round trip changes the document", file)
		}
	}
}

// TestEmptyLists guards against a difference without changed fields between a
// document that omits a list and the same document after a YAML round trip, which
// writes the list as empty.
func TestEmptyLists(t *testing.T) {
	absent, err := Parse([]byte("format: 1\nname: a\nregions: [{name: r, zones: [z]}]\nservices: [{name: s, classes: [{name: c}], targets: [{name: t, address: \"10.0.0.1:1\", zone: z}]}]"))
	if err != nil {
		t.Fatal(err)
	}
	text, _ := yaml.Marshal(absent)
	written, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	a, _ := Sections(absent)
	b, _ := Sections(written)
	if diff := DiffText(a, b); diff != "" || a.Hash() != b.Hash() {
		t.Errorf("the YAML round trip changes the document: %s", diff)
	}
}

// FuzzParse guards against panics on arbitrary input, and against an accepted
// document that is rejected after a YAML round trip.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "format: 1", "format: 1\nname: a\nregions: [{name: r, zones: [z]}]", "a: &x [*x]", "services: {}", "services: [{targets: [1]}]", "routes: [{methods: [GET]}]"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := Parse([]byte(text))
		if err != nil {
			if strings.TrimSpace(err.Error()) == "" {
				t.Fatal("the error has no message")
			}
			return
		}
		out, err := yaml.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(out); err != nil {
			t.Fatalf("parsing after marshaling: %v", err)
		}
	})
}
