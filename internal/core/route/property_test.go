package route

import (
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/sapphirehaven/sapphirehaven/internal/core/document"
)

// TestLookupEqualsScan guards against a table whose prefixes end inside of a
// path segment, or that misses a shorter prefix for the method.
func TestLookupEqualsScan(t *testing.T) {
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
			if got, want := table.Lookup("", "GET", path), scan(routes, "GET", path); got != want {
				t.Fatalf("GET %s goes to %+v, want %+v", path, got, want)
			}
		}
	})
}

// scan looks at every route.
func scan(routes []document.Route, method, path string) *document.Route {
	var best *document.Route
	depth, named := -1, false
	path = strings.TrimPrefix(path, "/") + "/"
	for i := range routes {
		r := &routes[i]
		prefix := strings.Trim(r.PathPrefix, "/") + "/"
		if prefix != "/" && !strings.HasPrefix(path, prefix) {
			continue
		}
		names := slices.Contains(r.Methods, method)
		if !names && len(r.Methods) > 0 {
			continue
		}
		better := len(prefix) > depth || len(prefix) == depth && !named
		if better {
			best, depth, named = r, len(prefix), names
		}
	}
	return best
}
