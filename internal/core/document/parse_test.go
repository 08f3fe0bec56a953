package document

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"go.yaml.in/yaml/v3"
)

// TestParse guards against errors without place or name, and against input that
// is accepted although it has no meaning.
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

// TestExamples guards against example documents that this build refuses or does
// not write back in the form that it reads.
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
			t.Fatalf("%s written back: %v", file, err)
		}
		if second, _ := yaml.Marshal(again); string(first) != string(second) {
			t.Errorf("%s changes when it is written back", file)
		}
	}
}

// TestEmptyLists guards against a difference without changed fields between a
// document that leaves a list out and the same document written back.
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
		t.Errorf("written back: %s", diff)
	}
}

// FuzzParse guards against a panic on any input, and against an accepted
// document that is refused when it is written back.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "format: 1", "format: 1\nname: a\nregions: [{name: r, zones: [z]}]", "a: &x [*x]", "services: {}", "services: [{targets: [1]}]", "routes: [{methods: [GET]}]"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		doc, err := Parse([]byte(text))
		if err != nil {
			if strings.TrimSpace(err.Error()) == "" {
				t.Fatal("error without text")
			}
			return
		}
		out, err := yaml.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(out); err != nil {
			t.Fatalf("written back: %v", err)
		}
	})
}
