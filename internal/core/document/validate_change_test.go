package document

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/sapphirehaven/sapphirehaven/internal/core/ident"
)

const baseDocument = `
format: 1
name: desk
regions: [{name: cairo, zones: [cairo-maadi]}]
services:
  - {name: errata-index, targets: [{name: t1, address: "192.0.2.1:80", zone: cairo-maadi}], classes: [{name: lookup}, {name: search}]}
  - {name: notice-press, targets: [{name: t1, address: "192.0.2.2:80", zone: cairo-maadi}], classes: [{name: issue}]}
routes:
  - {name: r0, path_prefix: /a, service: errata-index, class: lookup}
  - {name: r1, path_prefix: /b/, methods: [GET], service: notice-press, class: issue}
  - {name: r2, path_prefix: /c, methods: [GET, POST], service: errata-index, class: search}
`

var routeGen = rapid.Custom(func(t *rapid.T) Route {
	return Route{
		Name:       fmt.Sprint("r", rapid.IntRange(0, 4).Draw(t, "name")),
		PathPrefix: rapid.SampledFrom([]string{"/a", "/a/", "/b", "/c", "/d", "/c/d", "", "x", "/.sapphirehaven/v1"}).Draw(t, "prefix"),
		Methods:    rapid.SampledFrom([][]string{nil, {"GET"}, {"POST"}, {"GET", "POST"}, {"GET", "GET"}, {"get"}, {"*"}, {""}}).Draw(t, "methods"),
		Service:    rapid.SampledFrom([]Service{{Name: "errata-index"}, {Name: "notice-press"}, {Name: "none"}}).Draw(t, "service").Name,
		Class:      rapid.SampledFrom([]Class{{Name: "lookup"}, {Name: "issue"}, {Name: "none"}}).Draw(t, "class").Name,
	}
})

var targetGen = rapid.Custom(func(t *rapid.T) Target {
	return Target{
		Name:        ident.TargetID(rapid.SampledFrom([]string{"t1", "t2", "t/3"}).Draw(t, "target")),
		Address:     rapid.SampledFrom([]string{"192.0.2.1:80", "192.0.2.2:80", "localhost:80"}).Draw(t, "address"),
		Zone:        rapid.SampledFrom([]ident.Zone{"cairo-maadi", "cairo-maadi", "none"}).Draw(t, "zone"),
		Slots:       rapid.SampledFrom([]int{1, 6, 0}).Draw(t, "slots"),
		Connections: 330,
	}
})

// drawServices draws services with replaced, added or removed targets, and
// sometimes with a changed or removed service.
func drawServices(t *rapid.T, base []Service) []Service {
	services := append([]Service(nil), base...)
	for i := range services {
		kind := rapid.IntRange(0, 19).Draw(t, "service change")
		targets := append([]Target(nil), services[i].Targets...)
		switch {
		case kind < 3:
			targets = append(targets[:0], targetGen.Draw(t, "replaced"))
		case kind < 6:
			if added := targetGen.Draw(t, "added"); added.Name != targets[0].Name {
				targets = append(targets, added)
			}
		case kind < 7:
			targets = nil
		case kind < 8:
			services[i].ServingHosts = rapid.IntRange(0, 2).Draw(t, "serving hosts")
		case kind < 9:
			return services[:i]
		}
		services[i].Targets = targets
	}
	return services
}

// TestValidateChangeEqualsValidate guards against incremental and full validation
// with different results: hosts that validate the same proposal differently would
// disagree about a revision.
func TestValidateChangeEqualsValidate(t *testing.T) {
	base, err := Parse([]byte(baseDocument))
	if err != nil {
		t.Fatal(err)
	}
	verdicts := map[bool]int{}
	rapid.Check(t, func(t *rapid.T) {
		before, err := Sections(base)
		if err != nil {
			t.Fatal(err)
		}
		next := *base
		routes := map[string]Route{}
		for _, r := range base.Routes {
			routes[r.Name] = r
		}
		for _, r := range rapid.SliceOfN(routeGen, 0, 3).Draw(t, "routes") {
			routes[r.Name] = r
		}
		for _, r := range rapid.SliceOfN(routeGen, 0, 1).Draw(t, "removed") {
			delete(routes, r.Name)
		}
		next.Services = drawServices(t, base.Services)
		next.Routes = nil
		for _, r := range routes {
			next.Routes = append(next.Routes, r)
		}
		after, err := Sections(&next)
		if err != nil {
			t.Fatal(err)
		}
		doc, err := FromSections(after)
		if err != nil {
			t.Fatal(err)
		}
		whole, change := doc.Validate(), doc.ValidateChange(Diff(before, after))
		if fmt.Sprint(whole) != fmt.Sprint(change) {
			t.Fatalf("ValidateChange returned %v, Validate %v", change, whole)
		}
		verdicts[whole == nil]++
	})
	if verdicts[true] == 0 || verdicts[false] == 0 {
		t.Errorf("%d valid and %d invalid documents, want at least one of each", verdicts[true], verdicts[false])
	}
}
