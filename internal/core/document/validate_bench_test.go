package document

import (
	"fmt"
	"testing"
)

// BenchmarkValidate measures the full validation of a document with 70,000 routes.
// Every host validates every proposal, by Validate unless ValidateChange suffices.
func BenchmarkValidate(b *testing.B) {
	doc, err := Parse([]byte(`
format: 1
name: desk
regions: [{name: r, zones: [z]}]
services:
  - name: s
    targets: [{name: t, address: "192.0.2.1:80", zone: z}]
    classes: [{name: c}]
`))
	if err != nil {
		b.Fatal(err)
	}
	for i := range 70_000 {
		doc.Routes = append(doc.Routes, Route{Name: fmt.Sprintf("route-%d", i), PathPrefix: fmt.Sprintf("/team-%d/x", i), Methods: []string{"GET"}, Service: "s", Class: "c"})
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := doc.Validate(); err != nil {
			b.Fatal(err)
		}
	}
}
