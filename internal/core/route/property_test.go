package route

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// TestLookupEqualsLinearLookup guards against prefixes that match in the middle of a
// path segment, and against a lookup that misses a shorter prefix for the method.
func TestLookupEqualsLinearLookup(t *testing.T) {
	paths := rapid.StringMatching(`(/|/a|/b|/ab|//a){0,5}/?`)
	methods := rapid.SampledFrom([][]string{nil, {"GET"}, {"POST"}, {"GET", "PUT"}})
	rapid.Check(t, func(t *rapid.T) {
		routes := make([]document.Route, rapid.IntRange(0, 6).Draw(t, "routes"))
		for i := range routes {
			routes[i] = document.Route{PathPrefix: paths.Draw(t, "prefix"), Methods: methods.Draw(t, "methods")}
		}
		table := New(routes)
		for range 5 {
			path := "/" + paths.Draw(t, "path")
			if got, want := table.Lookup("", "GET", path), linearLookup(routes, "GET", path); got != want {
				t.Fatalf("GET %s goes to %+v, want %+v", path, got, want)
			}
		}
	})
}

// linearLookup is the reference implementation. It examines every route.
func linearLookup(routes []document.Route, method, path string) *document.Route {
	var best *document.Route
	bestLength, bestNamesMethod := -1, false
	path = strings.TrimPrefix(path, "/") + "/"
	for i := range routes {
		r := &routes[i]
		prefix := strings.Trim(r.PathPrefix, "/") + "/"
		if prefix != "/" && !strings.HasPrefix(path, prefix) {
			continue
		}
		namesMethod := slices.Contains(r.Methods, method)
		if !namesMethod && len(r.Methods) > 0 {
			continue
		}
		better := len(prefix) > bestLength || len(prefix) == bestLength && !bestNamesMethod
		if better {
			best, bestLength, bestNamesMethod = r, len(prefix), namesMethod
		}
	}
	return best
}
